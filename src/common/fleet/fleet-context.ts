/** What the parts of the fleet engine share: the present instant, the effects, timers and store requests. */
import {type Instant, type RandomSource} from '../model/units.ts';
import {type StoreOperation, type StoreReply} from '../platform/types.ts';
import {type FleetEffect, type FleetSettings, type HashFunction} from './types.ts';
import {Timers} from './timers.ts';

/** Takes a reply; `sentAt` is the instant at which the request went out, from which leases count. */
export type ReplyHandler = (reply: StoreReply, sentAt: Instant) => void;

/** Shared by the parts of one engine. */
export class FleetContext {
	private _effects: FleetEffect[] = [];
	private _nextRequestId = 1;
	private readonly _pending = new Map<number, {readonly sentAt: Instant; readonly onReply: ReplyHandler}>();

	readonly timers: Timers;
	/** Instant of the event that is being handled. */
	now: Instant = 0;
	/** Latest instant at which the platform's service answered anything; undefined = never. */
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

	/** Hands over the effects gathered since the last call. */
	takeEffects(): readonly FleetEffect[] {
		const effects = this._effects;
		this._effects = [];
		return effects;
	}

	/** Asks the platform's service; the adapter answers every request once, `unknown` at worst. */
	requestStore(operation: StoreOperation, onReply: ReplyHandler): void {
		const requestId = this._nextRequestId;
		this._nextRequestId += 1;
		this.storeCalls += 1;
		this._pending.set(requestId, {sentAt: this.now, onReply});
		this.emit({type: 'store', requestId, operation});
	}

	/** Hands a reply to whoever asked; a second reply to the same request is dropped. */
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

	/** A span around `milliseconds` (0.75 to 1.25 of it), so that VMs started together do not act together. */
	jitter(milliseconds: number): number {
		return milliseconds * (0.75 + (0.5 * this.random.next()));
	}

	/** Up to `count` members of the list, in random order, without repetition. */
	pick<T>(list: readonly T[], count: number): T[] {
		const rest = [...list];
		const picked: T[] = [];
		while (picked.length < count && rest.length > 0) {
			const index = Math.min(rest.length - 1, Math.floor(this.random.next() * rest.length));
			picked.push(...rest.splice(index, 1));
		}

		return picked;
	}
}
