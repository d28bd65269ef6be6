/** Detects that a backend server has stopped sending an answer after the time limit of its call. */
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/** Interval between checks for new bytes; longer than the retransmission of one lost packet usually takes. */
const checkMilliseconds: Milliseconds = 200;

/**
 * Consecutive checks without new bytes after which the answer counts as silent. A single check is not enough: right after a
 * pause of this process, bytes that have arrived are still unread.
 */
const maxSilentChecks = 2;

export type AnswerSilenceOptions = {
	/** Time until the time limit of the call; not positive if it has passed. */
	readonly timeLeftMilliseconds: Milliseconds;
	/** Bytes received so far. */
	readonly receivedBytes: () => number;
	/** Whether the answer is paused because its caller reads slowly. */
	readonly isPaused: () => boolean;
	/** Called at most once. */
	readonly onSilent: () => void;
};

/**
 * Reports an answer whose backend server sends nothing more, from the time limit of its call on. An answer whose bytes keep
 * arriving may last longer than the limit.
 */
export class AnswerSilence extends Disposable {
	private readonly _options: AnswerSilenceOptions;
	private _timer: NodeJS.Timeout;
	private _silentChecks = 0;
	private _bytesAtLastCheck = -1;

	constructor(options: AnswerSilenceOptions) {
		super();
		this._options = options;
		// The first check only records the number of bytes, so that the second one, at the limit, can compare.
		this._timer = this._checkIn(Math.max(0, options.timeLeftMilliseconds - checkMilliseconds));
		this._register(toDisposable(() => {
			clearTimeout(this._timer);
		}));
	}

	private _checkIn(milliseconds: Milliseconds): NodeJS.Timeout {
		return setTimeout(() => {
			this._check();
		}, milliseconds);
	}

	private _check(): void {
		const {receivedBytes, isPaused, onSilent} = this._options;
		const bytes = receivedBytes();
		const isSilent = bytes === this._bytesAtLastCheck && !isPaused();
		this._bytesAtLastCheck = bytes;
		this._silentChecks = isSilent ? this._silentChecks + 1 : 0;
		if (this._silentChecks < maxSilentChecks) {
			this._timer = this._checkIn(checkMilliseconds);
		} else {
			onSilent();
		}
	}
}
