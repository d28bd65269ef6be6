/** Feeds a decider one event at a time, has its effects carried out, and wakes it when it asks for it. */
import {type Decider} from '../common/entry-vm/types.ts';
import {Disposable, type DisposableLike, MutableDisposable} from '../common/lifecycle/disposable.ts';
import {type Instant} from '../common/model/units.ts';
import {type Clock} from './clock.ts';

/** Takes events; they are handled in order, one at a time. */
export type EventSink<Event> = {
	feed(event: Event): void;
};

/** Carries one effect out; what comes of it is fed back. */
export type Carrier<Effect> = (effect: Effect) => void;

/** The loop round one decider: one loop on one thread. */
export class DeciderLoop<Event, Effect> extends Disposable implements EventSink<Event | {readonly type: 'tick'}> {
	private readonly _decider: Decider<Event | {readonly type: 'tick'}, Effect>;
	private readonly _clock: Clock;
	private readonly _pending: Array<Event | {readonly type: 'tick'}> = [];
	private readonly _timer = this._register(new MutableDisposable<DisposableLike>());
	private _carrier: Carrier<Effect> | undefined;
	private _isRunning = false;
	private _isDisposed = false;
	private _wakeUpAt: Instant | undefined;

	constructor(decider: Decider<Event | {readonly type: 'tick'}, Effect>, clock: Clock) {
		super();
		this._decider = decider;
		this._clock = clock;
	}

	/** Names who carries effects out. Carriers feed the loop, so they are made after it. */
	setCarrier(carrier: Carrier<Effect>): void {
		this._carrier = carrier;
	}

	override dispose(): void {
		this._isDisposed = true;
		super.dispose();
	}

	/**
	 * Effects can cause events at once (a refused connection, a caller that is gone); those wait here,
	 * so that the decider never sees an event in the middle of another.
	 */
	feed(event: Event | {readonly type: 'tick'}): void {
		this._pending.push(event);
		if (this._isRunning || this._isDisposed) {
			return;
		}

		this._isRunning = true;
		try {
			for (let next = this._pending.shift(); next !== undefined; next = this._pending.shift()) {
				for (const effect of this._decider.handle(next, this._clock.now())) {
					this._carrier?.(effect);
				}
			}
		} finally {
			this._isRunning = false;
		}

		this._schedule();
	}

	/**
	 * A timer that is early enough stays: most events move the next wake-up to later, and resetting a
	 * timer with each of them costs more than one wake-up for nothing.
	 */
	private _schedule(): void {
		const wakeUpAt = this._decider.nextWakeUp();
		if (wakeUpAt === undefined || (this._wakeUpAt !== undefined && this._wakeUpAt <= wakeUpAt)) {
			return;
		}

		this._wakeUpAt = wakeUpAt;
		this._timer.value = this._clock.after(wakeUpAt - this._clock.now(), () => {
			this._wakeUpAt = undefined;
			this.feed({type: 'tick'});
		});
	}
}
