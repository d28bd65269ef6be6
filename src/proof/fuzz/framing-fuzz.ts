/** Property of answers: however the answer of a backend server is framed and ends, it looks complete to a caller only if it is. */
import {connect} from 'node:net';
import fc from 'fast-check';
import {Disposable, DisposableStore} from '../../common/lifecycle/disposable.ts';
import {startFrontend, startRawServer} from '../local-frontend.ts';

type Framing = 'length' | 'chunked' | 'close';

/** An answer of a backend server, and the number of bytes of its body after which the connection ends. */
type PlannedAnswer = {
	readonly framing: Framing;
	readonly pieces: readonly number[];
	readonly sentBytes: number;
	readonly end: 'close' | 'reset';
	readonly callerVersion: '1.0' | '1.1';
	/** Time for which the caller pauses after each read. */
	readonly pauseMilliseconds: number;
};

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

/** What a caller has read, and whether its connection ended regularly. */
type ReadAnswer = {readonly text: string; readonly isEnded: boolean};

/** Returns the body of an answer that looks complete; undefined = its framing shows that it is not. */
function completeBody({text, isEnded}: ReadAnswer): string | undefined {
	if (!text.startsWith('HTTP/1.1 200')) {
		return undefined;
	}

	const headEnd = text.indexOf('\r\n\r\n');
	const head = text.slice(0, headEnd);
	const body = text.slice(headEnd + 4);
	const length = /^content-length: (?<bytes>\d+)$/imv.exec(head)?.groups?.bytes;
	if (length !== undefined) {
		return body.length === Number(length) ? body : undefined;
	}

	if (!/^transfer-encoding: chunked$/imv.test(head)) {
		return isEnded ? body : undefined;
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

async function readAnswer(url: string, {callerVersion, pauseMilliseconds}: PlannedAnswer): Promise<ReadAnswer> {
	const {port, pathname} = new URL(url);
	return new Promise(resolve => {
		const caller = connect(Number(port), '127.0.0.1');
		let text = '';
		let isEnded = false;
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
		caller.on('end', () => {
			isEnded = true;
		});
		caller.on('close', () => {
			resolve({text, isEnded});
		});
		caller.write(`GET ${pathname}/film HTTP/${callerVersion}\r\nHost: one\r\nConnection: close\r\n\r\n`);
	});
}

const plannedAnswers: fc.Arbitrary<PlannedAnswer> = fc.record({
	framing: fc.constantFrom<Framing>('length', 'chunked', 'close'),
	pieces: fc.array(fc.oneof(fc.integer({min: 1, max: 2000}), fc.integer({min: 2000, max: 150_000})), {minLength: 1, maxLength: 6}),
	end: fc.constantFrom<'close' | 'reset'>('close', 'reset'),
	callerVersion: fc.constantFrom<'1.0' | '1.1'>('1.1', '1.1', '1.0'),
	pauseMilliseconds: fc.constantFrom(0, 0, 20),
	sentShare: fc.double({min: 0, max: 1, noNaN: true}),
}).map(({sentShare, ...rest}) => ({...rest, sentBytes: Math.round(sentShare * rest.pieces.reduce((sum, size) => sum + size, 0))}));

/**
 * Returns the bodies that a caller may accept as complete; undefined = it may also notice that the answer is incomplete. A
 * reset may discard the end of an answer that was sent completely. A caller of HTTP/1.0 that pauses may read a reset as a
 * regular end; it then accepts the beginning of an answer without a length.
 */
function allowedBodies(answer: PlannedAnswer, received: string | undefined): ReadonlyArray<string | undefined> {
	const {framing, sentBytes, end, callerVersion, pauseMilliseconds} = answer;
	const whole = bodyOf(answer);
	const isSentWhole = sentBytes === whole.length;
	if (end === 'close' && (framing === 'close' || isSentWhole)) {
		return [whole.slice(0, sentBytes)];
	}

	const isEndHidden = callerVersion === '1.0' && framing !== 'length' && pauseMilliseconds > 0;
	const beginning = isEndHidden && received !== undefined && whole.startsWith(received) ? [received] : [];
	return [undefined, ...(isSentWhole && framing !== 'close' ? [whole] : []), ...beginning];
}

/** A listener for callers, and a backend server that answers as planned. */
export class FramingWorld extends Disposable {
	private readonly _url: string;
	private readonly _plan: {answer: PlannedAnswer | undefined};

	private constructor(url: string, plan: {answer: PlannedAnswer | undefined}) {
		super();
		this._url = url;
		this._plan = plan;
	}

	static async start(): Promise<FramingWorld> {
		const store = new DisposableStore();
		const plan: {answer: PlannedAnswer | undefined} = {answer: undefined};
		const port = await startRawServer(store, socket => {
			socket.once('data', () => {
				const {answer} = plan;
				socket.write(bytesOf(answer!), () => {
					if (answer!.end === 'reset') {
						socket.resetAndDestroy();
					} else {
						socket.end();
					}
				});
			});
		});
		const {url} = await startFrontend(store, [port]);
		const world = new FramingWorld(url, plan);
		world._register(store);
		return world;
	}

	/** Answers are sent one after the other, since the backend server has one plan. */
	property(): fc.IAsyncProperty<[PlannedAnswer]> {
		return fc.asyncProperty(plannedAnswers, async answer => {
			this._plan.answer = answer;
			const received = completeBody(await readAnswer(this._url, answer));
			return allowedBodies(answer, received).includes(received);
		});
	}
}
