/** One call on a backend server: works for a given time, then sends the response. The work stops if the connection closes. */
import {performance} from 'node:perf_hooks';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Buffer} from 'node:buffer';
import {AnswerBody, bodyDigest} from '../answer-body.ts';
import {bytesHeader, callIdHeader, workHeader} from '../headers.ts';
import {timeoutHeader} from '../../common/protocol/headers.ts';
import {type CallRecord} from './types.ts';
import {selectRange} from './range.ts';

/** The backend server that runs a call. */
export type CallHost = {
	/** Headers of every response: the load report and, while draining, the leaving header. */
	responseHeaders(): Record<string, string>;
	/** Time that work takes in the current mode and warm-up state. */
	scaledWorkMilliseconds(workMilliseconds: number): number;
	readonly defaultWorkMilliseconds: number;
	readonly defaultAnswerBytes: number;
	/** Called when the call starts to run; returns its record. */
	onStarted(run: CallRun): CallRecord;
	/** Called when the call no longer needs its slot. */
	onEnded(run: CallRun, record: CallRecord): void;
};

function parseNumberHeader(request: IncomingMessage, name: string): number | undefined {
	const text = request.headers[name];
	const value = typeof text === 'string' ? Number(text) : Number.NaN;
	return Number.isFinite(value) && value >= 0 ? value : undefined;
}

/** Holds a slot from `start` until the response is sent, the connection closes or the deadline passes. */
export class CallRun {
	readonly callId: string;
	readonly path: string;
	private _record: CallRecord | undefined;
	private _timer: NodeJS.Timeout | undefined;
	private _hasEnded = false;
	private readonly _arrivedAt = performance.now();

	constructor(readonly request: IncomingMessage, readonly response: ServerResponse, private readonly _host: CallHost) {
		this.path = request.url ?? '/';
		this.callId = String(request.headers[callIdHeader] ?? '');
	}

	/** Time until the call's deadline; undefined if the request has no time-out header. */
	remainingMilliseconds(): number | undefined {
		const timeout = parseNumberHeader(this.request, timeoutHeader);
		return timeout === undefined ? undefined : timeout - (performance.now() - this._arrivedAt);
	}

	/** Starts the work; the caller of this method has acquired the slot. */
	start(body: Uint8Array): void {
		this._record = this._host.onStarted(this);
		this.response.once('close', () => {
			this._end(this.response.writableFinished ? 'finished' : 'cancelled');
		});
		const workMilliseconds = this._host.scaledWorkMilliseconds(parseNumberHeader(this.request, workHeader) ?? this._host.defaultWorkMilliseconds);
		const remainingMilliseconds = this.remainingMilliseconds();
		if (remainingMilliseconds !== undefined && remainingMilliseconds < workMilliseconds) {
			this._timer = setTimeout(() => {
				this._timeOut();
			}, remainingMilliseconds);
		} else if (workMilliseconds > 0) {
			this._timer = setTimeout(() => {
				this._respond(body);
			}, workMilliseconds);
		} else {
			this._respond(body);
		}
	}

	private _end(state: CallRecord['state']): void {
		if (this._hasEnded || this._record === undefined) {
			return;
		}

		this._hasEnded = true;
		clearTimeout(this._timer);
		this._record.state = state;
		this._host.onEnded(this, this._record);
	}

	/** Stops the work at the deadline. The call has run in part, so the response does not declare it as not run. */
	private _timeOut(): void {
		this.response.writeHead(504, {...this._host.responseHeaders(), 'content-length': 0});
		this._end('timed-out');
		this.response.end();
	}

	private _respond(requestBody: Uint8Array): void {
		const length = parseNumberHeader(this.request, bytesHeader) ?? this._host.defaultAnswerBytes;
		const body = new AnswerBody({
			method: this.request.method ?? 'GET', path: this.path, callId: this.callId, requestDigest: bodyDigest(requestBody),
		}, length);
		const range = selectRange(this.request.headers, body.validator, length);
		this.response.writeHead(range.status, {
			...this._host.responseHeaders(),
			etag: body.validator,
			'accept-ranges': 'bytes',
			'content-type': 'application/octet-stream',
			'content-length': range.end - range.start,
			...(range.status === 206 && {'content-range': `bytes ${range.start}-${range.end - 1}/${length}`}),
			...(range.status === 416 && {'content-range': `bytes */${length}`}),
		});
		this._write(body, range.start, range.end);
	}

	/** Writes only as fast as the socket drains, so that a download of any length needs the memory of one block. */
	private _write(body: AnswerBody, from: number, end: number): void {
		let offset = from;
		while (offset < end && !this.response.destroyed) {
			const chunk: Buffer = body.chunk(offset).subarray(0, end - offset);
			offset += chunk.length;
			if (offset >= end) {
				this.response.end(chunk);
				return;
			}

			if (!this.response.write(chunk)) {
				const next = offset;
				this.response.once('drain', () => {
					this._write(body, next, end);
				});
				return;
			}
		}

		if (from >= end) {
			this.response.end();
		}
	}
}
