/** Limits the rate of log lines of one kind and counts the omitted ones. */
import {type Instant} from '../../common/model/units.ts';

/** Decision on one line. */
export type Admission = {
	readonly isWritten: boolean;
	/** Number of lines omitted since the last one that was written. */
	readonly leftOut: number;
};

const second = 1000;

/**
 * Limits logging in a burst of calls, when log lines would take scarce processor time from the calls. The budget is
 * refilled every second; each written line reports the number of lines omitted before it.
 */
export class LineBudget {
	private readonly _perSecond: number;
	private _windowStart: Instant = Number.NEGATIVE_INFINITY;
	private _written = 0;
	private _leftOut = 0;

	constructor(perSecond: number) {
		this._perSecond = perSecond;
	}

	admit(now: Instant): Admission {
		if (now - this._windowStart >= second) {
			this._windowStart = now;
			this._written = 0;
		}

		if (this._written >= this._perSecond) {
			this._leftOut++;
			return {isWritten: false, leftOut: this._leftOut};
		}

		this._written++;
		const leftOut = this._leftOut;
		this._leftOut = 0;
		return {isWritten: true, leftOut};
	}
}
