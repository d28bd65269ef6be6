/** Requests of one VM for tokens of the limits that backend servers announce. */
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {limitSlotCount, type ServerAsk, type ServerGrant} from './messages.ts';
import {
	type LimitEffect, type LimitSlotHolder, type ServerTokenRequest, type ServerTokenResult,
} from './types.ts';

/** Time for an answer of a holder: many round trips between data centres. */
const answerMilliseconds: Milliseconds = 60;

/** Backend servers whose holder is remembered, so that only a change of it is logged. */
const maxLoggedServers = 4096;

/** Requests without an answer after which the holder counts as unavailable; one datagram may have been lost. */
const maxTries = 2;

type PendingAsk = {readonly request: ServerTokenRequest; readonly slot: number; readonly sentAt: Instant; readonly tries: number};

export type ServerLimitClientOptions = {
	/** Hash function that all VMs share. */
	readonly hash: (text: string) => number;
	readonly random: RandomSource;
	readonly send: (holder: LimitSlotHolder, ask: ServerAsk, now: Instant) => void;
	readonly onEffect: (effect: LimitEffect) => void;
};

/** Each process belongs to one slot, whose holder is asked. Late and repeated answers are ignored. */
export class ServerLimitClient {
	private readonly _options: ServerLimitClientOptions;
	private readonly _pending = new Map<number, PendingAsk>();
	private _holders: ReadonlyMap<number, LimitSlotHolder> = new Map();
	/** Holder that was asked last, by process of the backend server. */
	private readonly _loggedHolders = new Map<string, string>();
	private _nextId: number | undefined;

	constructor(options: ServerLimitClientOptions) {
		this._options = options;
	}

	setHolders(holders: readonly LimitSlotHolder[]): void {
		this._holders = new Map(holders.map(holder => [holder.slot, holder]));
	}

	want(request: ServerTokenRequest, now: Instant): void {
		this._ask(request, 1, now);
	}

	onGrant({id, granted, retryAfter}: ServerGrant): void {
		const pending = this._take(id);
		if (pending !== undefined) {
			this._end(pending.request, granted > 0
				? {kind: 'granted', count: Math.min(granted, pending.request.wanted)}
				: {kind: 'refused', retryAfterMilliseconds: retryAfter});
		}
	}

	/** The VM that was asked has no right to the slot. */
	onNotHolder(id: number): void {
		const pending = this._take(id);
		if (pending !== undefined) {
			this._end(pending.request, {kind: 'unavailable'});
		}
	}

	/** After a pause the age of an answer is unknown, so none is waited for. */
	onWoke(): void {
		for (const id of this._pending.keys()) {
			this.onNotHolder(id);
		}
	}

	nextWakeUp(): Instant | undefined {
		const sentAt = Math.min(...Array.from(this._pending.values(), pending => pending.sentAt));
		return this._pending.size === 0 ? undefined : sentAt + answerMilliseconds;
	}

	tick(now: Instant): void {
		for (const [id, {request, sentAt, tries}] of this._pending) {
			if (now < sentAt + answerMilliseconds) {
				continue;
			}

			this._pending.delete(id);
			if (tries < maxTries) {
				this._ask(request, tries + 1, now);
			} else {
				this._end(request, {kind: 'unavailable'});
			}
		}
	}

	private _ask(request: ServerTokenRequest, tries: number, now: Instant): void {
		const {server, callsPerSecond, announcedAt, wanted} = request;
		const slot = Math.abs(this._options.hash(server)) % limitSlotCount;
		const holder = this._holders.get(slot);
		this._logHolder(request, slot, holder?.address ?? 'none');
		if (holder === undefined) {
			this._end(request, {kind: 'unavailable'});
			return;
		}

		// A restarted process must not take the answers to its predecessor's requests for its own.
		const id = this._nextId ?? Math.floor(this._options.random.next() * (2 ** 40));
		this._nextId = id + 1;
		this._pending.set(id, {
			request, slot, sentAt: now, tries,
		});
		this._options.send(holder, {
			kind: 'server-ask', id, slot, server, callsPerSecond, ageMilliseconds: Math.max(0, now - announcedAt), wanted,
		}, now);
	}

	private _logHolder({server, callsPerSecond}: ServerTokenRequest, slot: number, holder: string): void {
		if (this._loggedHolders.get(server) === holder) {
			return;
		}

		if (this._loggedHolders.size >= maxLoggedServers) {
			this._loggedHolders.clear();
		}

		this._loggedHolders.set(server, holder);
		this._options.onEffect({
			type: 'log', level: 'info', message: 'tokens of a backend server\'s rate limit requested', details: {
				server, callsPerSecond, slot, holder,
			},
		});
	}

	private _take(id: number): PendingAsk | undefined {
		const pending = this._pending.get(id);
		this._pending.delete(id);
		return pending;
	}

	private _end({server}: ServerTokenRequest, result: ServerTokenResult): void {
		this._options.onEffect({type: 'server-tokens', server, result});
	}
}
