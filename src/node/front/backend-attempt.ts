/** One attempt to run a call on a backend server, as an undici dispatch handler. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Readable} from 'node:stream';
import {type Dispatcher, errors} from 'undici';
import {type AttemptFailure, type AttemptId} from '../../common/calls/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type AttemptListener} from './types.ts';

/** An unwanted answer up to this size is read to its end, so that its connection stays usable. */
const discardLimitBytes = 65_536;

/**
 * Guards against a decision as old as a pause: a VM that was stopped while a connection was being opened would go
 * on to send the call to a backend server that began to leave meanwhile. Opening takes half of this at most.
 */
const usualLatestStartMilliseconds: Milliseconds = 3000;

/** Why a controller was aborted by this side. */
class AttemptCancelled extends Error {
	override readonly name = 'AttemptCancelled';
}

/**
 * Whether the connection is kept after the answer. Guards the process against an assertion in undici: an answer that ends
 * with its connection must not be paused when that ends, or the whole VM dies. Such an answer is taken in as it comes, at
 * the price of memory for what its caller has not taken yet; its size is bounded by what backend servers send.
 */
function outlivesAnswer({connection = '', ...headers}: IncomingHttpHeaders): boolean {
	const hasLength = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
	return hasLength && !connection.toLowerCase().includes('close');
}

/** What is sent. */
export type AttemptRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | Readable | undefined;
};

/**
 * Tells exactly one end (`onEnd` or `onFailure`), or none after `cancel`. The proof that nothing ran
 * rests on `onRequestStart`, which undici calls right before it writes the first byte: a failure
 * before it left nothing on the wire.
 */
export class BackendAttempt implements Dispatcher.DispatchHandler {
	readonly id: AttemptId;
	private readonly _listener: AttemptListener;
	private readonly _latestStart: number;
	private _controller: Dispatcher.DispatchController | undefined;
	private _isSent = false;
	private _hasHead = false;
	private _isEnded = false;
	private _isDiscarding = false;
	private _mayPause = true;
	private _bytes = 0;

	constructor(id: AttemptId, listener: AttemptListener, latestStartMilliseconds: Milliseconds = usualLatestStartMilliseconds) {
		this.id = id;
		this._listener = listener;
		this._latestStart = performance.now() + latestStartMilliseconds;
	}

	/** Bytes of the answer's body that came in. */
	get bytes(): number {
		return this._bytes;
	}

	start(dispatcher: Dispatcher, request: AttemptRequest): void {
		dispatcher.dispatch({
			method: request.method,
			path: request.path,
			headers: request.headers,
			body: request.body,
			// Keeps undici from ever sending the call a second time by itself.
			idempotent: false,
			blocking: true,
		}, this);
	}

	/** Gives the attempt up. The backend server sees its connection close and can stop the work. */
	cancel(answerBytes?: number): void {
		if (this._isEnded) {
			return;
		}

		this._isEnded = true;
		if (this._hasHead && answerBytes !== undefined && answerBytes <= discardLimitBytes) {
			this._isDiscarding = true;
			this._controller?.resume();
			return;
		}

		this._controller?.abort(new AttemptCancelled());
	}

	pause(): void {
		if (this._mayPause) {
			this._controller?.pause();
		}
	}

	resume(): void {
		this._controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		// Guards at-most-once against a resend inside the library: undici calls this a second time if it
		// takes a call up again after a lost connection. It must not reach the wire.
		if (this._isEnded || this._isSent) {
			controller.abort(new AttemptCancelled());
			return;
		}

		if (performance.now() > this._latestStart) {
			this._isEnded = true;
			controller.abort(new AttemptCancelled());
			this._listener.onFailure(this, 'not-sent');
			return;
		}

		this._controller = controller;
		this._isSent = true;
		this._listener.onSent(this);
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
		if (status < 200 || this._isEnded) {
			return;
		}

		this._hasHead = true;
		this._mayPause = outlivesAnswer(headers);
		this._listener.onHead(this, {status, headers});
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this._bytes += chunk.length;
		if (this._isDiscarding) {
			if (this._bytes > discardLimitBytes) {
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
			return error instanceof errors.ConnectTimeoutError || ('code' in error && error.code === 'ECONNREFUSED')
				? 'connection-refused'
				: 'not-sent';
		}

		if (error instanceof errors.BodyTimeoutError) {
			return 'silent';
		}

		return this._hasHead ? 'reset-during-answer' : 'reset-after-sending';
	}
}
