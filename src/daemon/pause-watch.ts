/** Notices that the whole VM stood still. */
import {Disposable, MutableDisposable, type DisposableLike} from '../common/lifecycle/disposable.ts';
import {Emitter} from '../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../common/model/units.ts';
import {type Clock} from '../node/clock.ts';

const checkEvery: Milliseconds = 250;

/** Wall-clock steps below this are adjustments of the clock, no pause. */
const shortestPause: Milliseconds = 1000;

/**
 * A VM that is suspended from outside wakes with a monotonic clock that did not move, so its leases look
 * valid although they lapsed. The wall clock did move: the difference of the two is the pause. (A
 * process that is merely stopped sees its monotonic clock jump, which needs no watch.)
 */
export class PauseWatch extends Disposable {
	private readonly _clock: Clock;
	private readonly _wallClock: () => number;
	private readonly _timer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onWoke = this._register(new Emitter<Milliseconds>());
	private _monotonic = 0;
	private _wall = 0;

	/** The VM stood still for about this long. */
	readonly onWoke = this._onWoke.event;

	constructor(clock: Clock, wallClock: () => number) {
		super();
		this._clock = clock;
		this._wallClock = wallClock;
	}

	start(): void {
		this._monotonic = this._clock.now();
		this._wall = this._wallClock();
		this._timer.value = this._clock.after(checkEvery, () => {
			this.check();
			this.start();
		});
	}

	/** Compares the two clocks since the last check. */
	check(): void {
		const gap = this._wallClock() - this._wall - (this._clock.now() - this._monotonic);
		if (gap >= shortestPause) {
			this._onWoke.fire(gap);
		}
	}
}
