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
const clockMargin = 0.05;

/** A measurement that the former holder sent at the last moment is on its way for at most this long. */
const flightMilliseconds: Milliseconds = 500;

/** Part of connections set aside for VMs without a slot: new ones in an outage, more VMs than slots. */
const reservePart = 0.2;

const firstRetryMilliseconds: Milliseconds = 500;
const longestRetryMilliseconds: Milliseconds = 3000;

/** A slot as held. */
type Holding = {
	readonly slot: number;
	readonly leaseId: string;
	/** End of the right to spend, by this VM's clock. */
	until: Instant;
	/** When the slot became this VM's; rights start after the quarantine. */
	readonly takenAt: Instant;
	readonly needsQuarantine: boolean;
};

/** A lease granted to this VM for a slot it is about to claim. */
type Lease = {readonly leaseId: string; readonly sentAt: Instant; readonly until: Instant};

/** What is handed to a successor. */
export type ShareGrant = {
	readonly slot: number;
	readonly leaseId: string;
	readonly remainingMilliseconds: Milliseconds;
};

export class ShareHolder {
	private readonly _longestWindow: () => Milliseconds;
	private _holding: Holding | undefined;
	private _failures = 0;
	private _isStopped = false;
	private _isClaiming = false;
	/** The slot to try first: the one lost in an outage, if nobody has taken it meanwhile. */
	private _preferred: number | undefined;
	/** Requests sent before this instant can't tell how much of a lease is left. */
	private _lostAt: Instant = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly _context: FleetContext,
		/** Estimate of VMs that serve, this one included. */
		private readonly _vmCount: () => number,
		/** Whether others were heard to reach the platform's service after an instant, or nobody can be asked. */
		private readonly _mayOthersClaim: (since: Instant) => boolean,
		longestWindow: () => Milliseconds,
	) {
		this._longestWindow = longestWindow;
	}

	get slot(): number | undefined {
		return this._holding?.slot;
	}

	start(): void {
		this._claim();
	}

	/** What may be spent now and when. */
	current(): FleetShares {
		const {now} = this._context;
		const {shareSlots} = this._context.settings;
		const holding = this._holding;
		const from = holding ? this._from(holding) : 0;
		return {
			measuringPart: holding ? 1 / shareSlots : 0,
			measuringFrom: from,
			measuringUntil: holding?.until ?? 0,
			connectionPart: (holding && now >= from && this._keepsConnections(holding) ? 1 - reservePart : reservePart) / shareSlots,
			vmCount: this._vmCount(),
		};
	}

	/** When `current` changes by itself. */
	nextChange(): Instant | undefined {
		const holding = this._holding;
		return holding ? [this._from(holding), holding.until].find(at => at > this._context.now) : undefined;
	}

	/**
	 * Guard: time in which this VM's clock stood still is time in which its lease ran on. It shows as two VMs
	 * that spend one slot; so the rights end, and the lease is asked for before anything is spent again.
	 */
	takeLostTime(): void {
		this._lostAt = this._context.now;
		if (this._holding) {
			this._holding.until = this._context.now;
			this._keep();
		}
	}

	/** Gives the slot away: from now on nothing is spent here. Undefined if there is none to give. */
	give(): ShareGrant | undefined {
		const holding = this._holding;
		this._isStopped = true;
		if (!holding) {
			return undefined;
		}

		this._drop();
		return {slot: holding.slot, leaseId: holding.leaseId, remainingMilliseconds: Math.max(0, holding.until - this._context.now)};
	}

	/** Ends the lease at once, when no successor was found. The next holder waits its window all the same. */
	release(): void {
		const holding = this._holding;
		this._isStopped = true;
		this._drop();
		if (holding) {
			this._context.requestStore({type: 'revoke-lease', leaseId: holding.leaseId}, () => undefined);
		}
	}

	/** True if a slot handed over by another VM would be of use. */
	get isWanting(): boolean {
		return !this._holding && !this._isStopped;
	}

	/**
	 * Takes a slot over. `acceptedAt` is the instant before the giver's grant was made, so that the remaining
	 * time, counted from there, ends before the giver's own right would have.
	 */
	take(grant: ShareGrant, acceptedAt: Instant): void {
		if (!this.isWanting) {
			return;
		}

		const until = acceptedAt < this._lostAt ? this._context.now : acceptedAt + grant.remainingMilliseconds;
		this._hold(grant.slot, grant.leaseId, until, true);
		this._keep();
	}

	private _from(holding: Holding): Instant {
		return holding.needsQuarantine ? holding.takenAt + this._longestWindow() + flightMilliseconds : holding.takenAt;
	}

	/**
	 * In an outage of the store nobody can claim the slot, so its connections stay this VM's. If others reach
	 * the store, or nobody is left to tell, the slot may be someone else's by now.
	 */
	private _keepsConnections(holding: Holding): boolean {
		return this._context.now < holding.until || !this._mayOthersClaim(holding.until);
	}

	private _hold(slot: number, leaseId: string, until: Instant, needsQuarantine: boolean): void {
		this._holding = {
			slot, leaseId, until, takenAt: this._context.now, needsQuarantine,
		};
		this._failures = 0;
		this._preferred = slot;
		this._scheduleKeep();
	}

	private _drop(): void {
		this._holding = undefined;
		this._context.timers.clear('share-keep');
	}

	private _scheduleKeep(): void {
		const third = this._context.settings.shareLeaseMilliseconds / 3;
		const wait = this._failures === 0 ? third : Math.min(third, firstRetryMilliseconds * this._failures);
		this._context.timers.set('share-keep', this._context.now + this._context.jitter(wait), () => {
			this._keep();
		});
	}

	private _keep(): void {
		const holding = this._holding;
		if (!holding) {
			return;
		}

		this._context.timers.clear('share-keep');
		this._context.requestStore({type: 'keep-lease', leaseId: holding.leaseId}, (reply, sentAt) => {
			if (this._holding === holding) {
				this._takeKeepReply(holding, reply, sentAt);
			}
		});
	}

	private _takeKeepReply(holding: Holding, reply: StoreReply, sentAt: Instant): void {
		if (reply.type === 'lease') {
			if (sentAt >= this._lostAt) {
				holding.until = Math.max(holding.until, this._untilOf(sentAt, reply.milliseconds));
			}

			this._failures = 0;
			this._scheduleKeep();
		} else if (reply.type === 'lease-lost') {
			this._context.log('warn', 'The lease on this VM\'s share lapsed', {slot: holding.slot});
			this._drop();
			this._claim();
		} else {
			this._failures += 1;
			this._scheduleKeep();
		}
	}

	private _untilOf(sentAt: Instant, milliseconds: Milliseconds): Instant {
		return sentAt + (milliseconds * (1 - clockMargin));
	}

	private _claimLater(): void {
		this._isClaiming = false;
		this._failures += 1;
		const wait = Math.min(longestRetryMilliseconds, firstRetryMilliseconds * this._failures);
		this._context.timers.set('share-claim', this._context.now + this._context.jitter(wait), () => {
			this._claim();
		});
	}

	private _claim(): void {
		if (!this.isWanting || this._isClaiming) {
			return;
		}

		this._isClaiming = true;
		const {shareLeaseMilliseconds} = this._context.settings;
		this._context.requestStore({type: 'grant-lease', milliseconds: shareLeaseMilliseconds}, (reply, sentAt) => {
			if (reply.type === 'lease') {
				this._chooseSlot({leaseId: reply.leaseId, sentAt, until: this._untilOf(sentAt, reply.milliseconds)});
			} else {
				this._claimLater();
			}
		});
	}

	private _chooseSlot(lease: Lease): void {
		this._context.requestStore({type: 'list', prefix: sharePrefix}, reply => {
			if (reply.type !== 'entries') {
				this._claimLater();
				return;
			}

			const taken = new Set(reply.entries.map(({key}) => key));
			const free = Array.from({length: this._context.settings.shareSlots}, (_, slot) => slot).filter(slot => !taken.has(`${sharePrefix}${slot}`));
			const preferred = free.find(slot => slot === this._preferred);
			const slot = preferred ?? this._context.pick(free, 1)[0];
			if (slot === undefined) {
				this._giveLeaseBack(lease);
			} else {
				this._claimSlot(slot, lease);
			}
		});
	}

	private _giveLeaseBack({leaseId}: Lease): void {
		this._context.requestStore({type: 'revoke-lease', leaseId}, () => undefined);
		this._claimLater();
	}

	private _claimSlot(slot: number, lease: Lease): void {
		this._context.requestStore({
			type: 'compare-and-swap', key: `${sharePrefix}${slot}`, expected: 0, value: this._context.settings.identity, leaseId: lease.leaseId,
		}, reply => {
			if (reply.type === 'written') {
				this._markUsed(slot, lease);
			} else {
				// Lost to another, or in doubt: if it did take effect, the lease takes it away again.
				this._giveLeaseBack(lease);
			}
		});
	}

	private _markUsed(slot: number, lease: Lease): void {
		this._context.requestStore({
			type: 'compare-and-swap', key: `${usedPrefix}${slot}`, expected: 0, value: 'used',
		}, reply => {
			if (!this.isWanting || lease.sentAt < this._lostAt) {
				this._giveLeaseBack(lease);
				return;
			}

			this._isClaiming = false;
			// Only this write proves a first use; after a lost answer the mark may be this VM's own, and it waits.
			this._hold(slot, lease.leaseId, lease.until, reply.type !== 'written');
		});
	}
}
