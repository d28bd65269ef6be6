/** Detects that the whole VM was suspended. */
import {Disposable, MutableDisposable, type DisposableLike} from '../common/lifecycle/disposable.ts';
import {Emitter} from '../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../common/model/units.ts';
import {type Clock} from '../node/clock.ts';

const checkIntervalMilliseconds: Milliseconds = 250;

/** Shorter steps of the wall clock are treated as clock adjustments. */
const minPauseMilliseconds: Milliseconds = 1000;

/**
 * Compares the wall clock with the monotonic clock. While the hypervisor suspends a VM its monotonic clock stands still, so that
 * expired leases still look valid, but the wall clock moves on: the difference is the length of the pause. A process that
 * is only stopped needs no detection, since its monotonic clock moves on.
 */
export class PauseDetector extends Disposable {
	private readonly _clock: Clock;
	private readonly _wallClock: () => number;
	private readonly _timer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onWoke = this._register(new Emitter<Milliseconds>());
	private readonly _minPause: Milliseconds;
	private _lastMonotonic = 0;
	private _lastWall = 0;

	/** Fires with the approximate length of a pause in milliseconds. */
	readonly onWoke = this._onWoke.event;

	/** `minPause` = shorter differences between the clocks are ignored. */
	constructor(clock: Clock, wallClock: () => number, minPause = minPauseMilliseconds) {
		super();
		this._minPause = minPause;
		this._clock = clock;
		this._wallClock = wallClock;
	}

	start(): void {
		this._readClocks();
		this._timer.value = this._clock.after(checkIntervalMilliseconds, () => {
			this.check();
			this.start();
		});
	}

	/** Compares the progress of the two clocks since the last check. */
	check(): void {
		const gap = this._wallClock() - this._lastWall - (this._clock.now() - this._lastMonotonic);
		this._readClocks();
		if (gap >= this._minPause) {
			this._onWoke.fire(gap);
		}
	}

	private _readClocks(): void {
		this._lastMonotonic = this._clock.now();
		this._lastWall = this._wallClock();
	}
}
