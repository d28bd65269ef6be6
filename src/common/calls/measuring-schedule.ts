/** When this VM may measure one backend server, and when that is worth it. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type FleetShares} from './types.ts';

/** What an operator allows for a backend server, for all VMs together. */
export type MeasuringBudget = {
	readonly callsPerWindow: number;
	readonly windowMilliseconds: Milliseconds;
	/** 0 = as little as possible, 1 = the whole budget. */
	readonly tailWeight: number;
};

/** Longest a measuring call may be under way; also the margin by which windows are stretched. */
export const measuringTimeout: Milliseconds = 50;

/** Part of the budget spent at a tail weight of 0: an idle service must not lose all knowledge. */
const minBudgetFraction = 0.05;

/**
 * An idle service is measured this much less often: nobody places by what is learnt, and a VM that holds 19,000
 * backend servers of services that it hardly carries would spend a core on them. Enough is kept to notice
 * one that is slow or leaves, and the first call brings the full pace back.
 */
const idleSpacingFactor = 30;

/** What speaks for and against a measuring call. */
export type MeasuringNeed = {
	/** When the youngest knowledge was made. */
	readonly at: Instant;
	/** No call of the service has come here lately. */
	readonly isIdle: boolean;
};

/**
 * Paces measuring calls by time, so that a rush cannot raise their number. Sent at least
 * (window + timeout) / allowed apart, no window of that length at the sender holds more than `allowed`;
 * a call arrives within its timeout of being sent or not at all, so no window at the backend server does
 * either. The parts of all VMs add up to at most 1, hence so do their calls.
 */
export class MeasuringSchedule {
	private _lastSentAt: Instant = -Infinity;
	private readonly _sentAt: Instant[] = [];
	private _startedAt: Instant = -Infinity;
	private _phase = 0;

	/** Calls that this VM may send in a window under its present share. */
	static allowed(budget: MeasuringBudget, shares: FleetShares | undefined, now: Instant): number {
		if (shares === undefined || now < shares.measuringFrom || now >= shares.measuringUntil) {
			return 0;
		}

		// A part of less than one call gives none: rounded up, sixteen VMs would spend sixteen calls.
		return Math.floor((shares.measuringPart * budget.callsPerWindow) + 1e-9);
	}

	/** Time between two calls that the operator wants, never below what the budget demands. */
	static spacing(budget: MeasuringBudget, allowed: number): Milliseconds {
		const budgetFraction = minBudgetFraction + ((1 - minBudgetFraction) * budget.tailWeight);
		return (budget.windowMilliseconds + measuringTimeout) / allowed / budgetFraction;
	}

	/**
	 * When to look at this backend server again: not before the spacing has passed, and not while what
	 * is known is younger than a spacing, since free knowledge makes a measuring call a waste.
	 * Undefined while nothing may be spent.
	 */
	dueAt(budget: MeasuringBudget, shares: FleetShares | undefined, need: MeasuringNeed, now: Instant): Instant | undefined {
		const allowed = MeasuringSchedule.allowed(budget, shares, now);
		if (allowed === 0) {
			return undefined;
		}

		const spacing = MeasuringSchedule.spacing(budget, allowed) * (need.isIdle ? idleSpacingFactor : 1);
		return Math.max(this._lastSentAt + spacing, need.at + spacing, this._startedAt + (this._phase * spacing));
	}

	/**
	 * Starts it. `phase` (0 to 1) = part of the first spacing to wait: VMs that start together must not
	 * measure together, nor may a start cost more than any other time.
	 */
	start(now: Instant, phase: number): void {
		this._startedAt = now;
		this._phase = phase;
	}

	/** Notes a measuring call; false = the budget forbids it now, whoever asked for it. */
	trySpend(budget: MeasuringBudget, shares: FleetShares | undefined, now: Instant): boolean {
		const allowed = MeasuringSchedule.allowed(budget, shares, now);
		if (allowed === 0 || now < this._lastSentAt + ((budget.windowMilliseconds + measuringTimeout) / allowed)) {
			return false;
		}

		this._lastSentAt = now;
		this._sentAt.push(now);
		return true;
	}

	/** Calls sent in the window that ends now. */
	spent(budget: MeasuringBudget, now: Instant): number {
		while (this._sentAt.length > 0 && this._sentAt[0]! <= now - budget.windowMilliseconds) {
			this._sentAt.shift();
		}

		return this._sentAt.length;
	}
}
