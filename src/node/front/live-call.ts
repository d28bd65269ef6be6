/** One call on this VM: executes the call engine's decisions on sockets and reports events to the engine. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type AttemptFailure, type CallEffect, type CallId, type CallRequest,
} from '../../common/calls/types.ts';
import {MutableDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type ParsedAnswerHead, type Dialect, type Refusal} from '../../common/protocol/dialect.ts';
import {type MemoryBudget} from '../memory/memory-budget.ts';
import {AnswerSilence} from './answer-silence.ts';
import {AnswerTimeLimit} from './answer-time-limit.ts';
import {type BackendConnections} from './backend-connections.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {cutAnswer, cutAnswerSoon, markCloseDelimited} from './cut-answer.ts';
import {HeldAnswer} from './held-answer.ts';
import {type RequestBody} from './request-body.ts';
import {type AnswerHead, type AttemptListener, type CallEventSink} from './types.ts';
import {type UnpausedAnswer, type UnpausedAnswers} from './unpaused-answers.ts';

type StartAttempt = CallEffect & {type: 'start-attempt'};
type PassOn = CallEffect & {type: 'pass-on'};
type RefusalEffect = CallEffect & {type: 'refuse'};

/**
 * Stall timeout of a caller once the backend server's answer has been received completely. Longer than
 * `stallMilliseconds`, because only memory is held by then and no slot of a backend server. A slow reader makes no visible
 * progress while it empties its kernel's receive buffer: the kernel reopens the TCP window in steps of a sixteenth of that
 * buffer, which is 2 MB of 32 MB, read within this time at 35 KB/s.
 */
const defaultCompleteAnswerStallMilliseconds: Milliseconds = 60_000;

/** Upper bound for the memory of a write that waits for the caller, besides its bytes. */
const pendingWriteBytes = 1024;

/** Statuses whose answers have no body, and therefore need no length. */
const bodilessStatuses = new Set([204, 304]);

/** Answer to a call that ends by an exception. It may have run. */
const exceptionRefusal: Refusal = {
	status: 502, reason: 'outcome-unknown', outcome: 'unknown', retryAfterMilliseconds: undefined,
};

/** True if the answer's body has no declared length and ends when the connection closes (RFC 9112, 6.3). */
function isCloseDelimited({status, headers}: AnswerHead): boolean {
	return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined && !bodilessStatuses.has(status);
}

/** The caller's request and response, and how to serve them. */
export type CallerExchange = {
	readonly incoming: IncomingMessage;
	readonly outgoing: ServerResponse;
	/** Request path to send to the backend server. */
	readonly path: string;
	readonly body: RequestBody;
	/** Identifies the call in all log lines, both here and at its caller. */
	readonly traceId: string;
	/** W3C trace context to forward, if the dialect uses it. */
	readonly traceparent?: string;
	readonly dialect: Dialect;
	/** Whether organisations were in force when the call was admitted, or are now, so that the caller's key must not be forwarded. */
	readonly hidesKey?: () => boolean;
	/** Time without progress on a blocked write after which the caller's connection is closed. */
	readonly stallMilliseconds: Milliseconds;
	/** Bounds the memory of answers that cannot be paused. */
	readonly unpausedAnswers: UnpausedAnswers;
	/** Bounds the memory of answers that are buffered before they are forwarded. */
	readonly answerBudget: MemoryBudget;
	/** The same timeout once the backend server's answer has been received completely. */
	readonly completeAnswerStallMilliseconds?: Milliseconds | undefined;
};

/** A call with its attempts. Completes when the answer is written or the caller disconnects. */
export class LiveCall implements AttemptListener, UnpausedAnswer {
	readonly traceId: string;
	private readonly _request: CallRequest;
	private readonly _incoming: IncomingMessage;
	private readonly _outgoing: ServerResponse;
	private readonly _body: RequestBody;
	private readonly _path: string;
	private readonly _traceparent: string | undefined;
	private readonly _dialect: Dialect;
	private readonly _hidesKey: () => boolean;
	private readonly _stallMilliseconds: Milliseconds;
	private readonly _completeAnswerStallMilliseconds: Milliseconds;
	private readonly _unpausedAnswers: UnpausedAnswers;
	private readonly _answerBudget: MemoryBudget;
	private readonly _sink: CallEventSink;
	private readonly _connections: BackendConnections;
	private readonly _attempts = new Map<number, BackendAttempt>();
	private readonly _startedAttempts: number[] = [];
	private readonly _resumeOffsets = new Map<number, number>();
	private readonly _heads = new Map<number, AnswerHead>();
	private readonly _heldAnswers = new Map<number, HeldAnswer>();
	private _forwardedAttempt: BackendAttempt | undefined;
	private _forwardedBytes = 0;
	private _isAnswered = false;
	/** When the answer began to wait for its caller; undefined = it does not wait. */
	private _pausedAt: number | undefined;
	/** Duration of all earlier waits for the caller. */
	private _pausedMilliseconds: Milliseconds = 0;
	private _exceptionListener: ((error: unknown) => void) | undefined;
	/** Writes since the caller's connection last drained. */
	private _pendingWrites = 0;
	private readonly _answerLimit = new MutableDisposable<AnswerSilence | AnswerTimeLimit>();

	constructor(
		request: CallRequest,
		exchange: CallerExchange,
		sink: CallEventSink,
		connections: BackendConnections,
	) {
		this._request = request;
		this._incoming = exchange.incoming;
		this._outgoing = exchange.outgoing;
		this._path = exchange.path;
		this._traceparent = exchange.traceparent;
		this._dialect = exchange.dialect;
		this._hidesKey = exchange.hidesKey ?? (() => false);
		this.traceId = exchange.traceId;
		this._stallMilliseconds = exchange.stallMilliseconds;
		this._completeAnswerStallMilliseconds = exchange.completeAnswerStallMilliseconds ?? defaultCompleteAnswerStallMilliseconds;
		this._unpausedAnswers = exchange.unpausedAnswers;
		this._answerBudget = exchange.answerBudget;
		this._body = exchange.body;
		this._sink = sink;
		this._connections = connections;
		this._outgoing.on('close', () => {
			this._onCallerClosed();
		});
	}

	/** Organisation that the caller's key identified. */
	get organisation(): string | undefined {
		return this._request.organisation;
	}

	get callId(): CallId {
		return this._request.callId;
	}

	/** Identifiers of all attempts of this call so far. */
	get startedAttempts(): readonly number[] {
		return this._startedAttempts;
	}

	startAttempt(effect: StartAttempt): void {
		this._startedAttempts.push(effect.attemptId);
		const attempt = new BackendAttempt(effect.attemptId, this);
		this._attempts.set(effect.attemptId, attempt);
		const request = {
			method: this._request.method,
			path: this._path,
			headers: this._requestHeaders(effect),
			body: this._body.toSend(),
		};
		if (!effect.needsFreshConnection) {
			this._connections.dispatch(effect, 'calls', {options: attempt.dispatchOptions(request), handler: attempt, isNeeded: () => attempt.isNeeded});
			return;
		}

		const client = this._connections.createDedicatedClient(effect);
		attempt.start(client, request);
		// undici completes the attempt in flight before it closes the connection.
		void client.close();
	}

	cancelAttempt(attemptId: number): void {
		const attempt = this._attempts.get(attemptId);
		const length = Number(this._heads.get(attemptId)?.headers['content-length'] ?? Number.NaN);
		this._removeAttempt(attemptId);
		attempt?.cancel(Number.isNaN(length) ? undefined : length);
	}

	/** Forwards the head of the attempt's answer to the caller; `onData` forwards the body as it arrives. */
	forwardAnswer({attemptId, outcome, timeLeftMilliseconds, timeLimitScope}: PassOn): void {
		const head = this._heads.get(attemptId);
		const attempt = this._attempts.get(attemptId);
		if (head === undefined || attempt === undefined) {
			return;
		}

		this._forwardedAttempt = attempt;
		const held = this._heldAnswers.get(attemptId);
		const isComplete = held?.isComplete === true;
		if (!isComplete) {
			this._answerLimit.value = timeLimitScope === 'whole' ? this._limitTime(attempt, head, timeLeftMilliseconds) : this._limitSilence(attempt, timeLeftMilliseconds);
		}

		if (this._outgoing.headersSent) {
			// A resumed download: the head was already sent for the first attempt.
			if (held !== undefined) {
				this._forwardHeldAnswer(attempt, held);
			}

			return;
		}

		const headers = this._dialect.answerHeaders(head.headers, outcome);
		const needsLength = head.headers['content-length'] === undefined && this._hasBody(head);
		if (needsLength && isComplete) {
			headers.push('content-length', String(held.bytes));
		}

		// node:http sends an answer without a length in chunks, and closes the connection of a caller of HTTP/1.0 after it.
		this._outgoing.writeHead(head.status, headers);
		if (needsLength && !isComplete && !this._outgoing.chunkedEncoding) {
			markCloseDelimited(this._outgoing);
		}

		if (held !== undefined) {
			this._forwardHeldAnswer(attempt, held);
		}
	}

	/** Closes the caller's connection in the middle of the answer, so that the answer does not look complete. */
	abortAnswer(): void {
		this._isAnswered = true;
		this._answerLimit.dispose();
		cutAnswerSoon(this._outgoing);
	}

	/** Sends the final answer of a refused call in the form of its dialect, or closes the connection if a head was already sent. */
	refuse(effect: RefusalEffect): void {
		this._isAnswered = true;
		this._body.discard();
		if (this._outgoing.headersSent) {
			cutAnswer(this._outgoing);
			return;
		}

		const {headers, body} = this._dialect.refusal(effect);
		this._outgoing.writeHead(effect.status, {...headers, 'content-length': Buffer.byteLength(body)});
		this._outgoing.end(body);
	}

	/** Sets the listener for exceptions in this call, each of which ends the call. */
	setExceptionListener(listener: (error: unknown) => void): void {
		this._exceptionListener = listener;
	}

	onSent(attempt: BackendAttempt): void {
		this._guard(() => {
			this._sink.feed({type: 'attempt-sent', attemptId: attempt.id});
		});
	}

	onHead(attempt: BackendAttempt, head: AnswerHead): void {
		this._guard(() => {
			this._handleHead(attempt, head);
		});
	}

	onData(attempt: BackendAttempt, chunk: Uint8Array): boolean {
		let isDrained = true;
		this._guard(() => {
			isDrained = this._handleData(attempt, chunk);
		});
		return isDrained;
	}

	onEnd(attempt: BackendAttempt): void {
		this._guard(() => {
			this._handleEnd(attempt);
		});
	}

	onFailure(attempt: BackendAttempt, failure: AttemptFailure): void {
		this._guard(() => {
			this._handleFailure(attempt, failure);
		});
	}

	/** Ends the call after an exception: with an answer, or by cutting the one that has begun. */
	onException(error: unknown): void {
		this._exceptionListener?.(error);
		this._answerLimit.dispose();
		if (!this._outgoing.headersSent && !this._outgoing.destroyed) {
			this._isAnswered = true;
			this._body.discard();
			const {headers, body} = this._dialect.refusal(exceptionRefusal);
			this._outgoing.writeHead(exceptionRefusal.status, {...headers, 'content-length': Buffer.byteLength(body)});
			this._outgoing.end(body);
		} else if (!this._outgoing.writableEnded) {
			this._isAnswered = true;
			cutAnswer(this._outgoing);
		}

		this._sink.feed({type: 'caller-gone', callId: this.callId});
	}

	/** Ends an answer whose backlog is too large. */
	cut(): void {
		cutAnswer(this._outgoing);
	}

	/** undici drops an exception in the handler of an answer, or ends the attempt; the call could stay open without an answer. */
	private _guard(act: () => void): void {
		try {
			act();
		} catch (error) {
			this.onException(error);
		}
	}

	private _handleHead(attempt: BackendAttempt, head: AnswerHead): void {
		const parsedHead = this._dialect.parseAnswerHead(head.status, head.headers, this._incoming.headers);
		if (!parsedHead.isForThisCall) {
			// Closes the connection as well: further bytes on it may belong to any other call.
			attempt.cancel();
			this._handleFailure(attempt, 'wrong-answer');
			return;
		}

		this._heads.set(attempt.id, head);
		if (this._dialect.endsConnection(head.status, head.headers)) {
			attempt.cancel();
			this._reportHead(attempt, head, parsedHead);
			return;
		}

		if (this._dialect.heldAnswerBytes > 0) {
			this._heldAnswers.set(attempt.id, new HeldAnswer(this._dialect.heldAnswerBytes, parsedHead, this._answerBudget));
			return;
		}

		this._reportHead(attempt, head, parsedHead);
	}

	private _handleData(attempt: BackendAttempt, chunk: Uint8Array): boolean {
		const held = this._heldAnswers.get(attempt.id);
		if (held !== undefined && attempt !== this._forwardedAttempt) {
			if (!held.add(chunk)) {
				this._reportHead(attempt, this._heads.get(attempt.id)!, held.parsedHead);
			}

			return true;
		}

		if (attempt !== this._forwardedAttempt || this._isAnswered) {
			return true;
		}

		this._forwardedBytes += chunk.length;
		if (this._outgoing.write(chunk)) {
			return true;
		}

		this._armStallTimer();
		if (!attempt.canPause) {
			this._pendingWrites += 1;
			this._unpausedAnswers.set(this, this._outgoing.writableLength + (this._pendingWrites * pendingWriteBytes));
		}

		return false;
	}

	private _handleEnd(attempt: BackendAttempt): void {
		const head = this._heads.get(attempt.id);
		if (head !== undefined && isCloseDelimited(head) && this._connections.isEndReset) {
			this._handleFailure(attempt, 'reset-during-answer');
			return;
		}

		const held = this._heldAnswers.get(attempt.id);
		if (held !== undefined && attempt !== this._forwardedAttempt) {
			held.isComplete = true;
			this._reportHead(attempt, this._heads.get(attempt.id)!, held.parsedHead);
		} else if (attempt === this._forwardedAttempt && !this._isAnswered) {
			this._endAnswer();
		}

		this._removeAttempt(attempt.id);
		this._sink.feed({type: 'attempt-done', attemptId: attempt.id, bytesPassedOn: this._forwardedBytes});
	}

	private _handleFailure(attempt: BackendAttempt, failure: AttemptFailure): void {
		this._answerLimit.value = undefined;
		this._removeAttempt(attempt.id);
		if (this._forwardedAttempt === attempt) {
			this._forwardedAttempt = undefined;
		}

		this._sink.feed({
			type: 'attempt-failed',
			attemptId: attempt.id,
			failure,
			isReplayable: this._body.isReplayable,
			bytesPassedOn: this._forwardedBytes,
		});
	}

	/**
	 * Checks that the partial answer to a resumed download starts at the requested offset. Otherwise the joined body would
	 * look complete but be corrupt. On a mismatch no validator is reported, and the engine then aborts the answer.
	 */
	private _isExpectedRange(attemptId: number, head: AnswerHead): boolean {
		const offset = this._resumeOffsets.get(attemptId);
		return offset === undefined || (head.headers['content-range'] ?? '').startsWith(`bytes ${offset}-`);
	}

	/**
	 * Starts the stall timeout for a caller that does not read, and resumes the attempt once the caller's connection drains.
	 * Without the timeout a caller whose connection went silent without closing would hold a backend server's slot forever.
	 * Every byte that the caller reads resets the timeout, so a slow caller is not disconnected.
	 */
	private _armStallTimer(): void {
		if (this._pausedAt !== undefined) {
			return;
		}

		const pausedAt = performance.now();
		this._pausedAt = pausedAt;
		const onStall = () => {
			cutAnswer(this._outgoing);
		};

		const onDrained = () => {
			this._pausedAt = undefined;
			this._pausedMilliseconds += performance.now() - pausedAt;
			this._pendingWrites = 0;
			this._unpausedAnswers.set(this, 0);
			this._outgoing.off('drain', onDrained);
			this._outgoing.off('finish', onDrained);
			this._outgoing.off('timeout', onStall);
			this._outgoing.setTimeout(0);
			this._forwardedAttempt?.resume();
		};

		this._outgoing.setTimeout(this._stallMilliseconds, onStall);
		this._outgoing.once('drain', onDrained);
		// An ended response emits 'finish' instead of 'drain'. On that event Node assigns the connection to the next call, which
		// must not inherit the timeout, so this listener has to run first.
		this._outgoing.prependOnceListener('finish', onDrained);
	}

	/** From the time limit of the call on, fails the attempt when its backend server sends nothing more. */
	private _limitSilence(attempt: BackendAttempt, timeLeftMilliseconds: Milliseconds): AnswerSilence {
		return new AnswerSilence({
			timeLeftMilliseconds,
			receivedBytes: () => attempt.receivedBytes,
			isPaused: () => this._pausedAt !== undefined,
			onSilent: () => {
				attempt.cancel();
				this.onFailure(attempt, 'silent');
			},
		});
	}

	/** At the time limit of the call, fails the attempt, or cuts the answer if its caller is the slow one. */
	private _limitTime(attempt: BackendAttempt, {headers}: AnswerHead, timeLeftMilliseconds: Milliseconds): AnswerTimeLimit {
		const length = Number(headers['content-length'] ?? Number.NaN);
		return new AnswerTimeLimit({
			timeLeftMilliseconds,
			answerBytes: Number.isNaN(length) ? undefined : length,
			receivedBytes: () => attempt.receivedBytes,
			pausedMilliseconds: () => this._pausedMilliseconds + (this._pausedAt === undefined ? 0 : performance.now() - this._pausedAt),
			onExpired: isCallerSlow => {
				if (isCallerSlow) {
					cutAnswer(this._outgoing);
				} else {
					attempt.cancel();
					this.onFailure(attempt, 'late');
				}
			},
		});
	}

	/** Ends the response. A caller that never reads the remaining bytes must not hold the connection forever. */
	private _endAnswer(): void {
		this._isAnswered = true;
		this._answerLimit.dispose();
		this._body.discard();
		this._outgoing.end();
		if (this._outgoing.writableLength > 0) {
			this._armStallTimer();
			this._outgoing.setTimeout(this._completeAnswerStallMilliseconds);
		}
	}

	/** Whether the answer may have a body (RFC 9110, 6.4.1). */
	private _hasBody({status}: AnswerHead): boolean {
		return this._request.method !== 'HEAD' && !bodilessStatuses.has(status);
	}

	private _reportHead(attempt: BackendAttempt, head: AnswerHead, parsedHead: ParsedAnswerHead): void {
		const {etag} = head.headers;
		this._sink.feed({
			type: 'attempt-head',
			attemptId: attempt.id,
			status: head.status,
			report: parsedHead.report,
			...(parsedHead.rateLimit === undefined ? {} : {rateLimit: parsedHead.rateLimit}),
			isDeclaredNotRun: parsedHead.isDeclaredNotRun,
			isReplayable: this._body.isReplayable,
			validator: this._isExpectedRange(attempt.id, head) && etag?.startsWith('"') ? etag : undefined,
		});
	}

	private _forwardHeldAnswer(attempt: BackendAttempt, held: HeldAnswer): void {
		for (const chunk of held.take()) {
			this._forwardedBytes += chunk.length;
			this._outgoing.write(chunk);
		}

		if (held.isComplete) {
			this._endAnswer();
		} else if (this._outgoing.writableNeedDrain) {
			attempt.pause();
			this._armStallTimer();
		}
	}

	private _requestHeaders(effect: StartAttempt): string[] {
		const headers = this._dialect.attemptHeaders(this._incoming.headers, {
			timeoutMilliseconds: effect.timeoutMilliseconds,
			identity: effect.identity,
			traceparent: this._traceparent,
			...(this._hidesKey() ? {identified: {organisation: this._request.organisation}} : {}),
		});
		if (effect.resume !== undefined) {
			this._resumeOffsets.set(effect.attemptId, effect.resume.offset);
			headers.push('range', `bytes=${effect.resume.offset}-`, 'if-range', effect.resume.validator);
		}

		return headers;
	}

	private _removeAttempt(attemptId: number): void {
		this._attempts.delete(attemptId);
		this._heads.delete(attemptId);
		this._heldAnswers.get(attemptId)?.release();
		this._heldAnswers.delete(attemptId);
	}

	private _onCallerClosed(): void {
		this._answerLimit.dispose();
		this._unpausedAnswers.set(this, 0);
		if (!this._isAnswered) {
			this._isAnswered = true;
			this._sink.feed({type: 'caller-gone', callId: this.callId});
		}
	}
}
