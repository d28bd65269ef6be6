/** One attempt to run a call on a backend server, implemented as an undici dispatch handler. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Readable} from 'node:stream';
import {type Dispatcher, errors} from 'undici';
import {type AttemptFailure, type AttemptId} from '../../common/calls/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {NoRelayError} from '../fleet/tunnel-client.ts';
import {type AttemptListener} from './types.ts';

/** The answer of a cancelled attempt is read to its end up to this size, so that the connection can be reused. */
const maxDiscardedBytes = 65_536;

/**
 * Maximum time between the engine's decision to start an attempt and the first byte on the wire. A VM that was suspended while
 * it opened a connection would otherwise send the call to a backend server that began to shut down in the meantime. Opening a
 * connection takes at most half of this time.
 */
const defaultStartTimeoutMilliseconds: Milliseconds = 3000;

/** Statuses that HTTP defines (RFC 9110, 15). Callers' libraries take others for errors of their own, or for a success. */
const minStatus = 100;
const maxStatus = 599;

/** Lowest status that is not informational. */
export const minFinalStatus = 200;

/** Informational answers before the final one; a faulty backend server may send them without end. */
export const maxInformationalAnswers = 16;

/** Reason passed to undici if this side aborts an attempt. */
class AttemptCancelled extends Error {
	override readonly name = 'AttemptCancelled';
}

/**
 * True if the connection stays open after the answer. Otherwise the answer must not be paused: undici fails an assertion if the
 * connection closes while the answer is paused. Such an answer is read as it arrives and buffered in memory for its caller;
 * `UnpausedAnswers` bounds the buffers.
 */
function keepsConnectionOpen(headers: IncomingHttpHeaders): boolean {
	const hasLength = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
	// undici returns a list if a header occurs more than once.
	const connection = [headers.connection ?? ''].flat().join(',');
	return hasLength && !connection.toLowerCase().includes('close');
}

/** The request of an attempt; `headers` is a flat list of names and values. */
export type AttemptRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | Readable | undefined;
};

/** Options of undici, with the attempt that they start: undici wraps the handler itself before a client receives it. */
export type AttemptDispatchOptions = Dispatcher.DispatchOptions & {readonly attempt?: BackendAttempt};

/**
 * Calls exactly one of `onEnd` and `onFailure`, or neither after `cancel`. undici calls `onRequestStart` right before it writes
 * the first byte, so a failure before that call proves that nothing was sent and nothing ran.
 */
export class BackendAttempt implements Dispatcher.DispatchHandler {
	readonly id: AttemptId;
	private readonly _listener: AttemptListener;
	private readonly _startDeadline: number;
	private _controller: Dispatcher.DispatchController | undefined;
	private _isSent = false;
	private _hasHead = false;
	private _isEnded = false;
	private _isDiscarding = false;
	private _canPause = true;
	private _receivedBytes = 0;
	private _informationalCount = 0;

	constructor(id: AttemptId, listener: AttemptListener, startTimeoutMilliseconds: Milliseconds = defaultStartTimeoutMilliseconds) {
		this.id = id;
		this._listener = listener;
		this._startDeadline = performance.now() + startTimeoutMilliseconds;
	}

	/** Bytes received of the answer's body. */
	get receivedBytes(): number {
		return this._receivedBytes;
	}

	/** Whether `pause` has an effect. */
	get canPause(): boolean {
		return this._canPause;
	}

	/** False once the attempt was cancelled or has ended. */
	get isNeeded(): boolean {
		return !this._isEnded;
	}

	start(dispatcher: Dispatcher, request: AttemptRequest): void {
		dispatcher.dispatch(this.dispatchOptions(request), this);
	}

	dispatchOptions({method, path, headers, body}: AttemptRequest): AttemptDispatchOptions {
		return {
			attempt: this,
			method,
			path,
			headers,
			body,
			// Prevents undici from retrying the call on its own.
			idempotent: false,
			blocking: true,
		};
	}

	/**
	 * Cancels the attempt. If the answer has begun and its declared length `answerBytes` is small, reads and discards the rest;
	 * otherwise closes the connection, so that the backend server can stop the work.
	 */
	cancel(answerBytes?: number): void {
		if (this._isEnded) {
			return;
		}

		this._isEnded = true;
		if (this._hasHead && answerBytes !== undefined && answerBytes <= maxDiscardedBytes) {
			this._isDiscarding = true;
			this._controller?.resume();
			return;
		}

		this._controller?.abort(new AttemptCancelled());
	}

	pause(): void {
		if (this._canPause) {
			this._controller?.pause();
		}
	}

	resume(): void {
		this._controller?.resume();
	}

	/** The connection has ended: reads what is left of the answer, and pauses no more. */
	onConnectionEnd(): void {
		if (this._controller !== undefined) {
			this._canPause = false;
			this._controller.resume();
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		// undici calls this a second time if it retries a call after a lost connection. The retry must not reach the wire,
		// because a call may run at most once.
		if (this._isEnded || this._isSent) {
			controller.abort(new AttemptCancelled());
			return;
		}

		if (performance.now() > this._startDeadline) {
			this._isEnded = true;
			controller.abort(new AttemptCancelled());
			this._listener.onFailure(this, 'not-sent');
			return;
		}

		this._controller = controller;
		this._isSent = true;
		this._listener.onSent(this);
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
		if (this._isEnded) {
			return;
		}

		if (status < minFinalStatus) {
			this._informationalCount += 1;
		}

		if (status < minStatus || status > maxStatus || this._informationalCount > maxInformationalAnswers) {
			this._isEnded = true;
			controller.abort(new AttemptCancelled());
			this._listener.onFailure(this, 'wrong-answer');
			return;
		}

		if (status < minFinalStatus) {
			return;
		}

		this._hasHead = true;
		this._canPause = keepsConnectionOpen(headers);
		this._listener.onHead(this, {status, headers});
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this._receivedBytes += chunk.length;
		if (this._isDiscarding) {
			if (this._receivedBytes > maxDiscardedBytes) {
				controller.abort(new AttemptCancelled());
			}

			return;
		}

		if (!this._isEnded && !this._listener.onData(this, chunk)) {
			this.pause();
		}
	}

	onResponseEnd(): void {
		if (this._isEnded) {
			return;
		}

		this._isEnded = true;
		this._listener.onEnd(this);
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (this._isEnded) {
			return;
		}

		this._isEnded = true;
		this._listener.onFailure(this, this._classify(error));
	}

	private _classify(error: Error): AttemptFailure {
		if (!this._isSent) {
			if (error instanceof errors.ConnectTimeoutError) {
				return 'unreachable';
			}

			if (error instanceof NoRelayError) {
				return 'no-relay';
			}

			return 'code' in error && error.code === 'ECONNREFUSED' ? 'connection-refused' : 'not-sent';
		}

		if (error instanceof errors.BodyTimeoutError) {
			return 'silent';
		}

		return this._hasHead ? 'reset-during-answer' : 'reset-after-sending';
	}
}
