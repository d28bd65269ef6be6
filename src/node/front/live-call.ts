/** One call on this VM: carries out what the call engine decides and tells it what happened. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type AttemptFailure, type CallEffect, type CallId, type CallOutcome, type CallRequest,
} from '../../common/calls/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type AnswerReading, type Dialect} from '../../common/protocol/dialect.ts';
import {type BackendConnections} from './backend-connections.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {HeldAnswer} from './held-answer.ts';
import {type RequestBody} from './request-body.ts';
import {type AnswerHead, type AttemptListener, type CallEventSink} from './types.ts';

type Start = CallEffect & {type: 'start-attempt'};
type Refusal = CallEffect & {type: 'refuse'};

/**
 * How long a caller may take nothing of an answer that is in whole. Longer than for one that still comes in, which holds a
 * backend server's slot: this one holds memory alone. A slow reader seems to take nothing while it empties what its system
 * holds, which tells of room again by the sixteenth of its buffer: 2 MB of 32, read in this time at 35 KB/s.
 */
const usualHandOver: Milliseconds = 60_000;

/** Statuses whose answers have no body, so that nothing tells its length. */
const bodilessStatuses = new Set([204, 304]);

/** An answer that tells no length ends with its connection (RFC 9112, 6.3). */
function isEndedByConnection({status, headers}: AnswerHead): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined && !bodilessStatuses.has(status);
}

/** The caller's side of a call. */
export type Exchange = {
	readonly incoming: IncomingMessage;
	readonly outgoing: ServerResponse;
	/** Path on the backend server. */
	readonly path: string;
	readonly body: RequestBody;
	/** Identifies the call in all log lines, here and at its caller. */
	readonly traceId: string;
	/** W3C trace context to pass on, where the dialect has one. */
	readonly traceparent?: string;
	readonly dialect: Dialect;
	/** A caller that takes no byte for this long is taken for gone. */
	readonly stallMilliseconds: Milliseconds;
	/** The same for an answer that is in whole. */
	readonly handOverMilliseconds?: Milliseconds | undefined;
};

/** A call and its attempts. Ends itself when its answer is out or its caller has gone. */
export class LiveCall implements AttemptListener {
	readonly traceId: string;
	private readonly _request: CallRequest;
	private readonly _incoming: IncomingMessage;
	private readonly _outgoing: ServerResponse;
	private readonly _body: RequestBody;
	private readonly _path: string;
	private readonly _traceparent: string | undefined;
	private readonly _dialect: Dialect;
	private readonly _stallMilliseconds: Milliseconds;
	private readonly _handOverMilliseconds: Milliseconds;
	private readonly _sink: CallEventSink;
	private readonly _connections: BackendConnections;
	private readonly _attempts = new Map<number, BackendAttempt>();
	private readonly _startedAttempts: number[] = [];
	private readonly _resumeOffsets = new Map<number, number>();
	private readonly _heads = new Map<number, AnswerHead>();
	private readonly _held = new Map<number, HeldAnswer>();
	private _passedOn: BackendAttempt | undefined;
	private _bytesPassedOn = 0;
	private _isAnswered = false;
	private _isWaiting = false;

	constructor(
		request: CallRequest,
		exchange: Exchange,
		sink: CallEventSink,
		connections: BackendConnections,
	) {
		this._request = request;
		this._incoming = exchange.incoming;
		this._outgoing = exchange.outgoing;
		this._path = exchange.path;
		this._traceparent = exchange.traceparent;
		this._dialect = exchange.dialect;
		this.traceId = exchange.traceId;
		this._stallMilliseconds = exchange.stallMilliseconds;
		this._handOverMilliseconds = exchange.handOverMilliseconds ?? usualHandOver;
		this._body = exchange.body;
		this._sink = sink;
		this._connections = connections;
		this._outgoing.on('close', () => {
			this._onCallerClosed();
		});
	}

	get callId(): CallId {
		return this._request.callId;
	}

	/** All attempts of this call so far. */
	get startedAttempts(): readonly number[] {
		return this._startedAttempts;
	}

	startAttempt(effect: Start): void {
		this._startedAttempts.push(effect.attemptId);
		const attempt = new BackendAttempt(effect.attemptId, this);
		this._attempts.set(effect.attemptId, attempt);
		const dispatcher = effect.needsFreshConnection ? this._connections.fresh(effect) : this._connections.pool(effect);
		attempt.start(dispatcher, {
			method: this._request.method,
			path: this._path,
			headers: this._requestHeaders(effect),
			body: this._body.toSend(),
		});
		if (effect.needsFreshConnection) {
			// Closes once the attempt has ended; until then undici keeps it.
			void dispatcher.close();
		}
	}

	cancelAttempt(attemptId: number): void {
		const attempt = this._attempts.get(attemptId);
		const length = Number(this._heads.get(attemptId)?.headers['content-length'] ?? Number.NaN);
		this._forget(attemptId);
		attempt?.cancel(Number.isNaN(length) ? undefined : length);
	}

	/** Sends the head of the attempt's answer on; its body follows as it comes. */
	passOn(attemptId: number, outcome: CallOutcome): void {
		const head = this._heads.get(attemptId);
		const attempt = this._attempts.get(attemptId);
		if (head === undefined || attempt === undefined) {
			return;
		}

		this._passedOn = attempt;
		if (this._outgoing.headersSent) {
			// A resumed download: the head went out with the first attempt.
			return;
		}

		const held = this._held.get(attemptId);
		const headers = this._dialect.answerHeaders(head.headers, outcome);
		if (isEndedByConnection(head)) {
			this._endByConnection(headers);
		} else if (held?.isWhole === true && head.headers['content-length'] === undefined) {
			headers.push('content-length', String(held.bytes));
		}

		this._outgoing.writeHead(head.status, headers);
		if (held !== undefined) {
			this._passHeldOn(attempt, held);
		}
	}

	/** Cuts the answer off so that its caller can tell: no last chunk, fewer bytes than promised. */
	breakOff(): void {
		this._isAnswered = true;
		this._outgoing.destroy();
	}

	/** The final answer of a call that was given up, as problem+json (RFC 9457). */
	refuse(effect: Refusal): void {
		this._isAnswered = true;
		this._body.discard();
		if (this._outgoing.headersSent) {
			this._outgoing.destroy();
			return;
		}

		const {headers, body} = this._dialect.refusal(effect);
		this._outgoing.writeHead(effect.status, {...headers, 'content-length': Buffer.byteLength(body)});
		this._outgoing.end(body);
	}

	onSent(attempt: BackendAttempt): void {
		this._sink.feed({type: 'attempt-sent', attemptId: attempt.id});
	}

	onHead(attempt: BackendAttempt, head: AnswerHead): void {
		const reading = this._dialect.readAnswer(head.status, head.headers, this._incoming.headers);
		if (!reading.isOwn) {
			// The connection goes too: what else comes on it may belong to anybody.
			attempt.cancel();
			this.onFailure(attempt, 'wrong-answer');
			return;
		}

		this._heads.set(attempt.id, head);
		if (this._dialect.heldAnswerBytes > 0) {
			this._held.set(attempt.id, new HeldAnswer(this._dialect.heldAnswerBytes, reading));
			return;
		}

		this._tellHead(attempt, head, reading);
	}

	onData(attempt: BackendAttempt, chunk: Uint8Array): boolean {
		const held = this._held.get(attempt.id);
		if (held !== undefined && attempt !== this._passedOn) {
			if (!held.add(chunk)) {
				this._tellHead(attempt, this._heads.get(attempt.id)!, held.reading);
			}

			return true;
		}

		if (attempt !== this._passedOn || this._isAnswered) {
			return true;
		}

		this._bytesPassedOn += chunk.length;
		if (this._outgoing.write(chunk)) {
			return true;
		}

		this._waitForCaller();
		return false;
	}

	onEnd(attempt: BackendAttempt): void {
		const held = this._held.get(attempt.id);
		if (held !== undefined && attempt !== this._passedOn) {
			held.isWhole = true;
			this._tellHead(attempt, this._heads.get(attempt.id)!, held.reading);
		} else if (attempt === this._passedOn && !this._isAnswered) {
			this._endAnswer();
		}

		this._forget(attempt.id);
		this._sink.feed({type: 'attempt-done', attemptId: attempt.id, bytesPassedOn: this._bytesPassedOn});
	}

	onFailure(attempt: BackendAttempt, failure: AttemptFailure): void {
		this._forget(attempt.id);
		if (this._passedOn === attempt) {
			this._passedOn = undefined;
		}

		this._sink.feed({
			type: 'attempt-failed',
			attemptId: attempt.id,
			failure,
			isReplayable: this._body.isReplayable,
			bytesPassedOn: this._bytesPassedOn,
		});
	}

	/**
	 * Guards a resumed download against a partial answer that begins elsewhere than asked for: joined to
	 * what was passed on it would look whole and be wrong. Without a validator the engine breaks it off.
	 */
	private _isExpectedRange(attemptId: number, head: AnswerHead): boolean {
		const offset = this._resumeOffsets.get(attemptId);
		return offset === undefined || (head.headers['content-range'] ?? '').startsWith(`bytes ${offset}-`);
	}

	/**
	 * Guards a backend server's slot against a caller whose connection has gone silent: it takes no byte and
	 * sends no end, and a download to it would hold the slot for good. Any byte that it takes counts as life,
	 * so that a slow caller is never cut.
	 */
	private _waitForCaller(): void {
		if (this._isWaiting) {
			return;
		}

		this._isWaiting = true;
		const onStall = () => {
			this._outgoing.destroy();
		};

		const onTaken = () => {
			this._isWaiting = false;
			this._outgoing.off('drain', onTaken);
			this._outgoing.off('finish', onTaken);
			this._outgoing.off('timeout', onStall);
			this._outgoing.setTimeout(0);
			this._passedOn?.resume();
		};

		this._outgoing.setTimeout(this._stallMilliseconds, onStall);
		this._outgoing.once('drain', onTaken);
		// An ended answer never drains, it finishes. Node gives the connection to the next call at that event, which must not
		// inherit the timer: so this listener comes first.
		this._outgoing.prependOnceListener('finish', onTaken);
	}

	/** The last byte is written; a caller that never takes it must not hold the connection for good. */
	private _endAnswer(): void {
		this._isAnswered = true;
		this._outgoing.end();
		if (this._outgoing.writableLength > 0) {
			this._waitForCaller();
			this._outgoing.setTimeout(this._handOverMilliseconds);
		}
	}

	/**
	 * Guards against vouching for an answer whose length nobody told: a backend server that dies in the middle of it
	 * closes its connection just as at its end. Passed on with a length or in chunks it would look whole; so it ends as it
	 * came, with the connection.
	 */
	private _endByConnection(headers: string[]): void {
		headers.push('connection', 'close');
		this._outgoing.removeHeader('transfer-encoding');
		this._outgoing.shouldKeepAlive = false;
	}

	private _tellHead(attempt: BackendAttempt, head: AnswerHead, reading: AnswerReading): void {
		const {etag} = head.headers;
		this._sink.feed({
			type: 'attempt-head',
			attemptId: attempt.id,
			status: head.status,
			report: reading.report,
			...(reading.rateLimit === undefined ? {} : {rateLimit: reading.rateLimit}),
			isDeclaredNotRun: reading.isDeclaredNotRun,
			isReplayable: this._body.isReplayable,
			validator: this._isExpectedRange(attempt.id, head) && etag?.startsWith('"') ? etag : undefined,
		});
	}

	private _passHeldOn(attempt: BackendAttempt, held: HeldAnswer): void {
		for (const chunk of held.take()) {
			this._bytesPassedOn += chunk.length;
			this._outgoing.write(chunk);
		}

		if (held.isWhole) {
			this._endAnswer();
		} else if (this._outgoing.writableNeedDrain) {
			attempt.pause();
			this._waitForCaller();
		}
	}

	private _requestHeaders(effect: Start): string[] {
		const headers = this._dialect.attemptHeaders(this._incoming.headers, {
			timeoutMilliseconds: effect.timeoutMilliseconds, identity: effect.identity, traceparent: this._traceparent,
		});
		if (effect.resume !== undefined) {
			this._resumeOffsets.set(effect.attemptId, effect.resume.offset);
			headers.push('range', `bytes=${effect.resume.offset}-`, 'if-range', effect.resume.validator);
		}

		return headers;
	}

	private _forget(attemptId: number): void {
		this._attempts.delete(attemptId);
		this._heads.delete(attemptId);
		this._held.delete(attemptId);
	}

	private _onCallerClosed(): void {
		if (!this._isAnswered) {
			this._isAnswered = true;
			this._sink.feed({type: 'caller-gone', callId: this.callId});
		}
	}
}
