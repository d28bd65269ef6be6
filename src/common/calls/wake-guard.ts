/**
 * Guards against decisions of a VM that was paused (suspended, frozen, or starved of processor time).
 * The failure: it goes on with knowledge as old as the pause, and the calls in its sockets come before
 * the events in its sockets. It shows as work given to a backend server that began to leave long ago.
 * The guard: after a gap new calls wait for a moment, in order, and deadlines with them; other events pass.
 */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {
	type CallEffect, type CallEngine, type CallEngineStatus, type CallEvent, type CallLoad,
} from './types.ts';

/** An idle engine is asked at least so often, so that a gap is seen. One event in that time costs nothing. */
const longestQuietMilliseconds: Milliseconds = 500;

/** A gap longer than this is a pause. A busy loop or a garbage collection stays far below it. */
const pauseMilliseconds: Milliseconds = 1500;

/** Time for peers or the store to tell what is new: many round trips, and short beside the pause itself. */
const catchUpMilliseconds: Milliseconds = 500;

/**
 * What waits: new calls, and what lets a call begin. A caller that goes may be one of those, so it waits its turn.
 * Events of attempts never wait. Kept back behind a deadline, 'attempt-sent' would let a call be given up as
 * "not run" that runs; and the adapter drops what comes of an answer before its head was passed on.
 */
const waitingTypes = new Set<CallEvent['type']>(['call-arrived', 'key-claimed', 'caller-gone']);

/** A call engine behind the guard. */
export class WakeGuard implements CallEngine {
	private readonly _engine: CallEngine;
	private readonly _held: CallEvent[] = [];
	private _lastAt: Instant | undefined;
	private _isHolding = false;
	private _holdUntil: Instant = Number.NEGATIVE_INFINITY;

	constructor(engine: CallEngine) {
		this._engine = engine;
	}

	handle(event: CallEvent, now: Instant): readonly CallEffect[] {
		const isWoken = this._lastAt !== undefined && now - this._lastAt > pauseMilliseconds;
		this._lastAt = now;
		if (isWoken) {
			this._holdUntil = now + catchUpMilliseconds;
			this._isHolding = true;
			return [...this._engine.handle({type: 'placing-held', isHeld: true}, now), ...this._take(event, now)];
		}

		if (this._isHolding && now >= this._holdUntil) {
			this._isHolding = false;
			const begun = this._engine.handle({type: 'placing-held', isHeld: false}, now);
			// A deadline must not end a call whose attempt has not been carried out yet.
			return event.type === 'tick' ? begun : [...begun, ...this._take(event, now)];
		}

		return this._take(event, now);
	}

	nextWakeUp(): Instant {
		const lastAt = this._lastAt ?? 0;
		if (this._held.length > 0 || lastAt < this._holdUntil) {
			return Math.max(lastAt, this._holdUntil);
		}

		return Math.min(this._engine.nextWakeUp() ?? Number.POSITIVE_INFINITY, lastAt + longestQuietMilliseconds);
	}

	load(): CallLoad {
		return this._engine.load();
	}

	status(now: Instant): CallEngineStatus {
		return this._engine.status(now);
	}

	private _take(event: CallEvent, now: Instant): readonly CallEffect[] {
		const isWaiting = waitingTypes.has(event.type);
		// A tick only asks for what is due; while events are held, the next of them is due.
		if (!isWaiting && event.type !== 'tick') {
			return this._engine.handle(event, now);
		}

		if (isWaiting) {
			this._held.push(event);
		}

		if (now < this._holdUntil) {
			return [];
		}

		// One at a time: each event's effects are carried out before the next event, as without the guard.
		return this._engine.handle(this._held.shift() ?? event, now);
	}
}
