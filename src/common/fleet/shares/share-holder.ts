/**
 * This VM's part of the fleet-wide budgets. The fleet has a fixed number of slots; a slot is claimed in the
 * platform's service under a lease. The rule that keeps the sum: a right ends by its holder's own monotonic
 * clock, counted from before the request that gave it; and the next holder waits a whole window after it.
 */
import {type FleetShares} from '../../calls/types.ts';
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type StoreReply} from '../../platform/types.ts';
import {type FleetContext} from '../fleet-context.ts';

export const sharePrefix = 'jaydale/shares/slot-';

/** Written before a slot's first use and never removed: its absence proves that nobody has spent in it. */
export const usedPrefix = 'jaydale/shares/used-';

/** Share of the lease's term not used: for clocks that run at different rates. */
const clockDriftMargin = 0.05;

/** A measurement that the former holder sent at the last moment is on its way for at most this long. */
const maxInFlightMilliseconds: Milliseconds = 500;

/** Part of connections set aside for VMs without a slot: new ones in an outage, more VMs than slots. */
const reservedConnectionPart = 0.2;

const initialRetryMilliseconds: Milliseconds = 500;
const maxRetryMilliseconds: Milliseconds = 3000;

/** A slot as held. */
type HeldSlot = {
	readonly slot: number;
	readonly leaseId: string;
	/** End of the right to spend, by this VM's clock. */
	expiresAt: Instant;
	/** When the slot became this VM's; rights start after the quarantine. */
	readonly acquiredAt: Instant;
	readonly needsWaitingPeriod: boolean;
};

/** A lease granted to this VM for a slot it is about to claim. */
type Lease = {readonly leaseId: string; readonly sentAt: Instant; readonly expiresAt: Instant};

/** What is handed to a successor. */
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
	/** The slot to try first: the one lost in an outage, if nobody has taken it meanwhile. */
	private _preferredSlot: number | undefined;
	/** Requests sent before this instant can't tell how much of a lease is left. */
	private _suspensionEndedAt: Instant = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly _context: FleetContext,
		/** Estimate of VMs that serve, this one included. */
		private readonly _vmCount: () => number,
		/** Whether others were heard to reach the platform's service after an instant, or nobody can be asked. */
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

	/** What may be spent now and when. */
	current(): FleetShares {
		const {now} = this._context;
		const {shareSlots} = this._context.settings;
		const heldSlot = this._heldSlot;
		const from = heldSlot ? this._usableFrom(heldSlot) : 0;
		return {
			measuringPart: heldSlot ? 1 / shareSlots : 0,
			measuringFrom: from,
			measuringUntil: heldSlot?.expiresAt ?? 0,
			connectionPart: (heldSlot && now >= from && this._mayKeepConnections(heldSlot) ? 1 - reservedConnectionPart : reservedConnectionPart) / shareSlots,
			vmCount: this._vmCount(),
		};
	}

	/** When `current` changes by itself. */
	nextChange(): Instant | undefined {
		const heldSlot = this._heldSlot;
		return heldSlot ? [this._usableFrom(heldSlot), heldSlot.expiresAt].find(at => at > this._context.now) : undefined;
	}

	/**
	 * Guard: time in which this VM's clock stood still is time in which its lease ran on. It shows as two VMs
	 * that spend one slot; so the rights end, and the lease is asked for before anything is spent again.
	 */
	handleSuspension(): void {
		this._suspensionEndedAt = this._context.now;
		if (this._heldSlot) {
			this._heldSlot.expiresAt = this._context.now;
			this._renewLease();
		}
	}

	/** Gives the slot away: from now on nothing is spent here. Undefined if there is none to give. */
	giveUpForHandover(): ShareGrant | undefined {
		const heldSlot = this._heldSlot;
		this._isStopped = true;
		if (!heldSlot) {
			return undefined;
		}

		this._clearHeldSlot();
		return {slot: heldSlot.slot, leaseId: heldSlot.leaseId, remainingMilliseconds: Math.max(0, heldSlot.expiresAt - this._context.now)};
	}

	/** Ends the lease at once, when no successor was found. The next holder waits its window all the same. */
	release(): void {
		const heldSlot = this._heldSlot;
		this._isStopped = true;
		this._clearHeldSlot();
		if (heldSlot) {
			this._context.requestStore({type: 'revoke-lease', leaseId: heldSlot.leaseId}, () => undefined);
		}
	}

	/** True if a slot handed over by another VM would be of use. */
	get needsSlot(): boolean {
		return !this._heldSlot && !this._isStopped;
	}

	/**
	 * Takes a slot over. `acceptedAt` is the instant before the giver's grant was made, so that the remaining
	 * time, counted from there, ends before the giver's own right would have.
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
	 * In an outage of the store nobody can claim the slot, so its connections stay this VM's. If others reach
	 * the store, or nobody is left to tell, the slot may be someone else's by now.
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
			this._context.log('warn', 'The lease on this VM\'s share lapsed', {slot: heldSlot.slot});
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

			const taken = new Set(reply.entries.map(({key}) => key));
			const free = Array.from({length: this._context.settings.shareSlots}, (_, slot) => slot).filter(slot => !taken.has(`${sharePrefix}${slot}`));
			const preferred = free.find(slot => slot === this._preferredSlot);
			const slot = preferred ?? this._context.pick(free, 1)[0];
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
				// Lost to another, or in doubt: if it did take effect, the lease takes it away again.
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
			// Only this write proves a first use; after a lost answer the mark may be this VM's own, and it waits.
			this._setHeldSlot(slot, lease.leaseId, lease.expiresAt, reply.type !== 'written');
		});
	}
}
