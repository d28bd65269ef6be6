/** Warm-up state of one backend server, from its registry entry and its health answers. */
import {type Instant, type Milliseconds} from '../../model/units.ts';

/**
 * Age up to which a reported warm-up state counts as current. Calls are counted over a second; a busy backend server that
 * turns cold must be probed again within this part of it.
 */
const reportValidMilliseconds: Milliseconds = 200;

/** Warm-up of one backend server. It may start again at any time, without a restart of the process. */
export class WarmUp {
	private _until: Instant;
	private _isAssumed = false;
	private _reportedAt: Instant = -Infinity;

	/** `until` = end of the warm-up; undefined = it is warm. */
	constructor(until: Instant | undefined) {
		this._until = until ?? -Infinity;
	}

	/** Whether the warm-up has not ended yet, as far as reported or assumed. */
	isUnderWay(now: Instant): boolean {
		return now < this._until;
	}

	/** Whether the warm-up is only assumed, so that a load probe would show the real state. */
	isAssumed(now: Instant): boolean {
		return this._isAssumed && this.isUnderWay(now);
	}

	/**
	 * Whether the backend server has reported its warm-up state so recently that a warm-up which started since has done
	 * little harm.
	 */
	isRecentlyReported(now: Instant): boolean {
		return now - this._reportedAt <= reportValidMilliseconds;
	}

	/** Applies the backend server's own report: the remaining time, 0 = it is warm. */
	applyReport(remaining: Milliseconds, now: Instant): void {
		this._reportedAt = now;
		this._until = now + remaining;
		this._isAssumed = false;
	}

	/**
	 * Applies the registry entry. It is seconds old, so it does not shorten a warm-up that the backend server has reported.
	 */
	applyEntry(until: Instant): void {
		this._until = Math.max(this._until, until);
	}

	/** Assumes a warm-up after a time without calls, since the backend server may be cold until it reports otherwise. */
	assume(until: Instant): void {
		this._until = Math.max(this._until, until);
		this._isAssumed = true;
	}
}
