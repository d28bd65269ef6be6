/** Runs a decider: passes it one event at a time, executes its effects and sends a tick at its wake-up time. */
import {type Decider} from '../common/entry-vm/types.ts';
import {Disposable, type DisposableLike, MutableDisposable} from '../common/lifecycle/disposable.ts';
import {type Instant} from '../common/model/units.ts';
import {type Clock} from './clock.ts';

/** Accepts events, which are handled in order, one at a time. */
export type EventSink<Event> = {
	feed(event: Event): void;
};

/** Executes one effect and feeds its results back to the loop as events. */
export type EffectExecutor<Effect> = (effect: Effect) => void;

/** Event loop of one decider, on one thread. */
export class DeciderLoop<Event, Effect> extends Disposable implements EventSink<Event | {readonly type: 'tick'}> {
	private readonly _decider: Decider<Event | {readonly type: 'tick'}, Effect>;
	private readonly _clock: Clock;
	private readonly _pending: Array<Event | {readonly type: 'tick'}> = [];
	private readonly _timer = this._register(new MutableDisposable<DisposableLike>());
	private _executor: EffectExecutor<Effect> | undefined;
	private _beforeEvent: (() => void) | undefined;
	private _isRunning = false;
	private _isDisposed = false;
	private _wakeUpAt: Instant | undefined;

	constructor(decider: Decider<Event | {readonly type: 'tick'}, Effect>, clock: Clock) {
		super();
		this._decider = decider;
		this._clock = clock;
	}

	/** Sets the executor of effects. A setter, because executors feed the loop and are therefore created after it. */
	setExecutor(executor: EffectExecutor<Effect>): void {
		this._executor = executor;
	}

	/** Sets a function that is called before each event is queued; events that it feeds come before this one, and after those already queued. */
	setBeforeEvent(beforeEvent: () => void): void {
		this._beforeEvent = beforeEvent;
	}

	override dispose(): void {
		this._isDisposed = true;
		super.dispose();
	}

	/**
	 * Handles an event, or queues it if another is being handled: executing an effect can cause events synchronously, such as a
	 * refused connection or a disconnected caller, and the decider must not be re-entered.
	 */
	feed(event: Event | {readonly type: 'tick'}): void {
		this._beforeEvent?.();
		this._pending.push(event);
		if (this._isRunning || this._isDisposed) {
			return;
		}

		this._isRunning = true;
		const errors: unknown[] = [];
		for (let next = this._pending.shift(); next !== undefined; next = this._pending.shift()) {
			this._handle(next, errors);
		}

		this._isRunning = false;
		this._schedule();
		if (errors.length > 0) {
			throw errors.length === 1 ? errors[0] : new AggregateError(errors, 'exceptions in several effects');
		}
	}

	/** Handles one event and executes its effects. One that throws does not keep others from being executed: they may be answers to callers. */
	private _handle(event: Event | {readonly type: 'tick'}, errors: unknown[]): void {
		try {
			for (const effect of this._decider.handle(event, this._clock.now())) {
				try {
					this._executor?.(effect);
				} catch (error) {
					errors.push(error);
				}
			}
		} catch (error) {
			errors.push(error);
		}
	}

	/**
	 * Sets the timer for the next wake-up, unless one is set for that instant or earlier. Most events postpone the wake-up, and
	 * resetting the timer each time costs more than one unnecessary tick.
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
