/** Sends single calls over HTTP, and returns exactly what the caller received. */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {request, type IncomingMessage} from 'node:http';
import {callPathPrefix, outcomeHeader, timeoutHeader} from '../../common/protocol/headers.ts';
import {AnswerBody, bodyDigest} from '../../stand-ins/answer-body.ts';
import {bytesHeader, callIdHeader, workHeader} from '../../stand-ins/headers.ts';
import {type HistoryEvent, type ReportedOutcome} from '../oracle/types.ts';

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

/** The answer as the caller received it. `hash` is the SHA-256 digest of a whole body in hexadecimal, otherwise empty. */
export type ProofAnswer = {readonly isWhole: boolean; readonly status: number | undefined; readonly outcome: string | undefined; readonly hash: string};

/** Each call has a path of its own, since calls with the same fingerprint are suspected together of a crash. */
const callPath = (call: ProofCall): string => `/run/${call.name}`;
const answerTimeoutMilliseconds = 20_000;

/** SHA-256 digest of the body that a run of the call produces, in hexadecimal. */
export function expectedHash(call: ProofCall): string {
	const origin = {
		method: call.method, path: callPath(call), callId: call.name, requestDigest: bodyDigest(Buffer.alloc(call.bodyBytes, 'x')),
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

/** Sends the call on a new connection, its body in two halves 50 ms apart. */
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
			path: `${callPathPrefix}${call.service}${callPath(call)}`,
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
		}, answerTimeoutMilliseconds);
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
const isOutcome = (text: string | undefined): text is ReportedOutcome => text !== undefined && outcomes.has(text);

/** The answer as an event of the oracle. Any status other than 200 is a refusal, since runs answer with 200 only. */
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
