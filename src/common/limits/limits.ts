/** Decides on the rate limits of organisations and backend servers in one VM: as a client of the holders, and as the holder of the slots it has a right to. */
import {type Instant, type RandomSource} from '../model/units.ts';
import {type OrganisationLimit} from '../organisations/types.ts';
import {LimitClient} from './limit-client.ts';
import {LimitHolder} from './limit-holder.ts';
import {type Ask, type LimitMessage, type ServerAsk} from './messages.ts';
import {ServerLimitClient} from './server-limit-client.ts';
import {ServerLimitHolder} from './server-limit-holder.ts';
import {
	type DatagramEvent, type LimitEffect, type LimitEvent, type LimitRight, type LimitSlotHolder, type LimitSlotsEffect, type ServerTokenRequest,
} from './types.ts';

/** Name of this VM as an asker at its own slots; no endpoint looks like it. */
const ownAsker = 'own';

const unavailableRetryMilliseconds = 1000;

export type LimitsOptions = {
	readonly dataCentre: string;
	readonly random: RandomSource;
	/** Hash function that all VMs share: they must agree on the slot that grants the tokens of a backend server. */
	readonly hash: (text: string) => number;
};

/**
 * Fraction of a backend server's rate limit that the last holder of a slot grants after its right has ended. The sum with a new holder, which it may not know
 * yet, is still tolerated.
 */
const lapsedFraction = 0.3;

/** A slot that this VM holds; `address` = address of the holder in the list of slots from the store, undefined if it has none. */
type HeldSlot = {readonly holder: LimitHolder; readonly servers: ServerLimitHolder; right: LimitRight; address: string | undefined};

/** A slot that this VM held last: its right has ended, and no later holder is known. */
type LapsedSlot = {readonly address: string; readonly servers: ServerLimitHolder};

/**
 * The rate limits of one VM.
 *
 * A token is granted only within a right to the slot, which is checked at every grant, and each grant is used at most once:
 * holders ignore repeated requests, and clients ignore answers that they do not expect.
 */
export class Limits {
	private readonly _client: LimitClient | undefined;
	private readonly _serverClient: ServerLimitClient | undefined;
	private readonly _held = new Map<number, HeldSlot>();
	private readonly _lapsed = new Map<number, LapsedSlot>();
	/** Ends of the rights that a pause voided. Only a right that ends later was renewed after the pause. */
	private readonly _voidedUntil = new Map<number, Instant>();
	/** Calls that have a token. */
	private readonly _tokens = new Map<number, {readonly organisation: string; readonly slot: number; readonly grantedAt: Instant}>();
	/** Asks to this VM's own slots that are not handled yet. */
	private readonly _ownAsks: Array<Ask | ServerAsk> = [];
	private _limits: ReadonlyMap<string, OrganisationLimit> = new Map();
	private readonly _waiting = new Map<number, string>();
	private _loggedVersion: number | undefined;
	private _effects: LimitEffect[] = [];

	/** @param options undefined = the VM has no endpoint for datagrams, so that it refuses all calls of organisations with a limit */
	constructor(options?: LimitsOptions) {
		if (options !== undefined) {
			this._client = new LimitClient({
				...options,
				send: (holder, ask, now) => {
					this._send(holder, ask, now);
				},
				onEffect: effect => {
					this._onClientEffect(effect);
				},
			});
			this._serverClient = new ServerLimitClient({
				hash: options.hash,
				random: options.random,
				send: (holder, ask, now) => {
					this._send(holder, ask, now);
				},
				onEffect: effect => {
					this._effects.push(effect);
				},
			});
		}
	}

	/** Number of calls that wait for a token. */
	get waitingCalls(): number {
		return this._waiting.size;
	}

	handle(event: LimitEvent, now: Instant): readonly LimitEffect[] {
		this._effects = [];
		this._dispatch(event, now);
		this._answerOwnAsks(now);
		return this._effects;
	}

	nextWakeUp(): Instant | undefined {
		const earliest = Math.min(this._client?.nextWakeUp() ?? Number.POSITIVE_INFINITY, this._serverClient?.nextWakeUp() ?? Number.POSITIVE_INFINITY);
		return earliest === Number.POSITIVE_INFINITY ? undefined : earliest;
	}

	private _dispatch(event: LimitEvent, now: Instant): void {
		switch (event.type) {
			case 'configured': {
				this._configure(event, now);
				break;
			}

			case 'limit-slots': {
				this._setSlots(event, now);
				break;
			}

			case 'datagram': {
				this._onDatagram(event, now);
				break;
			}

			case 'woke': {
				this._onWoke(now);
				break;
			}

			case 'token-wanted': {
				this._onTokenWanted(event, now);
				break;
			}

			case 'caller-gone': {
				this._onCallerGone(event.callId, now);
				break;
			}

			case 'call-ended': {
				this._onCallEnded(event, now);
				break;
			}

			case 'server-tokens-wanted': {
				this._onServerTokensWanted(event.request, now);
				break;
			}

			case 'tick': {
				this._client?.tick(now);
				this._serverClient?.tick(now);
				break;
			}
		}
	}

	/** Voids all rights: the lease of a slot may have ended while the monotonic clock stood still. */
	private _onWoke(now: Instant): void {
		for (const [slot, {right}] of this._held) {
			this._voidedUntil.set(slot, right.until);
		}

		this._held.clear();
		this._lapsed.clear();
		this._tokens.clear();
		this._client?.onWoke(now);
		this._serverClient?.onWoke();
	}

	private _onServerTokensWanted(request: ServerTokenRequest, now: Instant): void {
		if (this._serverClient === undefined) {
			this._effects.push({type: 'server-tokens', server: request.server, result: {kind: 'unavailable'}});
		} else {
			this._serverClient.want(request, now);
		}
	}

	private _onCallerGone(callId: number, now: Instant): void {
		this._waiting.delete(callId);
		const record = this._client?.cancel(callId, now);
		if (record !== undefined) {
			this._effects.push({type: 'call-cancelled', callId, record});
		}
	}

	private _onCallEnded({callId, hasRun}: Extract<LimitEvent, {type: 'call-ended'}>, now: Instant): void {
		const token = this._tokens.get(callId);
		this._tokens.delete(callId);
		if (token !== undefined && !hasRun) {
			this._client?.reuse(token.organisation, token.slot, token.grantedAt, now);
		}
	}

	private _configure({version, organisations}: Extract<LimitEvent, {type: 'configured'}>, now: Instant): void {
		const limits = new Map<string, OrganisationLimit>();
		for (const [name, {limit}] of organisations ?? []) {
			if (limit !== undefined) {
				limits.set(name, limit);
			}
		}

		if (this._client === undefined && limits.size > 0 && version !== this._loggedVersion) {
			this._loggedVersion = version;
			this._effects.push({
				type: 'log', level: 'error', message: 'organisations have rate limits but this VM has no listen.limits, so their calls are refused', details: {version, organisations: limits.size},
			});
		}

		for (const [callId, name] of this._waiting) {
			if (!limits.has(name)) {
				this._settleWithoutToken(callId, organisations === undefined || organisations.has(name), now);
			}
		}

		this._limits = limits;
		for (const {holder} of this._held.values()) {
			holder.configure(limits, now);
		}

		this._client?.configure(limits);
	}

	/** A waiting call whose limit was removed runs without a token; one whose organisation was removed is refused. */
	private _settleWithoutToken(callId: number, isOrganisationKnown: boolean, now: Instant): void {
		this._waiting.delete(callId);
		const record = this._client?.cancel(callId, now) ?? {
			waitedMilliseconds: 0, slot: undefined, refusedBy: [], unansweredBy: [],
		};
		this._effects.push(isOrganisationKnown
			? {type: 'call-allowed', callId, record}
			: {
				type: 'call-refused', callId, reason: 'limits-unavailable', retryAfterMilliseconds: unavailableRetryMilliseconds, record,
			});
	}

	private _setSlots({slots, own}: LimitSlotsEffect, now: Instant): void {
		const rights = new Map(own.map(right => [right.slot, right]));
		const addresses = new Map(slots.map(({slot, address}) => [slot, address]));
		for (const [slot, {address}] of this._lapsed) {
			if (rights.has(slot) || addresses.get(slot) !== address) {
				this._lapsed.delete(slot);
			}
		}

		for (const [slot, {address}] of this._held) {
			if (!rights.has(slot)) {
				this._held.delete(slot);
				this._lapse(slot, address, addresses.get(slot));
			}
		}

		for (const [slot, right] of rights) {
			const voidedUntil = this._voidedUntil.get(slot);
			if (voidedUntil !== undefined && right.until <= voidedUntil) {
				continue;
			}

			this._voidedUntil.delete(slot);
			const held = this._held.get(slot);
			// Another VM may have held the slot between two rights that do not adjoin, and granted what its buckets had.
			if (held !== undefined && right.from <= held.right.until && now < held.right.until) {
				held.right = right;
				held.address = addresses.get(slot);
			} else {
				this._held.set(slot, {
					holder: new LimitHolder(slot, this._limits, Math.max(now, right.from)), servers: new ServerLimitHolder(), right, address: addresses.get(slot),
				});
			}
		}

		this._serverClient?.setHolders(slots);
		this._client?.setHolders(slots, now);
	}

	/**
	 * Goes on with a fraction of the rate limits if no later holder is known. While the store is out of reach no VM can obtain the right, and the
	 * sum of what VMs start without a holder depends on their lists of VMs, which may differ.
	 */
	private _lapse(slot: number, ownAddress: string | undefined, address: string | undefined): void {
		if (ownAddress !== undefined && ownAddress === address) {
			this._lapsed.set(slot, {address, servers: new ServerLimitHolder(lapsedFraction)});
			this._effects.push({
				type: 'log', level: 'info', message: 'limit slot has no holder; this VM grants a part of the limits of backend servers', details: {slot},
			});
		}
	}

	private _onDatagram({from, message}: DatagramEvent, now: Instant): void {
		switch (message.kind) {
			case 'ask':
			case 'server-ask': {
				const answer = this._answer(message, from, now);
				if (answer !== undefined) {
					this._effects.push({type: 'send-datagram', to: from, message: answer});
				}

				break;
			}

			case 'grant': {
				this._client?.onGrant(message, now);
				break;
			}

			case 'server-grant': {
				this._serverClient?.onGrant(message);
				break;
			}

			case 'not-holder': {
				this._client?.onNotHolder(message.id, message.slot, now);
				this._serverClient?.onNotHolder(message.id);
				break;
			}
		}
	}

	/** Answers a request for tokens; undefined = the network has delivered it twice, and it was answered before. */
	private _answer(ask: Ask | ServerAsk, from: string, now: Instant): LimitMessage | undefined {
		const held = this._heldSlot(ask.slot, now);
		if (ask.kind === 'ask') {
			return held === undefined ? {kind: 'not-holder', id: ask.id, slot: ask.slot} : held.holder.ask(ask, from, now);
		}

		const {servers} = held ?? this._lapsed.get(ask.slot) ?? {};
		return servers?.ask(ask, now) ?? {kind: 'not-holder', id: ask.id, slot: ask.slot};
	}

	private _onTokenWanted({callId, organisation, withinMilliseconds}: Extract<LimitEvent, {type: 'token-wanted'}>, now: Instant): void {
		this._waiting.set(callId, organisation);
		if (this._client !== undefined && this._limits.has(organisation)) {
			this._client.want(callId, organisation, withinMilliseconds, now);
			return;
		}

		this._settleWithoutToken(callId, false, now);
	}

	/** The slot, if this VM has the right to grant its tokens at `now`. */
	private _heldSlot(slot: number, now: Instant): HeldSlot | undefined {
		const held = this._held.get(slot);
		return held !== undefined && held.right.from <= now && now < held.right.until ? held : undefined;
	}

	private _send(holder: LimitSlotHolder, ask: Ask | ServerAsk, now: Instant): void {
		if (this._heldSlot(holder.slot, now) === undefined && (ask.kind === 'ask' || !this._lapsed.has(holder.slot))) {
			this._effects.push({type: 'send-datagram', to: holder.address, message: ask});
		} else {
			this._ownAsks.push(ask);
		}
	}

	/** Answers the asks to own slots without a datagram. Handled in a loop, as an answer may cause further asks. */
	private _answerOwnAsks(now: Instant): void {
		for (let ask = this._ownAsks.shift(); ask !== undefined; ask = this._ownAsks.shift()) {
			const answer = this._answer(ask, ownAsker, now) ?? {kind: 'not-holder', id: ask.id, slot: ask.slot};
			this._onDatagram({type: 'datagram', from: ownAsker, message: answer}, now);
		}
	}

	private _onClientEffect(effect: LimitEffect): void {
		if (effect.type === 'call-allowed') {
			const organisation = this._waiting.get(effect.callId);
			const {record: {slot}, grantedAt} = effect;
			if (organisation !== undefined && slot !== undefined && grantedAt !== undefined) {
				this._tokens.set(effect.callId, {organisation, slot, grantedAt});
			}
		}

		if (effect.type === 'call-allowed' || effect.type === 'call-refused') {
			this._waiting.delete(effect.callId);
		}

		this._effects.push(effect);
	}
}
