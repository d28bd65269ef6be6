import {connect, type Socket} from 'node:net';
import {expect} from 'earl';
import fc from 'fast-check';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

type Framing = 'length' | 'chunked' | 'close';

/** An answer of a backend server, and the number of bytes of its body after which the connection ends. */
type PlannedAnswer = {
	readonly framing: Framing;
	readonly pieces: readonly number[];
	readonly sentBytes: number;
	readonly end: 'close' | 'reset';
	/** Time for which the caller pauses after each read. */
	readonly pauseMilliseconds: number;
};

const seed = 20_261_204;
const answerCount = 150;

function bodyOf({pieces}: PlannedAnswer): string {
	return pieces.map((size, index) => String.fromCodePoint(97 + (index % 26)).repeat(size)).join('');
}

/** Returns what the backend server sends before its connection ends. */
function bytesOf(answer: PlannedAnswer): string {
	const {framing, pieces, sentBytes} = answer;
	const body = bodyOf(answer);
	const sent = body.slice(0, sentBytes);
	if (framing !== 'chunked') {
		return `HTTP/1.1 200 OK\r\n${framing === 'length' ? `Content-Length: ${body.length}\r\n` : ''}\r\n${sent}`;
	}

	let left = sent;
	let text = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
	for (const size of pieces) {
		if (left.length === 0) {
			break;
		}

		text += `${size.toString(16)}\r\n${left.slice(0, size)}`;
		text += left.length >= size ? '\r\n' : '';
		left = left.slice(size);
	}

	return sentBytes === body.length ? `${text}0\r\n\r\n` : text;
}

/** Returns the body of an answer that looks complete; undefined = its framing shows that it is not. */
function completeBody(text: string): string | undefined {
	const headEnd = text.indexOf('\r\n\r\n');
	const head = text.slice(0, headEnd);
	const body = text.slice(headEnd + 4);
	const length = /^content-length: (?<bytes>\d+)$/imv.exec(head)?.groups?.bytes;
	if (length !== undefined) {
		return body.length === Number(length) ? body : undefined;
	}

	let decoded = '';
	for (let at = 0; ;) {
		const lineEnd = body.indexOf('\r\n', at);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(body.slice(at, lineEnd), 16);
		if (Number.isNaN(size) || body.length < lineEnd + size + 4) {
			return undefined;
		}

		if (size === 0) {
			return decoded;
		}

		decoded += body.slice(lineEnd + 2, lineEnd + 2 + size);
		at = lineEnd + size + 4;
	}
}

async function readAnswer(url: string, pauseMilliseconds: number): Promise<string> {
	const {port, pathname} = new URL(url);
	return new Promise(resolve => {
		const caller = connect(Number(port), '127.0.0.1');
		let text = '';
		caller.on('data', chunk => {
			text += chunk.toString('latin1');
			if (pauseMilliseconds > 0) {
				caller.pause();
				setTimeout(() => {
					caller.resume();
				}, pauseMilliseconds);
			}
		});
		caller.on('error', () => undefined);
		caller.on('close', () => {
			resolve(text);
		});
		caller.write(`GET ${pathname}/film HTTP/1.1\r\nHost: one\r\nConnection: close\r\n\r\n`);
	});
}

const plannedAnswers: fc.Arbitrary<PlannedAnswer> = fc.record({
	framing: fc.constantFrom<Framing>('length', 'chunked', 'close'),
	pieces: fc.array(fc.oneof(fc.integer({min: 1, max: 2000}), fc.integer({min: 2000, max: 150_000})), {minLength: 1, maxLength: 6}),
	end: fc.constantFrom<'close' | 'reset'>('close', 'reset'),
	pauseMilliseconds: fc.constantFrom(0, 0, 20),
	sentShare: fc.double({min: 0, max: 1, noNaN: true}),
}).map(({sentShare, ...rest}) => ({...rest, sentBytes: Math.round(sentShare * rest.pieces.reduce((sum, size) => sum + size, 0))}));

describe('an answer that ends at any offset', () => {
	// Guards callers against a truncated answer that its framing shows as complete.
	it('looks complete only if it is', async function () {
		this.timeout(60_000);
		const store = new DisposableStore();
		let planned: PlannedAnswer | undefined;
		const port = await startRawServer(store, (socket: Socket) => {
			socket.once('data', () => {
				const {end} = planned!;
				socket.write(bytesOf(planned!), () => {
					if (end === 'reset') {
						socket.resetAndDestroy();
					} else {
						socket.end();
					}
				});
			});
		});
		const front = await startFrontend(store, [port]);
		await fc.assert(fc.asyncProperty(plannedAnswers, async answer => {
			planned = answer;
			const text = await readAnswer(front.url, answer.pauseMilliseconds);
			const whole = bodyOf(answer);
			const isEnded = answer.end === 'close' && (answer.framing === 'close' || answer.sentBytes === whole.length);
			const received = text.startsWith('HTTP/1.1 200') ? completeBody(text) : undefined;
			// A reset may discard the end of an answer that was sent whole.
			const allowed = isEnded ? [whole.slice(0, answer.sentBytes)] : [undefined, ...(answer.sentBytes === whole.length && answer.framing !== 'close' ? [whole] : [])];
			expect(allowed.includes(received)).toEqual(true);
		}), {seed, numRuns: answerCount});
		store.dispose();
	});
});
