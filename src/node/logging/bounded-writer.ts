/** Writes log lines to standard output without blocking on its reader. */
import {write} from 'node:fs';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/** File descriptor of standard output. */
const descriptor = 1;

/** Time for which lines are collected before they are written together; a write costs more than formatting ten lines. */
const flushDelayMilliseconds: Milliseconds = 50;

/** Maximum number of buffered bytes, one second of the busiest log. Further lines are dropped and counted. */
const maxBufferedBytes = 262_144;

/** Default time for which the end of the process waits for a reader; less than half of the time that a bounded stop reserves for its last steps. */
const defaultEndTimeoutMilliseconds: Milliseconds = 100;

/**
 * Keeps calls independent of the log's reader: Node's own standard output blocks the thread once the pipe is full, which
 * delays every call on the VM. Here at most one write is in progress, on a helper thread. Lines that exceed the buffer are
 * dropped and counted, and the count is written as soon as there is room.
 */
export class BoundedWriter extends Disposable {
	private readonly _endTimeoutMilliseconds: Milliseconds;
	private _lines: string[] = [];
	private _bytes = 0;
	private _dropped = 0;
	private _isWriting = false;
	private _timer: NodeJS.Timeout | undefined;
	private _onAllWritten: (() => void) | undefined;

	/** `longestEnd` = maximum time for which `end` waits for a reader, in milliseconds. */
	constructor(endTimeoutMilliseconds: Milliseconds = defaultEndTimeoutMilliseconds) {
		super();
		this._endTimeoutMilliseconds = endTimeoutMilliseconds;
		this._register(toDisposable(() => {
			clearTimeout(this._timer);
		}));
	}

	/** Buffers one line, including its line end. */
	readonly write = (line: string): void => {
		if (this._bytes + line.length > maxBufferedBytes) {
			this._dropped++;
			return;
		}

		this._lines.push(line);
		this._bytes += line.length;
		this._timer ??= setTimeout(() => {
			this._flush();
		}, flushDelayMilliseconds).unref();
	};

	/**
	 * Flushes the buffer at the end of the process; resolves when all lines are written or the time limit is reached. Without
	 * it, the last lines are lost if a write is in progress, and a planned stop looks like a crash in the log.
	 */
	async end(): Promise<void> {
		return new Promise(resolve => {
			const timer = setTimeout(resolve, this._endTimeoutMilliseconds);
			this._onAllWritten = () => {
				clearTimeout(timer);
				resolve();
			};

			this._flush();
		});
	}

	private _flush(): void {
		clearTimeout(this._timer);
		this._timer = undefined;
		if (this._isWriting) {
			return;
		}

		if (this._lines.length === 0) {
			this._onAllWritten?.();
			return;
		}

		this._isWriting = true;
		this._writeAll(Buffer.from(this._takeBuffer()));
	}

	private _takeBuffer(): string {
		const text = this._lines.join('');
		const summary = this._dropped === 0 ? '' : `${JSON.stringify({level: 'warn', message: 'log lines left out', count: this._dropped})}\n`;
		this._lines = [];
		this._bytes = 0;
		this._dropped = 0;
		return text + summary;
	}

	private _writeAll(bytes: Uint8Array): void {
		write(descriptor, bytes, 0, bytes.length, undefined, (error, written) => {
			if (error === null && written < bytes.length) {
				this._writeAll(bytes.subarray(written));
				return;
			}

			// EAGAIN: the non-blocking pipe is full. Retry the same bytes later.
			if (error?.code === 'EAGAIN') {
				setTimeout(() => {
					this._writeAll(bytes);
				}, flushDelayMilliseconds).unref();
				return;
			}

			// Other errors, such as a closed standard output, cannot be reported anywhere and are ignored.
			this._isWriting = false;
			this._flush();
		});
	}
}
