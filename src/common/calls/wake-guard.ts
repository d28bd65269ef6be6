/**
 * Prevents decisions on outdated state after a pause of the VM (suspended, frozen, or without processor time).
 * After a pause, the state is as old as the pause, and calls in the sockets may be handled before pending updates. Then, for
 * example, calls go to a backend server that began to leave long ago.
 * After a gap between events, new calls and deadlines are therefore held for a moment, in order; other events pass.
 */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {
	type CallEffect, type CallEngine, type CallEngineStatus, type CallEvent, type CallLoad,
} from './types.ts';

/** Maximum time between ticks of an idle engine, so that a pause shows as a gap. The cost of one event in this time is negligible. */
const maxQuietMilliseconds: Milliseconds = 500;

/** A longer gap between events counts as a pause. A busy event loop or a garbage collection takes far less. */
const pauseMilliseconds: Milliseconds = 1500;

/** Time for updates from peers or the store to arrive: many round trips, and short compared with the pause itself. */
const catchUpMilliseconds: Milliseconds = 500;

/**
 * Events that are held: new calls, and events that let a call start. 'caller-gone' is held too, since its call may be among
 * the held ones. Events of attempts are never held: if 'attempt-sent' were handled after a deadline, a running call would be
 * refused as "not run", and the adapter drops the parts of an answer that arrive before its head was forwarded.
 */
const heldEventTypes = new Set<CallEvent['type']>(['call-arrived', 'key-claimed', 'caller-gone']);

/** Wraps a call engine and holds events after a pause. */
export class WakeGuard implements CallEngine {
	private readonly _engine: CallEngine;
	private readonly _heldEvents: CallEvent[] = [];
	private _lastEventAt: Instant | undefined;
	private _isHolding = false;
	private _holdUntil: Instant = Number.NEGATIVE_INFINITY;

	constructor(engine: CallEngine) {
		this._engine = engine;
	}

	handle(event: CallEvent, now: Instant): readonly CallEffect[] {
		const hasPaused = this._lastEventAt !== undefined && now - this._lastEventAt > pauseMilliseconds;
		this._lastEventAt = now;
		if (hasPaused) {
			this._holdUntil = now + catchUpMilliseconds;
			this._isHolding = true;
			return [...this._engine.handle({type: 'placing-held', isHeld: true}, now), ...this._handleOrHold(event, now)];
		}

		if (this._isHolding && now >= this._holdUntil) {
			this._isHolding = false;
			const effects = this._engine.handle({type: 'placing-held', isHeld: false}, now);
			// Handle no tick now: a deadline must not end a call before the adapter has executed the start of its attempt.
			return event.type === 'tick' ? effects : [...effects, ...this._handleOrHold(event, now)];
		}

		return this._handleOrHold(event, now);
	}

	nextWakeUp(): Instant {
		const lastEventAt = this._lastEventAt ?? 0;
		if (this._heldEvents.length > 0 || lastEventAt < this._holdUntil) {
			return Math.max(lastEventAt, this._holdUntil);
		}

		return Math.min(this._engine.nextWakeUp() ?? Number.POSITIVE_INFINITY, lastEventAt + maxQuietMilliseconds);
	}

	load(): CallLoad {
		return this._engine.load();
	}

	status(now: Instant): CallEngineStatus {
		return this._engine.status(now);
	}

	private _handleOrHold(event: CallEvent, now: Instant): readonly CallEffect[] {
		const isHeldType = heldEventTypes.has(event.type);
		// A tick handles due timers; while events are held, it releases the next of them instead.
		if (!isHeldType && event.type !== 'tick') {
			return this._engine.handle(event, now);
		}

		if (isHeldType) {
			this._heldEvents.push(event);
		}

		if (now < this._holdUntil) {
			return [];
		}

		// Release one held event at a time, so that its effects are executed before the next event, as without the guard.
		return this._engine.handle(this._heldEvents.shift() ?? event, now);
	}
}
