/** Detects that a backend server has stopped sending an answer after the time limit of its call. */
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/** Interval of the checks; longer than a retransmission after one lost packet. */
const checkMilliseconds: Milliseconds = 200;

/** Consecutive checks without a byte; the second one is the first after the time limit. With one, the first check after a pause of the process would not count bytes that are still unread. */
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
 * Waits for the time limit of a call, and then until its answer makes no progress. The time limit does not cut an answer
 * whose bytes keep arriving, but nobody should wait longer than that for a backend server that sends nothing.
 */
export class AnswerSilence extends Disposable {
	private readonly _options: AnswerSilenceOptions;
	private _timer: NodeJS.Timeout;
	private _silentChecks = 0;
	private _bytesAtLastCheck = -1;

	constructor(options: AnswerSilenceOptions) {
		super();
		this._options = options;
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
