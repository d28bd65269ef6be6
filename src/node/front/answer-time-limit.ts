/** Ends answers that are not complete at the time limit of their call. */
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/** Interval between checks. The last bytes of an answer may arrive together with its limit. */
const checkMilliseconds: Milliseconds = 100;

/** A single check is not enough: right after a pause of this process, bytes that have arrived are still unread. */
const checksBeforeExpiry = 2;

/** Longest time for which an answer may still take, at the rate so far, if its caller reads slowly. */
const maxSlowCallerMilliseconds: Milliseconds = 60_000;

export type AnswerTimeLimitOptions = {
	/** Time until the time limit of the call; not positive if it has passed. */
	readonly timeLeftMilliseconds: Milliseconds;
	/** Declared length of the body; undefined = not declared. */
	readonly answerBytes: number | undefined;
	/** Bytes of the body received so far. */
	readonly receivedBytes: () => number;
	/** Time for which the call has waited for its caller to read so far, also during an earlier attempt. */
	readonly pausedMilliseconds: () => Milliseconds;
	/** Called at most once. */
	readonly onExpired: (isCallerSlow: boolean) => void;
};

/**
 * Reports an answer that is not complete 200 ms after the time limit of its call, whether its bytes keep arriving or not: the
 * answer of a faulty backend server may never end. If it has waited for its caller most of the time, it may go on while its
 * declared length and its rate so far show that it will end.
 */
export class AnswerTimeLimit extends Disposable {
	private readonly _options: AnswerTimeLimitOptions;
	private readonly _startedAt = performance.now();
	private readonly _pausedBefore: Milliseconds;
	private _timer: NodeJS.Timeout;
	private _checks = 0;

	constructor(options: AnswerTimeLimitOptions) {
		super();
		this._options = options;
		this._pausedBefore = options.pausedMilliseconds();
		this._timer = this._checkIn(Math.max(0, options.timeLeftMilliseconds) + checkMilliseconds);
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
		this._checks += 1;
		const elapsed = performance.now() - this._startedAt;
		const isCallerSlow = this._options.pausedMilliseconds() - this._pausedBefore > elapsed / 2;
		if (this._checks < checksBeforeExpiry || (isCallerSlow && this._isEndForeseeable(elapsed))) {
			this._timer = this._checkIn(checkMilliseconds);
		} else {
			this._options.onExpired(isCallerSlow);
		}
	}

	private _isEndForeseeable(elapsed: Milliseconds): boolean {
		const {answerBytes, receivedBytes} = this._options;
		const bytes = receivedBytes();
		return answerBytes !== undefined && (answerBytes - bytes) * elapsed <= bytes * maxSlowCallerMilliseconds;
	}
}
