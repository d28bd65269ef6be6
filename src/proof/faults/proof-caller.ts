/** A caller that sends one call by hand and tells exactly what it got. */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {request, type IncomingMessage} from 'node:http';
import {callPathPrefix, outcomeHeader, timeoutHeader} from '../../common/protocol/headers.ts';
import {AnswerBody, bodyDigest} from '../../stand-ins/answer-body.ts';
import {bytesHeader, callIdHeader, workHeader} from '../../stand-ins/headers.ts';
import {type HistoryEvent, type ToldOutcome} from '../oracle/types.ts';

export type ProofCall = {
	readonly name: string;
	readonly method: 'GET' | 'POST';
	readonly port: number;
	readonly service: string;
	readonly timeoutMilliseconds: number;
	readonly workMilliseconds: number;
	readonly answerBytes: number;
	readonly bodyBytes: number;
};

/** What the caller saw. */
export type ProofAnswer = {readonly isWhole: boolean; readonly status: number | undefined; readonly outcome: string | undefined; readonly hash: string};

/** Each call has a path of its own: calls that look alike share the blame for a crash. */
const pathOf = (call: ProofCall): string => `/run/${call.name}`;
const giveUpMilliseconds = 20_000;

/** Digest of the body that a run of the call makes. */
export function expectedHash(call: ProofCall): string {
	const origin = {
		method: call.method, path: pathOf(call), callId: call.name, requestDigest: bodyDigest(Buffer.alloc(call.bodyBytes, 'x')),
	};
	const body = new AnswerBody(origin, call.answerBytes);
	const hash = createHash('sha256');
	for (let offset = 0; offset < call.answerBytes;) {
		const chunk = body.chunk(offset);
		hash.update(chunk);
		offset += chunk.length;
	}

	return hash.digest('hex');
}

/** Sends the call, the body in two halves, on a connection of its own. */
export async function sendCall(call: ProofCall): Promise<ProofAnswer> {
	return new Promise(resolve => {
		const hash = createHash('sha256');
		let answer: IncomingMessage | undefined;
		const finish = (isWhole: boolean): void => {
			clearTimeout(timer);
			resolve({
				isWhole, status: answer?.statusCode, outcome: answer?.headers[outcomeHeader]?.toString(), hash: isWhole ? hash.digest('hex') : '',
			});
		};

		const outgoing = request({
			host: '127.0.0.1',
			port: call.port,
			method: call.method,
			path: `${callPathPrefix}${call.service}${pathOf(call)}`,
			agent: false,
			headers: {
				[callIdHeader]: call.name,
				[workHeader]: call.workMilliseconds,
				[bytesHeader]: call.answerBytes,
				[timeoutHeader]: call.timeoutMilliseconds,
				...(call.bodyBytes > 0 && {'content-length': call.bodyBytes}),
			},
		}, incoming => {
			answer = incoming;
			incoming.on('data', (chunk: Uint8Array) => {
				hash.update(chunk);
			});
			incoming.on('close', () => {
				finish(incoming.complete);
			});
		});
		const timer = setTimeout(() => {
			outgoing.destroy();
			finish(false);
		}, giveUpMilliseconds);
		outgoing.on('error', () => {
			if (answer === undefined) {
				finish(false);
			}
		});
		const half = Math.floor(call.bodyBytes / 2);
		outgoing.write(Buffer.alloc(half, 'x'));
		setTimeout(() => {
			outgoing.end(Buffer.alloc(call.bodyBytes - half, 'x'));
		}, call.bodyBytes > 0 ? 50 : 0);
	});
}

const outcomes = new Set(['ran', 'not-run', 'unknown']);
const isOutcome = (text: string | undefined): text is ToldOutcome => text !== undefined && outcomes.has(text);

/** The answer as the oracle reads it. A refusal is what does not come from a run. */
export function answerEvent(call: ProofCall, answer: ProofAnswer, at: number): HistoryEvent {
	if (!answer.isWhole) {
		return {type: 'answer-broken', at, call: call.name};
	}

	return {
		type: 'answer-whole',
		at,
		call: call.name,
		body: answer.hash,
		outcome: isOutcome(answer.outcome) ? answer.outcome : undefined,
		isRefusal: answer.status !== 200,
	};
}
