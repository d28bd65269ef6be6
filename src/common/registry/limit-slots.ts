/**
 * Claims, renews and watches the slots of the rate limits. The store has one key for each slot, held under a lease by
 * the VM that grants the slot's part of every limit. At any time at most one VM has the right to grant for a slot:
 *
 * - The right ends, by the holder's monotonic clock, before the lease can end in the store: it is counted from before
 *   the request that granted or renewed the lease was sent, less a margin for clocks that run at different rates.
 * - Only a confirmed compare-and-swap gives a right. A lost answer gives none, whatever the store has done.
 * - A slot can be claimed if its key is not in the store, or if its entry is one of this process without a right, or
 *   of an earlier process at this VM's datagram endpoint, which this process could not have opened otherwise.
 * - A restore of the store from a backup brings back outdated entries and leases. Entries name the era in which they
 *   were written, and those of an earlier era prove nothing. Except for the VM whose right still runs, nobody claims a
 *   slot until every right from before the restore has ended.
 */
import {limitSlotCount} from '../limits/messages.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {
	eraOf, isLater, type StoreEra, type StorePosition,
} from '../platform/store-position.ts';
import {type StoreEntry, type StoreReply} from '../platform/types.ts';
import {type ClaimRank, claimDelay} from './limit-claim-delay.ts';
import {parseSlotEntry, type SlotEntry} from './limit-slot-entry.ts';
import {type RegistryContext} from './registry-context.ts';

/** Term of the lease on a slot. A holder that crashes is missing for this long. */
export const limitLeaseMilliseconds: Milliseconds = 10_000;

/**
 * Interval of renewals. Limited calls must be served through 7.5 s without the store. With 2 s, slots were without a
 * holder for up to 1.7 s after such an outage, as the lease had ended before the next renewal.
 */
const renewalMilliseconds: Milliseconds = 1500;

/** Fraction of the lease that the holder does not use, because clocks run at different rates. */
const clockDriftMargin = 0.05;

/** Pause before a request that failed is repeated. */
const retryMilliseconds: Milliseconds = 300;

/** A renewal without an answer is repeated after this time; requests to an unresponsive store fail only after 2 s. */
const unansweredMilliseconds: Milliseconds = 1000;

/** Renewals of one slot without an answer; each occupies a connection to the store until it fails. */
const maxPendingRenewals = 2;

/** Pause before the next attempt to claim the same slot. */
const claimRetryMilliseconds: Milliseconds = 1000;

/** Largest random part of the delay of a claim. */
const claimJitterMilliseconds: Milliseconds = 100;

/** Requests to remove the entry of a slot that is given up, in case their answers are lost. */
const maxRemovalAttempts = 3;

/**
 * First era of a store. A VM that has just started knows that no restore precedes this era; at a later era it cannot
 * know how long ago the store was restored.
 */
const firstEra: StoreEra = 1;

/** A key as last read; `entry` is undefined if the value is invalid. */
type KnownSlot = {readonly revision: StorePosition; readonly entry: SlotEntry | undefined};

/** A slot whose lease this VM has been granted. */
type HeldSlot = {
	readonly slot: number;
	readonly leaseId: string;
	readonly era: StoreEra;
	readonly revision: StorePosition;
	/** The right is in force from `from` until `until`; undefined = there is none. */
	right: {readonly from: Instant; readonly until: Instant} | undefined;
	/** When the request that last granted or renewed the lease was sent. */
	renewedAt: Instant;
	lastSentAt: Instant;
	nextRenewalAt: Instant;
	pendingRenewals: number;
};

/** A claim in progress. */
type Claim = {readonly slot: number; readonly era: StoreEra; readonly sentAt: Instant};

/** Dependencies of the slots. */
export type LimitSlotsOptions = {
	readonly random: RandomSource;
	/** Whether the store is available as far as this VM knows. */
	isStoreAvailable(): boolean;
	/** Whether this VM serves and its entry is in the store. */
	isRegistered(): boolean;
	claimRank(): ClaimRank;
	/** The store has applied this write. */
	onWritten(entry: StoreEntry): void;
	/** The store has removed this key, or does not have it. */
	onRemoved(key: string): void;
};

/** Slots held by this VM with a right to grant. */
export type LimitRights = {
	readonly heldSlots: number;
	/** Time since the oldest renewal among them was sent; undefined = none is held. */
	readonly ageMilliseconds: Milliseconds | undefined;
};

export class LimitSlots {
	private readonly _context: RegistryContext;
	private readonly _options: LimitSlotsOptions;
	private readonly _known = new Map<number, KnownSlot>();
	/** When each slot without an entry was first found vacant, and the random part of the delay of its claim. */
	private readonly _vacancies = new Map<number, {readonly since: Instant; readonly jitter: Milliseconds}>();
	private readonly _held = new Map<number, HeldSlot>();
	/** Earliest time of the next claim of a slot. */
	private readonly _retryAt = new Map<number, Instant>();
	private _claim: Claim | undefined;
	private _isConfigured = false;
	private _isSocketOpen = false;
	private _isServing = false;
	private _era: StoreEra | undefined;
	private _eraSince: Instant = 0;
	/** Requests sent before the end of the last pause do not show how much of a lease is left. */
	private _wokeAt: Instant = Number.NEGATIVE_INFINITY;
	private _mustEmit = false;
	private _hasEmitted = false;

	constructor(context: RegistryContext, options: LimitSlotsOptions) {
		this._context = context;
		this._options = options;
	}

	/** Whether the key is that of a slot. */
	isKey(key: string): boolean {
		return this._slotOf(key) !== undefined;
	}

	/** Keys of the slots in the store, as last read. */
	get keys(): string[] {
		return Array.from(this._known.keys(), slot => this._keyOf(slot));
	}

	/** The rights of this VM at `now`. */
	rights(now: Instant): LimitRights {
		const held = [...this._held.values()].filter(({right}) => right !== undefined && now < right.until);
		return {heldSlots: held.length, ageMilliseconds: held.length === 0 ? undefined : now - Math.min(...held.map(({renewedAt}) => renewedAt))};
	}

	/**
	 * A configuration is in force, so that calls may need tokens. The slots are held at all times, as a backend server can
	 * announce a rate limit at any moment.
	 */
	onConfigured(): void {
		if (!this._isConfigured && this._context.settings.limitsAddress !== undefined) {
			this._isConfigured = true;
			this._mustEmit = true;
		}
	}

	/** Sets whether this VM serves. A VM that stops gives up its slots, so that others can claim them at once. */
	setServing(isServing: boolean): void {
		this._isServing = isServing;
		if (!isServing) {
			this._giveUpAll();
		}
	}

	/**
	 * Sets whether the datagram socket is open. While it is closed another process could open the same endpoint and take
	 * over the slots, so that the rights end; they are claimed again once the socket is open.
	 */
	setSocketOpen(isOpen: boolean): void {
		this._isSocketOpen = isOpen;
		if (!isOpen) {
			for (const slot of this._held.keys()) {
				this._lose(slot, 'socket-closed');
			}
		}
	}

	/**
	 * Guards against two VMs granting for one slot after a pause in which this VM's clock stood still while its leases ran
	 * on. The rights end until a renewal that was sent after the pause.
	 */
	onWoke(): void {
		this._wokeAt = this._context.now;
		for (const held of this._held.values()) {
			this._endRight(held, 'paused');
			held.nextRenewalAt = this._context.now;
		}
	}

	/** Called when the store has replied to a read: renewals that it did not answer are repeated at once. */
	onStoreRead(): void {
		const {now} = this._context;
		for (const held of this._held.values()) {
			if (held.lastSentAt > held.renewedAt && now - held.lastSentAt >= retryMilliseconds) {
				held.nextRenewalAt = Math.min(held.nextRenewalAt, now);
			}
		}
	}

	/** Handles the entry of a slot as read from the store; false = it is known, or older than the known one. */
	put({key, value, revision}: StoreEntry): boolean {
		const slot = this._slotOf(key)!;
		const known = this._known.get(slot);
		if (known !== undefined && !isLater(revision, known.revision)) {
			return false;
		}

		const entry = parseSlotEntry(value);
		if (entry === undefined) {
			this._context.log('warn', 'entry of a limit slot is invalid; the slot cannot be claimed until it is removed', {key});
		}

		this._known.set(slot, {revision, entry});
		this._vacancies.delete(slot);
		this._mustEmit = true;
		const held = this._held.get(slot);
		// An outdated entry says nothing about a right that was obtained later.
		if (held !== undefined && isLater(revision, held.revision) && !(entry !== undefined && entry.era < eraOf(revision))) {
			this._lose(slot, 'claimed-by-another');
		}

		return true;
	}

	/** Handles the removal of a slot's entry. */
	remove(key: string): void {
		const slot = this._slotOf(key)!;
		const known = this._known.get(slot);
		this._known.delete(slot);
		const held = this._held.get(slot);
		if (held !== undefined && !this._isOutdated(held)) {
			this._lose(slot, 'entry-removed');
		}

		if (known !== undefined && this._isConfigured) {
			this._mustEmit = true;
			this._context.log('info', 'limit slot is vacant', {slot, holder: known.entry?.address ?? ''});
		}
	}

	/** Position of the last known write of this key; undefined = no such key. */
	revisionOf(key: string): StorePosition | undefined {
		return this._known.get(this._slotOf(key)!)?.revision;
	}

	/** Sends the requests that are due and emits changed holders and rights; called after each event. */
	update(): void {
		this._noteEra();
		if (!this._isConfigured && !this._mustEmit) {
			return;
		}

		this._endRightsInTime();
		if (this._isActive) {
			this._renewDue();
			this._claimDue();
		}

		this._schedule();
		this._emit();
	}

	private get _isActive(): boolean {
		return this._isConfigured && this._isSocketOpen && this._isServing && this._context.settings.limitsAddress !== undefined;
	}

	private _keyOf(slot: number): string {
		return `${this._context.settings.layout.limitPrefix}${slot}`;
	}

	private _slotOf(key: string): number | undefined {
		const {limitPrefix} = this._context.settings.layout;
		if (!key.startsWith(limitPrefix)) {
			return undefined;
		}

		const slot = Number(key.slice(limitPrefix.length));
		return slot >= 0 && slot < limitSlotCount && key === this._keyOf(slot) ? slot : undefined;
	}

	/** Whether the store was restored since this slot's lease was granted: the lease may now be another VM's. */
	private _isOutdated({era}: {readonly era: StoreEra}): boolean {
		return era !== (this._context.era ?? 0);
	}

	private _noteEra(): void {
		const era = this._context.era ?? 0;
		if (era !== this._era) {
			this._era = era;
			this._eraSince = this._context.now;
			this._retryAt.clear();
		}
	}

	/** When every right obtained before the last restore of the store has ended. */
	private get _restoreSettledAt(): Instant {
		return (this._era ?? 0) <= firstEra ? Number.NEGATIVE_INFINITY : this._eraSince + limitLeaseMilliseconds;
	}

	private _endRight(held: HeldSlot, cause: string): void {
		if (held.right !== undefined) {
			held.right = undefined;
			this._mustEmit = true;
			this._context.log('warn', 'right to grant for a limit slot ended', {slot: held.slot, cause});
		}
	}

	private _endRightsInTime(): void {
		for (const held of this._held.values()) {
			if (held.right !== undefined && this._context.now >= held.right.until) {
				this._endRight(held, 'not-renewed');
			}

			// Without a right there is nothing to secure in the restored store.
			if (held.right === undefined && this._isOutdated(held)) {
				this._lose(held.slot, 'store-restored');
			}
		}
	}

	private _lose(slot: number, cause: string): void {
		if (this._held.delete(slot)) {
			this._mustEmit = true;
			this._context.log('warn', 'limit slot lost', {slot, cause});
		}
	}

	/** Stops granting and removes the own entries. */
	private _giveUpAll(): void {
		const held = [...this._held.values()];
		this._held.clear();
		if (held.length === 0) {
			return;
		}

		this._mustEmit = true;
		this._emit();
		for (const one of held) {
			this._context.log('info', 'limit slot given up', {slot: one.slot});
			this._removeEntry(one);
		}
	}

	/**
	 * Removes an own entry by its revision. Revoking the lease would be unsafe: a store that was restored a moment ago may
	 * have granted a lease with the same identifier to another VM, whose slot would become vacant while it grants. The
	 * lease, which is not renewed, ends by itself.
	 */
	private _removeEntry(written: {readonly slot: number; readonly era: StoreEra; readonly revision: StorePosition}, attempt = 1): void {
		if (this._isOutdated(written)) {
			return;
		}

		const key = this._keyOf(written.slot);
		this._context.request({type: 'delete', key, expected: written.revision}, reply => {
			if (reply.type === 'written') {
				this._options.onRemoved(key);
			} else if ((reply.type === 'unknown' || reply.type === 'unavailable') && attempt < maxRemovalAttempts) {
				this._context.timers.set(`limit-removal-${written.slot}`, this._context.now + retryMilliseconds, () => {
					this._removeEntry(written, attempt + 1);
				});
			}
		});
	}

	private _renewDue(): void {
		for (const held of this._held.values()) {
			if (!this._isOutdated(held) && this._context.now >= held.nextRenewalAt && held.pendingRenewals < maxPendingRenewals) {
				this._renew(held);
			}
		}
	}

	private _renew(held: HeldSlot): void {
		const sentAt = this._context.now;
		held.lastSentAt = sentAt;
		held.nextRenewalAt = sentAt + unansweredMilliseconds;
		held.pendingRenewals += 1;
		this._context.request({type: 'keep-lease', leaseId: held.leaseId}, reply => {
			held.pendingRenewals -= 1;
			if (this._held.get(held.slot) === held && !this._isOutdated(held)) {
				this._handleRenewalReply(held, reply, sentAt);
			}
		});
	}

	private _handleRenewalReply(held: HeldSlot, reply: StoreReply, sentAt: Instant): void {
		const {now} = this._context;
		if (reply.type === 'lease-lost') {
			this._lose(held.slot, 'lease-ended');
			return;
		}

		if (reply.type !== 'lease') {
			held.nextRenewalAt = Math.min(held.nextRenewalAt, now + retryMilliseconds);
			return;
		}

		this._endRightsInTime();
		if (sentAt < this._wokeAt) {
			return;
		}

		held.renewedAt = Math.max(held.renewedAt, sentAt);
		held.nextRenewalAt = held.renewedAt + renewalMilliseconds;
		const until = Math.max(held.right?.until ?? 0, rightEnd(sentAt, reply.milliseconds));
		if (until > now) {
			if (held.right === undefined) {
				this._context.log('info', 'right to grant for a limit slot renewed', {slot: held.slot});
			}

			held.right = {from: held.right?.from ?? now, until};
			this._mustEmit = true;
		}
	}

	/** Starts the next claim that is due. */
	private _claimDue(): void {
		this._noteVacancies();
		if (this._claim !== undefined || !this._options.isStoreAvailable()) {
			return;
		}

		for (let slot = 0; slot < limitSlotCount; slot++) {
			if (this._claimableAt(slot) <= this._context.now) {
				this._requestLease(slot);
				return;
			}
		}
	}

	private _noteVacancies(): void {
		for (let slot = 0; slot < limitSlotCount; slot++) {
			if (!this._known.has(slot) && !this._vacancies.has(slot)) {
				this._vacancies.set(slot, {since: this._context.now, jitter: this._options.random.next() * claimJitterMilliseconds});
			}
		}
	}

	/** When this VM may claim the slot; infinite = not as far as is known now. */
	private _claimableAt(slot: number): Instant {
		const held = this._held.get(slot);
		const retryAt = this._retryAt.get(slot) ?? Number.NEGATIVE_INFINITY;
		if (held !== undefined) {
			return this._isOutdated(held) && this._replaceableRevision(slot) !== undefined ? retryAt : Number.POSITIVE_INFINITY;
		}

		if (this._known.has(slot)) {
			return this._replaceableRevision(slot) === undefined ? Number.POSITIVE_INFINITY : retryAt;
		}

		const vacancy = this._vacancies.get(slot);
		return vacancy === undefined || !this._options.isRegistered()
			? Number.POSITIVE_INFINITY
			: Math.max(vacancy.since + vacancy.jitter + this._claimDelay(slot), this._restoreSettledAt, retryAt);
	}

	/**
	 * Position of the entry that this VM may replace at once, since no other VM can have a right: that of this process
	 * or of its predecessor, or after a restore any outdated one while this VM's right runs; 0 = the key must not exist,
	 * undefined = there is none.
	 */
	private _replaceableRevision(slot: number): StorePosition | undefined {
		const known = this._known.get(slot);
		const hasRight = this._held.get(slot)?.right !== undefined;
		const isCurrent = known !== undefined && eraOf(known.revision) === this._era;
		if (!isCurrent) {
			return hasRight ? 0 : undefined;
		}

		const {revision, entry} = known;
		if (entry === undefined) {
			return undefined;
		}

		const isOwn = entry.holder === this._context.settings.identity || entry.address === this._context.settings.limitsAddress;
		const mayReplace = entry.era === this._era ? isOwn : hasRight;
		return mayReplace ? revision : undefined;
	}

	private _claimDelay(slot: number): Milliseconds {
		const {watchPauseMilliseconds, own} = this._context.settings;
		return claimDelay(slot, this._options.claimRank(), {
			dataCentre: own.dataCentre, heldSlots: this._held.size, watchPauseMilliseconds,
		});
	}

	private _requestLease(slot: number): void {
		const claim: Claim = {slot, era: this._era ?? 0, sentAt: this._context.now};
		this._claim = claim;
		this._context.request({type: 'grant-lease', milliseconds: limitLeaseMilliseconds}, reply => {
			this._endRightsInTime();
			// The slot may have been claimed by another VM in the meantime. The lease, if granted, ends unused.
			const mayClaim = this._isActive && !this._isOutdated(claim) && this._claimableAt(slot) <= this._context.now;
			if (reply.type === 'lease' && mayClaim) {
				this._swap(claim, reply);
			} else {
				this._endClaim(claim);
			}
		});
	}

	private _swap(claim: Claim, {leaseId, milliseconds}: StoreReply & {type: 'lease'}): void {
		const {settings: {identity, own, limitsAddress}} = this._context;
		const {slot, era, sentAt} = claim;
		const key = this._keyOf(slot);
		const value = JSON.stringify({
			address: limitsAddress!, holder: identity, dataCentre: own.dataCentre, era,
		} satisfies SlotEntry);
		const expected = this._replaceableRevision(slot) ?? 0;
		this._context.request({
			type: 'compare-and-swap', key, expected, value, leaseId,
		}, reply => {
			this._endClaim(claim);
			if (this._isOutdated(claim)) {
				return;
			}

			if (reply.type === 'written') {
				this._handleClaimed(claim, {
					key, value, revision: reply.revision, leaseId, until: rightEnd(sentAt, milliseconds),
				});
			} else if (reply.type === 'conflict') {
				this._handleConflict(slot, reply.entry);
			}
		});
	}

	/** The write is confirmed. The right depends on what has happened since the lease was requested. */
	private _handleClaimed({slot, era, sentAt}: Claim, {key, value, revision, leaseId, until}: {
		readonly key: string; readonly value: string; readonly revision: StorePosition; readonly leaseId: string; readonly until: Instant;
	}): void {
		this._endRightsInTime();
		const {now} = this._context;
		const from = this._held.get(slot)?.right?.from ?? now;
		this._held.delete(slot);
		this._options.onWritten({key, value, revision});
		if (!this._isActive) {
			this._removeEntry({slot, era, revision});
			return;
		}

		if (sentAt < this._wokeAt || until <= now) {
			// The entry is claimed again as one of this process without a right.
			this._retryAt.delete(slot);
			return;
		}

		this._held.set(slot, {
			slot, leaseId, era, revision, right: {from, until}, renewedAt: sentAt, lastSentAt: sentAt, nextRenewalAt: sentAt + renewalMilliseconds, pendingRenewals: 0,
		});
		this._mustEmit = true;
		this._context.log('info', 'limit slot claimed', {slot, key});
	}

	private _handleConflict(slot: number, entry: StoreEntry | undefined): void {
		if (entry === undefined) {
			this._options.onRemoved(this._keyOf(slot));
		} else {
			this._options.onWritten(entry);
		}

		this._endRightsInTime();
		if (this._replaceableRevision(slot) !== undefined) {
			this._retryAt.delete(slot);
		}
	}

	private _endClaim(claim: Claim): void {
		if (this._claim === claim) {
			this._claim = undefined;
			this._retryAt.set(claim.slot, this._context.now + claimRetryMilliseconds);
		}
	}

	/** Sets the timer for the next time at which `update` has something to do. */
	private _schedule(): void {
		const times: Instant[] = [];
		for (const held of this._held.values()) {
			const mayRenew = held.pendingRenewals < maxPendingRenewals && !this._isOutdated(held);
			times.push(held.right?.until ?? Number.POSITIVE_INFINITY, mayRenew ? held.nextRenewalAt : Number.POSITIVE_INFINITY);
		}

		if (this._isActive && this._claim === undefined && this._options.isStoreAvailable()) {
			for (let slot = 0; slot < limitSlotCount; slot++) {
				times.push(this._claimableAt(slot));
			}
		}

		const next = Math.min(...times);
		if (Number.isFinite(next)) {
			this._context.timers.set('limit-slots', Math.max(next, this._context.now), () => undefined);
		} else {
			this._context.timers.clear('limit-slots');
		}
	}

	private _emit(): void {
		if (!this._mustEmit) {
			return;
		}

		this._mustEmit = false;
		const slots = this._isConfigured
			? [...this._known].toSorted(([one], [other]) => one - other).flatMap(([slot, {entry}]) => entry === undefined ? [] : [{slot, address: entry.address, dataCentre: entry.dataCentre}])
			: [];
		const own = [...this._held.values()].flatMap(({slot, right}) => right === undefined ? [] : [{slot, ...right}]);
		// A VM that never had a configuration with limits reports nothing.
		if (this._isConfigured || this._hasEmitted) {
			this._hasEmitted = true;
			this._context.emit({type: 'limit-slots', slots, own});
		}
	}
}

/** End of the right for a lease that was granted or renewed by a request sent at `sentAt`. */
function rightEnd(sentAt: Instant, leaseMilliseconds: Milliseconds): Instant {
	return sentAt + (Math.min(leaseMilliseconds, limitLeaseMilliseconds) * (1 - clockDriftMargin));
}
