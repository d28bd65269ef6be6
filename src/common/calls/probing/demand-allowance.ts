/** Limit on how often this VM may probe one backend server on demand. */
import {type Instant} from '../../model/units.ts';
import {type MeasuringBudget} from './load-probe-schedule.ts';

/**
 * Capacity of the bucket, as time at the allowed rate: a burst may use the probes of one second at once, but not those of
 * an hour.
 */
const maxSavedMilliseconds = 1000;

/**
 * Minimum capacity: with a rate below one per second, two calls in a row could otherwise never be placed by fresh
 * reports.
 */
const minCapacity = 2;

/**
 * Token bucket over the VM's even share of the fleet's measuring budget. It bounds load probes in a burst, when every
 * call probes its candidates and a backend server could get more probes than calls. The budget is an average, so no share
 * of it is claimed, and VMs that briefly disagree on their number do not violate it.
 */
export class DemandAllowance {
	private _tokens = minCapacity;
	private _refilledAt: Instant | undefined;

	/** Takes a token for one load probe; false = none is left. */
	tryTake(budget: MeasuringBudget, vmCount: number, now: Instant): boolean {
		const tokensPerMillisecond = budget.callsPerWindow / budget.windowMilliseconds / Math.max(1, vmCount);
		const capacity = Math.max(minCapacity, tokensPerMillisecond * maxSavedMilliseconds);
		this._tokens = Math.min(capacity, this._tokens + ((now - (this._refilledAt ?? now)) * tokensPerMillisecond));
		this._refilledAt = now;
		if (this._tokens < 1) {
			return false;
		}

		this._tokens -= 1;
		return true;
	}
}
