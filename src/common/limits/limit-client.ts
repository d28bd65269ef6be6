/** The calls of one VM that need a token, and the VM's requests to the holders of the limit slots. */
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {type OrganisationLimit} from '../organisations/types.ts';
import {
	type Ask, type Grant, maxDatagramBytes, maxOrganisationsPerMessage,
} from './messages.ts';
import {
	type LimitEffect, type LimitRecord, type LimitRefusalReason, type LimitSlotHolder,
} from './types.ts';

/** Time for an answer of a holder: many round trips between data centres. */
const answerMilliseconds: Milliseconds = 60;

/** Time for which a holder that did not answer is asked only if the others have no token. */
const skipMilliseconds: Milliseconds = 500;

/** A holder that left this many requests in a row unanswered is not asked at all while it is skipped; one may have been lost. */
const failuresUntilIgnored = 2;

/** Maximum wait of a call for its token. */
const maxWaitMilliseconds: Milliseconds = 250;

/** Tokens are prefetched for the calls expected in this time. */
const prefetchMilliseconds: Milliseconds = 100;

/** Unused tokens are returned after this time, so that they do not run in a later window than the one they were granted for. */
const tokenMilliseconds: Milliseconds = 200;

/** Maximum time for which calls are refused without a request after all holders have refused. */
const maxRefusalMilliseconds: Milliseconds = 50;

/** Time over which the call rate of an organisation is averaged. */
const rateWindowMilliseconds: Milliseconds = 500;

/** Prefetch begins again this long after a refusal: tokens in stock at one VM are missing at the others. */
const prefetchPauseMilliseconds: Milliseconds = 1000;

/** Retry delay if no holder can be reached; a random part of the same length is added, so that callers do not retry together. */
const unavailableRetryMilliseconds: Milliseconds = 500;

/** Maximum retry delay, as of the holders. */
const maxRetryMilliseconds: Milliseconds = 10_000;

/** Bytes of an ask besides its wants, and of a want besides the name; generous, so that the answer fits too. */
const messageBytes = 100;
const wantBytes = 24;

const encoder = new TextEncoder();

/** A call that waits for a token. */
type WaitingCall = {
	readonly callId: number;
	readonly organisation: OrganisationState;
	readonly arrivedAt: Instant;
	readonly deadline: Instant;
	/** Retry delays of the slots that refused it. */
	readonly refusedBy: Map<number, Milliseconds>;
	readonly unansweredBy: Set<number>;
	/** Slot that is to be asked for it next or has been asked; undefined = no slot has a known holder. */
	target: number | undefined;
	isAsked: boolean;
};

/** Tokens in stock that one slot granted at one time. */
type Stock = {readonly slot: number; readonly grantedAt: Instant; count: number};

type OrganisationState = {
	readonly name: string;
	readonly waiting: Set<WaitingCall>;
	readonly stock: Stock[];
	/** Calls per millisecond, averaged exponentially. */
	rate: number;
	rateAt: Instant;
	/** Calls are refused without a request until then. */
	refusedUntil: Instant;
	/** Time at which the next refused caller may expect a token. */
	retryAt: Instant;
	lastRefusedAt: Instant;
};

/** A request to a holder. */
type PendingAsk = {
	readonly id: number;
	readonly sentAt: Instant;
	readonly wanted: ReadonlyMap<string, number>;
	readonly calls: readonly WaitingCall[];
};

type HolderState = {
	readonly holder: LimitSlotHolder;
	pending: PendingAsk | undefined;
	/** Requests without an answer since the last answer. */
	failures: number;
	skippedUntil: Instant;
	/** Time at which the latest request without an answer was sent. */
	failedAt: Instant;
	/** Unused tokens by organisation, returned with the next request. */
	readonly returns: Map<string, number>;
};

/** Sends an ask to the holder of a slot. */
export type AskSender = (holder: LimitSlotHolder, ask: Ask, now: Instant) => void;

export type LimitClientOptions = {
	readonly dataCentre: string;
	readonly random: RandomSource;
	readonly send: AskSender;
	readonly onEffect: (effect: LimitEffect) => void;
};

export class LimitClient {
	private readonly _options: LimitClientOptions;
	private readonly _calls = new Map<number, WaitingCall>();
	private readonly _organisations = new Map<string, OrganisationState>();
	private readonly _holders = new Map<number, HolderState>();
	/** Requests that got no answer in time; a late answer still brings tokens that nobody else can use. */
	private readonly _lateAsks = new Map<number, {readonly slot: number; readonly sentAt: Instant; readonly wanted: ReadonlyMap<string, number>}>();
	private _limits: ReadonlyMap<string, OrganisationLimit> = new Map();
	private _nextId: number;

	constructor(options: LimitClientOptions) {
		this._options = options;
		// A restarted process must not repeat ids, since holders ignore repeated ones.
		this._nextId = Math.floor(options.random.next() * (2 ** 40));
	}

	get waitingCalls(): number {
		return this._calls.size;
	}

	/** Changes the limits. Stock and waiting calls of an organisation without a limit are dropped; the caller settles those calls first. */
	configure(limits: ReadonlyMap<string, OrganisationLimit>): void {
		this._limits = limits;
		for (const [name, {waiting}] of this._organisations) {
			if (!limits.has(name)) {
				for (const call of waiting) {
					this._calls.delete(call.callId);
				}

				this._organisations.delete(name);
			}
		}
	}

	setHolders(holders: readonly LimitSlotHolder[], now: Instant): void {
		const bySlot = new Map(holders.map(holder => [holder.slot, holder]));
		for (const [slot, state] of this._holders) {
			if (bySlot.get(slot)?.address !== state.holder.address) {
				this._abandonAsk(state);
				this._holders.delete(slot);
			}
		}

		for (const [slot, holder] of bySlot) {
			if (!this._holders.has(slot)) {
				this._holders.set(slot, {
					holder, pending: undefined, failures: 0, skippedUntil: Number.NEGATIVE_INFINITY, failedAt: Number.NEGATIVE_INFINITY, returns: new Map(),
				});
			}
		}

		this._dispatch(now);
	}

	/** Asks for a token for a call, which is allowed or refused at once or later. */
	want(callId: number, name: string, withinMilliseconds: Milliseconds, now: Instant): void {
		const organisation = this._organisation(name, now);
		this._recordCall(organisation, now);
		const call: WaitingCall = {
			callId,
			organisation,
			arrivedAt: now,
			deadline: now + Math.min(maxWaitMilliseconds, withinMilliseconds),
			refusedBy: new Map(),
			unansweredBy: new Set(),
			target: undefined,
			isAsked: false,
		};
		this._calls.set(callId, call);
		organisation.waiting.add(call);
		this._serve(organisation, now);
		if (!this._calls.has(callId)) {
			return;
		}

		if (organisation.refusedUntil > now) {
			this._refuse(call, 'over-limit', this._nextRetry(organisation, now), now);
			return;
		}

		this._dispatch(now);
	}

	/** The call no longer needs a token. Returns its record if it was waiting. */
	cancel(callId: number, now: Instant): LimitRecord | undefined {
		const call = this._calls.get(callId);
		if (call === undefined) {
			return undefined;
		}

		this._remove(call);
		return this._record(call, undefined, now);
	}

	/**
	 * Takes back the token of a call that did not run, for the next call of the organisation. An older token is returned to
	 * its holder, whose bucket bounds how many of them can be used at once.
	 */
	reuse(name: string, slot: number, grantedAt: Instant, now: Instant): void {
		if (!this._limits.has(name)) {
			return;
		}

		if (now - grantedAt < tokenMilliseconds) {
			this._addTokens(this._organisation(name, now), {slot, count: 1, grantedAt}, now);
		} else {
			this._returnTokens(name, slot, 1);
		}
	}

	onGrant({id, slot, grants}: Grant, now: Instant): void {
		const state = this._holders.get(slot);
		const pending = state?.pending;
		if (state === undefined || pending?.id !== id || now - pending.sentAt > maxWaitMilliseconds) {
			this._onLateGrant(id, grants, now);
			return;
		}

		state.pending = undefined;
		state.failures = 0;
		state.skippedUntil = Number.NEGATIVE_INFINITY;
		const retries = this._takeGrants(slot, pending.wanted, grants, now);
		for (const call of pending.calls) {
			if (this._calls.get(call.callId) === call) {
				call.isAsked = false;
				call.target = undefined;
				const retry = retries.get(call.organisation.name) ?? 1;
				// Without a retry delay the tokens were granted and went to calls that have waited longer.
				if (retry > 0) {
					call.refusedBy.set(slot, retry);
				}
			}
		}

		this._dispatch(now);
	}

	/** The VM that was asked does not hold the slot, so that the calls go on to the other holders. */
	onNotHolder(id: number, slot: number, now: Instant): void {
		const state = this._holders.get(slot);
		if (state?.pending?.id === id) {
			state.failures = Math.max(state.failures, failuresUntilIgnored - 1);
			this._onUnanswered(state, now);
			this._dispatch(now);
		}
	}

	/** Drops all tokens and requests: after a pause their age is unknown. */
	onWoke(now: Instant): void {
		for (const organisation of this._organisations.values()) {
			organisation.stock.length = 0;
		}

		this._lateAsks.clear();
		for (const state of this._holders.values()) {
			this._abandonAsk(state);
			state.returns.clear();
		}

		this._dispatch(now);
	}

	nextWakeUp(): Instant | undefined {
		let next = Number.POSITIVE_INFINITY;
		for (const {deadline} of this._calls.values()) {
			next = Math.min(next, deadline);
		}

		for (const {pending} of this._holders.values()) {
			next = Math.min(next, pending === undefined ? next : pending.sentAt + answerMilliseconds);
		}

		if (this._holders.size > 0 && [...this._calls.values()].some(({target}) => target === undefined)) {
			next = Math.min(next, ...[...this._holders.values()].map(({failedAt}) => failedAt + answerMilliseconds));
		}

		for (const {stock} of this._organisations.values()) {
			next = Math.min(next, stock[0] === undefined ? next : stock[0].grantedAt + tokenMilliseconds);
		}

		return next === Number.POSITIVE_INFINITY ? undefined : next;
	}

	tick(now: Instant): void {
		for (const state of this._holders.values()) {
			if (state.pending !== undefined && now >= state.pending.sentAt + answerMilliseconds) {
				this._lateAsks.set(state.pending.id, {slot: state.holder.slot, sentAt: state.pending.sentAt, wanted: state.pending.wanted});
				this._onUnanswered(state, now);
			}
		}

		for (const [id, {sentAt}] of this._lateAsks) {
			if (now - sentAt > maxWaitMilliseconds) {
				this._lateAsks.delete(id);
			}
		}

		for (const call of this._calls.values()) {
			if (now >= call.deadline) {
				this._giveUp(call, now);
			}
		}

		for (const organisation of this._organisations.values()) {
			this._expireStock(organisation, now);
		}

		this._dispatch(now);
	}

	private _giveUp(call: WaitingCall, now: Instant): void {
		if (call.refusedBy.size > 0) {
			this._refuse(call, 'over-limit', Math.max(1, Math.min(...call.refusedBy.values())), now);
		} else {
			this._refuse(call, 'limits-unavailable', unavailableRetryMilliseconds * (1 + this._options.random.next()), now);
		}
	}

	private _organisation(name: string, now: Instant): OrganisationState {
		const known = this._organisations.get(name);
		if (known !== undefined) {
			return known;
		}

		const created: OrganisationState = {
			name,
			waiting: new Set(),
			stock: [],
			rate: 0,
			rateAt: now,
			refusedUntil: Number.NEGATIVE_INFINITY,
			retryAt: Number.NEGATIVE_INFINITY,
			lastRefusedAt: Number.NEGATIVE_INFINITY,
		};
		this._organisations.set(name, created);
		return created;
	}

	private _recordCall(organisation: OrganisationState, now: Instant): void {
		organisation.rate = (organisation.rate * Math.exp((organisation.rateAt - now) / rateWindowMilliseconds)) + (1 / rateWindowMilliseconds);
		organisation.rateAt = now;
	}

	private _remove(call: WaitingCall): void {
		this._calls.delete(call.callId);
		call.organisation.waiting.delete(call);
	}

	private _record(call: WaitingCall, slot: number | undefined, now: Instant): LimitRecord {
		return {
			waitedMilliseconds: now - call.arrivedAt, slot, refusedBy: [...call.refusedBy.keys()], unansweredBy: [...call.unansweredBy],
		};
	}

	private _refuse(call: WaitingCall, reason: LimitRefusalReason, retryAfterMilliseconds: Milliseconds, now: Instant): void {
		this._remove(call);
		this._options.onEffect({
			type: 'call-refused', callId: call.callId, reason, retryAfterMilliseconds, record: this._record(call, undefined, now),
		});
	}

	private _addTokens(organisation: OrganisationState, tokens: Stock, now: Instant): void {
		if (tokens.count > 0) {
			organisation.stock.push(tokens);
			organisation.stock.sort((one, other) => one.grantedAt - other.grantedAt);
			this._serve(organisation, now);
		}
	}

	/** Gives the unused tokens of this VM to the waiting calls; the call that has waited longest comes first. */
	private _serve(organisation: OrganisationState, now: Instant): void {
		this._expireStock(organisation, now);
		for (const call of organisation.waiting) {
			const [first] = organisation.stock;
			if (first === undefined) {
				return;
			}

			first.count -= 1;
			if (first.count === 0) {
				organisation.stock.shift();
			}

			this._remove(call);
			this._options.onEffect({
				type: 'call-allowed', callId: call.callId, record: this._record(call, first.slot, now), grantedAt: first.grantedAt,
			});
		}
	}

	private _expireStock({name, stock}: OrganisationState, now: Instant): void {
		while (stock[0] !== undefined && stock[0].grantedAt + tokenMilliseconds <= now) {
			const {slot, count} = stock.shift()!;
			this._returnTokens(name, slot, count);
		}
	}

	private _returnTokens(name: string, slot: number, count: number): void {
		const state = this._holders.get(slot);
		state?.returns.set(name, (state.returns.get(name) ?? 0) + count);
	}

	/** Adds granted tokens to the stock. Returns the retry delay of each organisation that got fewer than it wanted. */
	private _takeGrants(slot: number, wanted: ReadonlyMap<string, number>, grants: Grant['grants'], now: Instant): Map<string, Milliseconds> {
		const retries = new Map<string, Milliseconds>();
		for (const [name, count, retryAfter] of grants) {
			const most = wanted.get(name);
			if (most !== undefined && this._limits.has(name) && !retries.has(name)) {
				retries.set(name, retryAfter);
				this._addTokens(this._organisation(name, now), {slot, count: Math.min(count, most), grantedAt: now}, now);
			}
		}

		return retries;
	}

	private _onLateGrant(id: number, grants: Grant['grants'], now: Instant): void {
		const late = this._lateAsks.get(id);
		this._lateAsks.delete(id);
		if (late !== undefined && now - late.sentAt <= maxWaitMilliseconds) {
			this._takeGrants(late.slot, late.wanted, grants, now);
			const state = this._holders.get(late.slot);
			if (state !== undefined) {
				state.failures = 0;
			}

			this._dispatch(now);
		}
	}

	private _onUnanswered(state: HolderState, now: Instant): void {
		state.failures += 1;
		state.skippedUntil = now + skipMilliseconds;
		state.failedAt = state.pending?.sentAt ?? now;
		for (const call of state.pending?.calls ?? []) {
			call.unansweredBy.add(state.holder.slot);
		}

		this._abandonAsk(state);
	}

	private _abandonAsk(state: HolderState): void {
		state.pending = undefined;
		for (const call of this._calls.values()) {
			if (call.target === state.holder.slot) {
				call.target = undefined;
				call.isAsked = false;
			}
		}
	}

	/** Chooses a holder for each waiting call that has none, and asks all holders that have no request in flight. */
	private _dispatch(now: Instant): void {
		for (const call of this._calls.values()) {
			if (call.target === undefined && this._calls.has(call.callId)) {
				this._chooseHolder(call, now);
			}
		}

		for (const state of this._holders.values()) {
			if (state.pending === undefined) {
				this._ask(state, now);
			}
		}
	}

	private _chooseHolder(call: WaitingCall, now: Instant): void {
		if (this._holders.size === 0) {
			return;
		}

		const left = [...this._holders.values()].filter(({holder}) => !call.refusedBy.has(holder.slot));
		const usable = left.filter(({holder, failures, skippedUntil}) =>
			!call.unansweredBy.has(holder.slot) && (skippedUntil <= now || failures < failuresUntilIgnored));
		if (usable.length === 0 && call.refusedBy.size > 0) {
			this._onAllRefused(call, now);
			return;
		}

		// Without any answer so far, the call asks the silent holders again until its wait ends.
		const candidates = usable.length > 0 ? usable : left.filter(({failedAt}) => failedAt + answerMilliseconds <= now);
		if (candidates.length === 0) {
			return;
		}

		const preferred = candidates.filter(({skippedUntil}) => skippedUntil <= now);
		const choices = preferred.length > 0 ? preferred : candidates;
		const near = choices.find(({holder}) => holder.dataCentre === this._options.dataCentre);
		call.target = (near ?? choices[Math.floor(this._options.random.next() * choices.length)]!).holder.slot;
	}

	private _onAllRefused(call: WaitingCall, now: Instant): void {
		const {organisation} = call;
		const shortest = Math.max(1, Math.min(...call.refusedBy.values()));
		if (organisation.refusedUntil <= now) {
			organisation.refusedUntil = now + Math.min(maxRefusalMilliseconds, shortest);
			organisation.retryAt = now + shortest;
		}

		organisation.lastRefusedAt = now;
		this._refuse(call, 'over-limit', this._nextRetry(organisation, now), now);
	}

	/** Retry delay of the next refused call: later for each, by the rate of the limit. */
	private _nextRetry(organisation: OrganisationState, now: Instant): Milliseconds {
		const retry = Math.min(maxRetryMilliseconds, Math.max(1, organisation.retryAt - now));
		organisation.retryAt += 1000 / Math.max(0.1, this._limits.get(organisation.name)?.callsPerSecond ?? 0);
		return retry;
	}

	private _ask(state: HolderState, now: Instant): void {
		const {slot} = state.holder;
		const calls: WaitingCall[] = [];
		const wanted = new Map<string, number>();
		const excluded = new Set<string>();
		let bytes = messageBytes;
		const include = (name: string): boolean => {
			if (wanted.has(name)) {
				return true;
			}

			const added = encoder.encode(JSON.stringify(name)).length + wantBytes;
			if (excluded.has(name) || wanted.size === maxOrganisationsPerMessage || bytes + added > maxDatagramBytes) {
				excluded.add(name);
				return false;
			}

			bytes += added;
			wanted.set(name, 0);
			return true;
		};

		for (const call of this._calls.values()) {
			const {name} = call.organisation;
			if (call.target === slot && include(name)) {
				call.isAsked = true;
				calls.push(call);
				wanted.set(name, wanted.get(name)! + 1);
			}
		}

		for (const name of wanted.keys()) {
			wanted.set(name, wanted.get(name)! + this._prefetch(this._organisations.get(name)!, now));
		}

		for (const name of state.returns.keys()) {
			include(name);
		}

		if (wanted.size === 0) {
			return;
		}

		const wants = [...wanted].map(([name, count]): Ask['wants'][number] => {
			const returned = state.returns.get(name) ?? 0;
			state.returns.delete(name);
			return [name, count, returned];
		});
		const id = this._nextId;
		this._nextId += 1;
		state.pending = {
			id, sentAt: now, wanted, calls,
		};
		this._options.send(state.holder, {
			kind: 'ask', id, slot, wants,
		}, now);
	}

	/** Tokens for the calls that are expected soon, beyond those that wait. */
	private _prefetch({rate, stock, lastRefusedAt}: OrganisationState, now: Instant): number {
		return now - lastRefusedAt < prefetchPauseMilliseconds || stock.length > 0 ? 0 : Math.floor(rate * prefetchMilliseconds);
	}
}
