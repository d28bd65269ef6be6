/** How often this VM may measure one backend server on demand. */
import {type Instant} from '../model/units.ts';
import {type MeasuringBudget} from './measuring-schedule.ts';

/** Most measuring calls saved up, in seconds of the allowed pace: a rush may spend a second's worth at once, not an hour's. */
const maxSavedMilliseconds = 1000;

/** At least two, or a pace below one a second would never let two calls in a row be placed by what is measured. */
const minCapacity = 2;

/**
 * A token bucket over the VM's even part of the fleet's budget. Guards the budget in a rush, when every call asks
 * for candidates: it would show as backend servers that answer more measuring calls than calls. No share is claimed
 * for it, since the budget is an average; VMs that disagree on their number for a few seconds do not break it.
 */
export class DemandAllowance {
	private _tokens = minCapacity;
	private _refilledAt: Instant | undefined;

	/** Takes one measuring call off; false = the allowance is spent. */
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
