/** One call on this VM: carries out what the call engine decides and tells it what happened. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type AttemptFailure, type CallEffect, type CallId, type CallOutcome, type CallRequest, type LoadReport,
} from '../../common/calls/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {forwardedHeaders} from '../../common/protocol/forwarding.ts';
import {
	declaredNotRunHeader, leavingHeader, loadReportHeader, outcomeHeader, problemTypePrefix, retryHeader, timeoutHeader, traceHeader,
} from '../../common/protocol/headers.ts';
import {parseLoadHeader} from '../../common/protocol/load-report.ts';
import {type TraceContext} from '../logging/trace-context.ts';
import {type BackendConnections} from './backend-connections.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {type RequestBody} from './request-body.ts';
import {type AnswerHead, type AttemptListener, type CallEventSink} from './types.ts';

type Start = CallEffect & {type: 'start-attempt'};
type Refusal = CallEffect & {type: 'refuse'};

/** The caller's side of a call. */
export type Exchange = {
	readonly incoming: IncomingMessage;
	readonly outgoing: ServerResponse;
	/** Path on the backend server. */
	readonly path: string;
	readonly body: RequestBody;
	readonly trace: TraceContext;
	/** A caller that takes no byte for this long is taken for gone. */
	readonly stallMilliseconds: Milliseconds;
};

/** A call and its attempts. Ends itself when its answer is out or its caller has gone. */
export class LiveCall implements AttemptListener {
	private readonly _request: CallRequest;
	private readonly _incoming: IncomingMessage;
	private readonly _outgoing: ServerResponse;
	private readonly _body: RequestBody;
	private readonly _path: string;
	private readonly _trace: TraceContext;
	private readonly _stallMilliseconds: Milliseconds;
	private readonly _sink: CallEventSink;
	private readonly _connections: BackendConnections;
	private readonly _attempts = new Map<number, BackendAttempt>();
	private readonly _startedAttempts: number[] = [];
	private readonly _resumeOffsets = new Map<number, number>();
	private readonly _heads = new Map<number, AnswerHead>();
	private _passedOn: BackendAttempt | undefined;
	private _bytesPassedOn = 0;
	private _isAnswered = false;

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
		this._trace = exchange.trace;
		this._stallMilliseconds = exchange.stallMilliseconds;
		this._body = exchange.body;
		this._sink = sink;
		this._connections = connections;
		this._outgoing.on('close', () => {
			this._onCallerClosed();
		});
	}

	/** Identifies the call in all log lines, here and below. */
	get traceId(): string {
		return this._trace.traceId;
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

		const headers = forwardedHeaders(head.headers);
		headers.push(outcomeHeader, outcome);
		this._outgoing.writeHead(head.status, headers);
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

		const retryAfter = effect.retryAfterMilliseconds;
		const body = JSON.stringify({
			type: problemTypePrefix + effect.reason,
			title: effect.reason.replaceAll('-', ' '),
			status: effect.status,
			outcome: effect.outcome,
			...(retryAfter === undefined ? {} : {retryAfterMilliseconds: Math.ceil(retryAfter)}),
		});
		this._outgoing.writeHead(effect.status, {
			'content-type': 'application/problem+json',
			'content-length': Buffer.byteLength(body),
			[outcomeHeader]: effect.outcome,
			...(retryAfter === undefined ? {} : {'retry-after': String(Math.max(1, Math.ceil(retryAfter / 1000)))}),
		});
		this._outgoing.end(body);
	}

	onSent(attempt: BackendAttempt): void {
		this._sink.feed({type: 'attempt-sent', attemptId: attempt.id});
	}

	onHead(attempt: BackendAttempt, head: AnswerHead): void {
		this._heads.set(attempt.id, head);
		const {etag} = head.headers;
		this._sink.feed({
			type: 'attempt-head',
			attemptId: attempt.id,
			status: head.status,
			report: this._report(head),
			isDeclaredNotRun: head.headers[declaredNotRunHeader] === 'not-run',
			isReplayable: this._body.isReplayable,
			validator: this._isExpectedRange(attempt.id, head) && etag?.startsWith('"') ? etag : undefined,
		});
	}

	onData(attempt: BackendAttempt, chunk: Uint8Array): boolean {
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
		if (attempt === this._passedOn && !this._isAnswered) {
			this._isAnswered = true;
			this._outgoing.end();
		}

		this._forget(attempt.id);
		this._sink.feed({type: 'attempt-done', attemptId: attempt.id});
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
		const onStall = () => {
			this._outgoing.destroy();
		};

		this._outgoing.setTimeout(this._stallMilliseconds, onStall);
		this._outgoing.once('drain', () => {
			this._outgoing.off('timeout', onStall);
			this._outgoing.setTimeout(0);
			this._passedOn?.resume();
		});
	}

	private _requestHeaders(effect: Start): string[] {
		const headers = forwardedHeaders(this._incoming.headers);
		headers.push(timeoutHeader, String(Math.max(1, Math.floor(effect.timeoutMilliseconds))), retryHeader, 'none', traceHeader, this._trace.traceparent);
		if (effect.resume !== undefined) {
			this._resumeOffsets.set(effect.attemptId, effect.resume.offset);
			headers.push('range', `bytes=${effect.resume.offset}-`, 'if-range', effect.resume.validator);
		}

		return headers;
	}

	private _report(head: AnswerHead): LoadReport | undefined {
		const header = head.headers[loadReportHeader];
		const isLeaving = head.headers[leavingHeader] === 'true';
		return parseLoadHeader(typeof header === 'string' ? header : undefined, isLeaving);
	}

	private _forget(attemptId: number): void {
		this._attempts.delete(attemptId);
		this._heads.delete(attemptId);
	}

	private _onCallerClosed(): void {
		if (!this._isAnswered) {
			this._isAnswered = true;
			this._sink.feed({type: 'caller-gone', callId: this.callId});
		}
	}
}
