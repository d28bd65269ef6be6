/** Schedule of this VM's paced load probes to one backend server. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetShares} from '../types.ts';

/** Measuring budget that an operator sets for a backend server, for all VMs together. */
export type MeasuringBudget = {
	readonly callsPerWindow: number;
	readonly windowMilliseconds: Milliseconds;
	/** 0 = as few calls as possible, 1 = the whole budget. */
	readonly tailWeight: number;
};

/** Maximum duration of a load probe; also the margin that is added to windows. */
export const loadProbeTimeoutMilliseconds: Milliseconds = 50;

/** Fraction of the budget that is spent at a tail weight of 0: an idle service must keep some data. */
const minBudgetFraction = 0.05;

/**
 * Factor on the spacing for an idle service. Its reports are not used for placement, and a VM with 19,000 backend servers
 * of services that it hardly carries would spend a core on measuring them. The remaining calls suffice to notice a
 * backend server that is slow or leaves, and the first call of the service restores the full rate.
 */
const idleSpacingFactor = 30;

/** Input for the decision whether a load probe is due. */
export type MeasuringNeed = {
	/** When the newest report was made. */
	readonly at: Instant;
	/** Whether no call of the service has come to this VM lately. */
	readonly isIdle: boolean;
};

/**
 * Spaces load probes evenly in time, so that a burst of calls cannot raise their number. They are sent at least
 * (window + timeout) / allowed apart, so no window of that length at the sender holds more than `allowed`. A call arrives
 * within its timeout or not at all, so the same holds for every window at the backend server. The shares of all VMs add
 * up to at most 1, so the sum of their calls stays within the budget too.
 */
export class LoadProbeSchedule {
	private _lastSentAt: Instant = -Infinity;
	private readonly _sentAt: Instant[] = [];
	private _startedAt: Instant = -Infinity;
	private _phase = 0;

	/** Calls that this VM may send in a window under its present share. */
	static allowed(budget: MeasuringBudget, shares: FleetShares | undefined, now: Instant): number {
		if (shares === undefined || now < shares.loadProbesFrom || now >= shares.loadProbesUntil) {
			return 0;
		}

		// A share of less than one call gives none: rounded up, sixteen VMs would send sixteen calls.
		return Math.floor((shares.loadProbeFraction * budget.callsPerWindow) + 1e-9);
	}

	/** Time between two calls by the operator's tail weight, never below what the budget requires. */
	static spacing(budget: MeasuringBudget, allowed: number): Milliseconds {
		const budgetFraction = minBudgetFraction + ((1 - minBudgetFraction) * budget.tailWeight);
		return (budget.windowMilliseconds + loadProbeTimeoutMilliseconds) / allowed / budgetFraction;
	}

	/**
	 * When the next load probe is due: one spacing after the last load probe, and one spacing after the newest report, since
	 * a report that came with an answer makes a load probe redundant; the first call waits for the start phase.
	 * Undefined while no call is allowed.
	 */
	dueAt(budget: MeasuringBudget, shares: FleetShares | undefined, need: MeasuringNeed, now: Instant): Instant | undefined {
		const allowed = LoadProbeSchedule.allowed(budget, shares, now);
		if (allowed === 0) {
			return undefined;
		}

		const spacing = LoadProbeSchedule.spacing(budget, allowed) * (need.isIdle ? idleSpacingFactor : 1);
		return Math.max(this._lastSentAt + spacing, need.at + spacing, this._startedAt + (this._phase * spacing));
	}

	/**
	 * Starts the schedule. `phase` (0 to 1) = fraction of the first spacing to wait, so that VMs that start together do not
	 * measure at the same moment, and a start causes no more calls than any other time.
	 */
	start(now: Instant, phase: number): void {
		this._startedAt = now;
		this._phase = phase;
	}

	/** Records a load probe; false = the budget forbids it now, whatever the reason for the call. */
	trySpend(budget: MeasuringBudget, shares: FleetShares | undefined, now: Instant): boolean {
		const allowed = LoadProbeSchedule.allowed(budget, shares, now);
		if (allowed === 0 || now < this._lastSentAt + ((budget.windowMilliseconds + loadProbeTimeoutMilliseconds) / allowed)) {
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
