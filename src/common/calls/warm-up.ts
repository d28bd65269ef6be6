/** Whether a backend server is still warming up, as its entry and its health answers tell. */
import {type Instant, type Milliseconds} from '../model/units.ts';

/** A busy backend server that turns cold must be probed again within this part of the second over which its calls are counted. */
const reportValidMilliseconds: Milliseconds = 200;

/** One backend server's warm-up. It may begin anew at any time, without a restart. */
export class WarmUp {
	private _until: Instant;
	private _isAssumed = false;
	private _reportedAt: Instant = -Infinity;

	/** `until` = when its warm-up is over; undefined = it is warm. */
	constructor(until: Instant | undefined) {
		this._until = until ?? -Infinity;
	}

	/** Its warm-up is not over, or nobody has told that it is. */
	isUnderWay(now: Instant): boolean {
		return now < this._until;
	}

	/** It is taken to warm up, and a load probe would tell. */
	isAssumed(now: Instant): boolean {
		return this._isAssumed && this.isUnderWay(now);
	}

	/** Whether its own answer has told of it so lately that a warm-up which began since has done little harm. */
	isKnown(now: Instant): boolean {
		return now - this._reportedAt <= reportValidMilliseconds;
	}

	/** Its own answer: the time that is left; 0 = it is warm. */
	note(remaining: Milliseconds, now: Instant): void {
		this._reportedAt = now;
		this._until = now + remaining;
		this._isAssumed = false;
	}

	/** Its entry, which is seconds old and so ends no warm-up that an answer has told of. */
	noteEntry(until: Instant): void {
		this._until = Math.max(this._until, until);
	}

	/** It comes back after a time in which nobody used it: it may be cold until it tells otherwise. */
	assume(until: Instant): void {
		this._until = Math.max(this._until, until);
		this._isAssumed = true;
	}
}
