/**
 * Claims and renews this VM's share of the fleet-wide budgets. Each budget is divided into a fixed number of slots; a VM
 * claims a slot in the platform's service under a lease. Two rules keep the total within the budget: the holder counts
 * the lease by its own monotonic clock from before it sent the request, and the next holder first waits a whole window.
 */
import {type FleetShares} from '../../calls/types.ts';
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type StoreReply} from '../../platform/types.ts';
import {type FleetContext} from '../fleet-context.ts';

export const sharePrefix = 'jaydale/shares/slot-';

/** Prefix of the keys that mark used slots. A mark is written before a slot's first use and never removed: its absence proves that no VM has used the slot. */
export const usedPrefix = 'jaydale/shares/used-';

/** Fraction of the lease that the holder does not use, because clocks run at different rates. */
const clockDriftMargin = 0.05;

/** Longest time in transit of a measuring call that the previous holder sent at the last moment. */
const maxInFlightMilliseconds: Milliseconds = 500;

/** Fraction of the connections reserved for VMs without a slot: those started in an outage, or in excess of the slots. */
const reservedConnectionPart = 0.2;

const initialRetryMilliseconds: Milliseconds = 500;
const maxRetryMilliseconds: Milliseconds = 3000;

/** The slot that this VM holds. */
type HeldSlot = {
	readonly slot: number;
	readonly leaseId: string;
	/** End of the right to use the slot, by this VM's monotonic clock. */
	expiresAt: Instant;
	/** When this VM acquired the slot; it may be used after the waiting period, if one is needed. */
	readonly acquiredAt: Instant;
	readonly needsWaitingPeriod: boolean;
};

/** A lease granted to this VM for the slot that it is about to claim. */
type Lease = {readonly leaseId: string; readonly sentAt: Instant; readonly expiresAt: Instant};

/** A slot with its lease, handed over to another VM. */
export type ShareGrant = {
	readonly slot: number;
	readonly leaseId: string;
	readonly remainingMilliseconds: Milliseconds;
};

export class ShareHolder {
	private readonly _maxWindowMilliseconds: () => Milliseconds;
	private _heldSlot: HeldSlot | undefined;
	private _consecutiveFailures = 0;
	private _isStopped = false;
	private _isClaiming = false;
	/** The slot to claim first if it is free: the one that this VM held last. */
	private _preferredSlot: number | undefined;
	/** End of the last suspension. Replies to requests sent before it do not show how much of a lease is left. */
	private _suspensionEndedAt: Instant = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly _context: FleetContext,
		/** Estimated number of VMs that serve, this one included. */
		private readonly _vmCount: () => number,
		/** Whether another VM may have claimed a slot after `since`: one has reached the platform's service, or none is live to report it. */
		private readonly _mayOthersClaim: (since: Instant) => boolean,
		maxWindowMilliseconds: () => Milliseconds,
	) {
		this._maxWindowMilliseconds = maxWindowMilliseconds;
	}

	get slot(): number | undefined {
		return this._heldSlot?.slot;
	}

	start(): void {
		this._claim();
	}

	/** The part of the budgets that this VM may use, and from when until when. */
	current(): FleetShares {
		const {now} = this._context;
		const {shareSlots} = this._context.settings;
		const heldSlot = this._heldSlot;
		const from = heldSlot ? this._usableFrom(heldSlot) : 0;
		return {
			loadProbeFraction: heldSlot ? 1 / shareSlots : 0,
			loadProbesFrom: from,
			loadProbesUntil: heldSlot?.expiresAt ?? 0,
			connectionFraction: (heldSlot && now >= from && this._mayKeepConnections(heldSlot) ? 1 - reservedConnectionPart : reservedConnectionPart) / shareSlots,
			vmCount: this._vmCount(),
		};
	}

	/** Next instant at which `current` changes without an event. */
	nextChange(): Instant | undefined {
		const heldSlot = this._heldSlot;
		return heldSlot ? [this._usableFrom(heldSlot), heldSlot.expiresAt].find(at => at > this._context.now) : undefined;
	}

	/**
	 * Guards against two VMs using one slot after a suspension, when this VM's clock stood still while its lease ran on.
	 * The right to use the slot ends at once, and the lease must be renewed before the slot is used again.
	 */
	handleSuspension(): void {
		this._suspensionEndedAt = this._context.now;
		if (this._heldSlot) {
			this._heldSlot.expiresAt = this._context.now;
			this._renewLease();
		}
	}

	/** Stops using the slot and returns it for handover to another VM; undefined if this VM holds none. */
	releaseForHandover(): ShareGrant | undefined {
		const heldSlot = this._heldSlot;
		this._isStopped = true;
		if (!heldSlot) {
			return undefined;
		}

		this._clearHeldSlot();
		return {slot: heldSlot.slot, leaseId: heldSlot.leaseId, remainingMilliseconds: Math.max(0, heldSlot.expiresAt - this._context.now)};
	}

	/** Revokes the lease at once, if no VM accepts the slot. The next holder still waits a window. */
	release(): void {
		const heldSlot = this._heldSlot;
		this._isStopped = true;
		this._clearHeldSlot();
		if (heldSlot) {
			this._context.requestStore({type: 'revoke-lease', leaseId: heldSlot.leaseId}, () => undefined);
		}
	}

	/** True if this VM would accept a slot from another VM. */
	get needsSlot(): boolean {
		return !this._heldSlot && !this._isStopped;
	}

	/**
	 * Accepts a slot from another VM. `acceptedAt` lies before the instant at which that VM made the grant, so the remaining
	 * time, counted from `acceptedAt`, ends before that VM's own right would have ended.
	 */
	acceptHandover(grant: ShareGrant, acceptedAt: Instant): void {
		if (!this.needsSlot) {
			return;
		}

		const expiresAt = acceptedAt < this._suspensionEndedAt ? this._context.now : acceptedAt + grant.remainingMilliseconds;
		this._setHeldSlot(grant.slot, grant.leaseId, expiresAt, true);
		this._renewLease();
	}

	private _usableFrom(heldSlot: HeldSlot): Instant {
		return heldSlot.needsWaitingPeriod ? heldSlot.acquiredAt + this._maxWindowMilliseconds() + maxInFlightMilliseconds : heldSlot.acquiredAt;
	}

	/**
	 * Whether this VM keeps the slot's connections. In an outage of the store no VM can claim the slot, so it keeps them
	 * after the lease has expired. If other VMs reach the store, or none is live to report it, another VM may hold the slot.
	 */
	private _mayKeepConnections(heldSlot: HeldSlot): boolean {
		return this._context.now < heldSlot.expiresAt || !this._mayOthersClaim(heldSlot.expiresAt);
	}

	private _setHeldSlot(slot: number, leaseId: string, expiresAt: Instant, needsWaitingPeriod: boolean): void {
		this._heldSlot = {
			slot, leaseId, expiresAt, acquiredAt: this._context.now, needsWaitingPeriod,
		};
		this._consecutiveFailures = 0;
		this._preferredSlot = slot;
		this._scheduleRenewal();
	}

	private _clearHeldSlot(): void {
		this._heldSlot = undefined;
		this._context.timers.clear('share-keep');
	}

	private _scheduleRenewal(): void {
		const renewalInterval = this._context.settings.shareLeaseMilliseconds / 3;
		const wait = this._consecutiveFailures === 0 ? renewalInterval : Math.min(renewalInterval, initialRetryMilliseconds * this._consecutiveFailures);
		this._context.timers.set('share-keep', this._context.now + this._context.jitter(wait), () => {
			this._renewLease();
		});
	}

	private _renewLease(): void {
		const heldSlot = this._heldSlot;
		if (!heldSlot) {
			return;
		}

		this._context.timers.clear('share-keep');
		this._context.requestStore({type: 'keep-lease', leaseId: heldSlot.leaseId}, (reply, sentAt) => {
			if (this._heldSlot === heldSlot) {
				this._handleRenewalReply(heldSlot, reply, sentAt);
			}
		});
	}

	private _handleRenewalReply(heldSlot: HeldSlot, reply: StoreReply, sentAt: Instant): void {
		if (reply.type === 'lease') {
			if (sentAt >= this._suspensionEndedAt) {
				heldSlot.expiresAt = Math.max(heldSlot.expiresAt, this._leaseExpiry(sentAt, reply.milliseconds));
			}

			this._consecutiveFailures = 0;
			this._scheduleRenewal();
		} else if (reply.type === 'lease-lost') {
			this._context.log('warn', 'the lease on this VM\'s share slot expired; a slot is claimed again', {slot: heldSlot.slot});
			this._clearHeldSlot();
			this._claim();
		} else {
			this._consecutiveFailures += 1;
			this._scheduleRenewal();
		}
	}

	private _leaseExpiry(sentAt: Instant, milliseconds: Milliseconds): Instant {
		return sentAt + (milliseconds * (1 - clockDriftMargin));
	}

	private _scheduleClaim(): void {
		this._isClaiming = false;
		this._consecutiveFailures += 1;
		const wait = Math.min(maxRetryMilliseconds, initialRetryMilliseconds * this._consecutiveFailures);
		this._context.timers.set('share-claim', this._context.now + this._context.jitter(wait), () => {
			this._claim();
		});
	}

	private _claim(): void {
		if (!this.needsSlot || this._isClaiming) {
			return;
		}

		this._isClaiming = true;
		const {shareLeaseMilliseconds} = this._context.settings;
		this._context.requestStore({type: 'grant-lease', milliseconds: shareLeaseMilliseconds}, (reply, sentAt) => {
			if (reply.type === 'lease') {
				this._chooseSlot({leaseId: reply.leaseId, sentAt, expiresAt: this._leaseExpiry(sentAt, reply.milliseconds)});
			} else {
				this._scheduleClaim();
			}
		});
	}

	private _chooseSlot(lease: Lease): void {
		this._context.requestStore({type: 'list', prefix: sharePrefix}, reply => {
			if (reply.type !== 'entries') {
				this._scheduleClaim();
				return;
			}

			const claimedKeys = new Set(reply.entries.map(({key}) => key));
			const freeSlots = Array.from({length: this._context.settings.shareSlots}, (_, slot) => slot).filter(slot => !claimedKeys.has(`${sharePrefix}${slot}`));
			const preferred = freeSlots.find(slot => slot === this._preferredSlot);
			const slot = preferred ?? this._context.pickRandom(freeSlots, 1)[0];
			if (slot === undefined) {
				this._revokeLeaseAndRetry(lease);
			} else {
				this._claimSlot(slot, lease);
			}
		});
	}

	private _revokeLeaseAndRetry({leaseId}: Lease): void {
		this._context.requestStore({type: 'revoke-lease', leaseId}, () => undefined);
		this._scheduleClaim();
	}

	private _claimSlot(slot: number, lease: Lease): void {
		this._context.requestStore({
			type: 'compare-and-swap', key: `${sharePrefix}${slot}`, expected: 0, value: this._context.settings.identity, leaseId: lease.leaseId,
		}, reply => {
			if (reply.type === 'written') {
				this._markUsed(slot, lease);
			} else {
				// Another VM has claimed the slot, or the outcome is unknown: if the write took effect, revoking the lease removes it.
				this._revokeLeaseAndRetry(lease);
			}
		});
	}

	private _markUsed(slot: number, lease: Lease): void {
		this._context.requestStore({
			type: 'compare-and-swap', key: `${usedPrefix}${slot}`, expected: 0, value: 'used',
		}, reply => {
			if (!this.needsSlot || lease.sentAt < this._suspensionEndedAt) {
				this._revokeLeaseAndRetry(lease);
				return;
			}

			this._isClaiming = false;
			// Only a successful write proves the slot's first use. After a lost reply the mark may be this VM's own, but it waits all the same.
			this._setHeldSlot(slot, lease.leaseId, lease.expiresAt, reply.type !== 'written');
		});
	}
}
