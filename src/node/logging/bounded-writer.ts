/** Writes log lines to standard output without ever waiting for whoever reads it. */
import {write} from 'node:fs';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/** Standard output. */
const descriptor = 1;

/** Lines gathered for this long go out together: a write costs more than ten lines. */
const gatherMilliseconds: Milliseconds = 50;

/** Most bytes that wait for a reader; a second of the fullest log. More is dropped and counted. */
const mostWaitingBytes = 262_144;

/** Longest that the end of the process waits for a reader: less than a half of what a bounded stop leaves for its last steps. */
const usualLongestEnd: Milliseconds = 100;

/**
 * Guards calls against a log that nobody reads: Node's own standard output blocks the thread once a pipe is full, and
 * every call on the VM waits with it. Here a write is under way at most once, on a helper thread; what does not fit
 * beside it is counted and left out, and the count is written as soon as there is room again.
 */
export class BoundedWriter extends Disposable {
	private readonly _longestEnd: Milliseconds;
	private _lines: string[] = [];
	private _bytes = 0;
	private _dropped = 0;
	private _isWriting = false;
	private _timer: NodeJS.Timeout | undefined;
	private _onAllWritten: (() => void) | undefined;

	/** `longestEnd` = longest that the end waits for a reader. */
	constructor(longestEnd: Milliseconds = usualLongestEnd) {
		super();
		this._longestEnd = longestEnd;
		this._register(toDisposable(() => {
			clearTimeout(this._timer);
		}));
	}

	/** Takes one line with its line end. */
	readonly write = (line: string): void => {
		if (this._bytes + line.length > mostWaitingBytes) {
			this._dropped++;
			return;
		}

		this._lines.push(line);
		this._bytes += line.length;
		this._timer ??= setTimeout(() => {
			this._flush();
		}, gatherMilliseconds).unref();
	};

	/**
	 * The process ends: resolves when all lines are written, or when the longest time for it is over. Guards against a log
	 * that ends before its process: a write that was under way held the last lines back, and a planned end looked like a crash.
	 */
	async end(): Promise<void> {
		return new Promise(resolve => {
			const timer = setTimeout(resolve, this._longestEnd);
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
		this._writeAll(Buffer.from(this._take()));
	}

	private _take(): string {
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

			// A pipe that does not block says so when it is full: the same bytes are tried again.
			if (error?.code === 'EAGAIN') {
				setTimeout(() => {
					this._writeAll(bytes);
				}, gatherMilliseconds).unref();
				return;
			}

			// A closed standard output leaves nowhere to tell of it; calls go on.
			this._isWriting = false;
			this._flush();
		});
	}
}
