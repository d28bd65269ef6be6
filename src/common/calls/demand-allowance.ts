/** How often this VM may measure one backend server on demand. */
import {type Instant} from '../model/units.ts';
import {type MeasuringBudget} from './measuring-schedule.ts';

/** Most measuring calls saved up, in seconds of the allowed pace: a rush may spend a second's worth at once, not an hour's. */
const savedMilliseconds = 1000;

/** At least two, or a pace below one a second would never let two calls in a row be placed by what is measured. */
const leastSaved = 2;

/**
 * A token bucket over the VM's even part of the fleet's budget. Guards the budget in a rush, when every call asks
 * for candidates: it would show as backend servers that answer more measuring calls than calls. No share is claimed
 * for it, since the budget is an average; VMs that disagree on their number for a few seconds do not break it.
 */
export class DemandAllowance {
	private _saved = leastSaved;
	private _at: Instant | undefined;

	/** Takes one measuring call off; false = the allowance is spent. */
	tryTake(budget: MeasuringBudget, vmCount: number, now: Instant): boolean {
		const perMillisecond = budget.callsPerWindow / budget.windowMilliseconds / Math.max(1, vmCount);
		const most = Math.max(leastSaved, perMillisecond * savedMilliseconds);
		this._saved = Math.min(most, this._saved + ((now - (this._at ?? now)) * perMillisecond));
		this._at = now;
		if (this._saved < 1) {
			return false;
		}

		this._saved -= 1;
		return true;
	}
}
