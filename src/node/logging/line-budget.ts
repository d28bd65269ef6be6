/** Bounds how many lines a second are written of one sort, and counts what is left out. */
import {type Instant} from '../../common/model/units.ts';

/** What became of a line. */
export type Admission = {
	readonly isWritten: boolean;
	/** Lines left out since the last one that was written. */
	readonly leftOut: number;
};

const second = 1000;

/**
 * Answers the pattern "a rush of calls": the log would take processor time from the calls just when it is short. Each
 * second begins with the whole budget; a line that is written says how many were left out before it.
 */
export class LineBudget {
	private readonly _perSecond: number;
	private _windowStart: Instant = Number.NEGATIVE_INFINITY;
	private _written = 0;
	private _leftOut = 0;

	constructor(perSecond: number) {
		this._perSecond = perSecond;
	}

	take(now: Instant): Admission {
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
