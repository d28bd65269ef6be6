/** State shared by the components of one fleet engine: current instant, effects, timers and store requests. */
import {type Instant, type RandomSource} from '../model/units.ts';
import {type StoreOperation, type StoreReply} from '../platform/types.ts';
import {type FleetEffect, type FleetSettings, type HashFunction} from './types.ts';
import {Timers} from './timers.ts';

/** Handles a reply; `sentAt` is the instant at which the request was sent, from which leases count. */
export type ReplyHandler = (reply: StoreReply, sentAt: Instant) => void;

export class FleetContext {
	private _effects: FleetEffect[] = [];
	private _nextRequestId = 1;
	private readonly _pending = new Map<number, {readonly sentAt: Instant; readonly onReply: ReplyHandler}>();

	readonly timers: Timers;
	/** Instant of the event that is being handled. */
	now: Instant = 0;
	/** Instant of the latest reply from the platform's service; undefined = none yet. */
	storeContactAt: Instant | undefined;
	storeCalls = 0;

	constructor(
		readonly settings: FleetSettings,
		readonly random: RandomSource,
		readonly hash: HashFunction,
	) {
		this.timers = new Timers();
	}

	emit(effect: FleetEffect): void {
		this._effects.push(effect);
	}

	log(level: 'debug' | 'info' | 'warn' | 'error', message: string, details: Readonly<Record<string, string | number | boolean>> = {}): void {
		this.emit({
			type: 'log', level, message, details,
		});
	}

	/** Returns and clears the effects emitted since the last call. */
	drainEffects(): readonly FleetEffect[] {
		const effects = this._effects;
		this._effects = [];
		return effects;
	}

	/** Sends a request to the platform's service; the adapter replies to every request once, with `unknown` if the outcome is uncertain. */
	requestStore(operation: StoreOperation, onReply: ReplyHandler): void {
		const requestId = this._nextRequestId;
		this._nextRequestId += 1;
		this.storeCalls += 1;
		this._pending.set(requestId, {sentAt: this.now, onReply});
		this.emit({type: 'store', requestId, operation});
	}

	/** Passes a reply to the request's handler; a second reply to the same request is dropped. */
	handleReply(requestId: number, reply: StoreReply): void {
		const pending = this._pending.get(requestId);
		this._pending.delete(requestId);
		if (!pending) {
			return;
		}

		if (reply.type !== 'unavailable' && reply.type !== 'unknown') {
			this.storeContactAt = this.now;
		}

		pending.onReply(reply, pending.sentAt);
	}

	/** A random duration of 0.75 to 1.25 times `milliseconds`, so that VMs that started together do not act in step. */
	jitter(milliseconds: number): number {
		return milliseconds * (0.75 + (0.5 * this.random.next()));
	}

	/** Up to `count` distinct elements of the list, in random order. */
	pickRandom<T>(list: readonly T[], count: number): T[] {
		const rest = [...list];
		const picked: T[] = [];
		while (picked.length < count && rest.length > 0) {
			const index = Math.min(rest.length - 1, Math.floor(this.random.next() * rest.length));
			picked.push(...rest.splice(index, 1));
		}

		return picked;
	}
}
