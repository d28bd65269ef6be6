/** Token bucket of a limit, or of a slot's part of it. */
import {type Instant, type Milliseconds} from '../model/units.ts';

/** Rounding errors of levels that are computed from fractional instants; far below one token. */
const tokenEpsilon = 1e-9;

/** Rounding errors of retry delays, which are rounded up to whole milliseconds. */
const retryEpsilonMilliseconds: Milliseconds = 1e-3;

/** Maximum retry delay. Further refused calls would only wait for tokens that other callers take before. */
const maxRetryMilliseconds: Milliseconds = 10_000;

/** Sizes of a bucket. */
export type BucketSize = {
	readonly callsPerSecond: number;
	/** Tokens that it holds at most. */
	readonly capacity: number;
	/** A token is granted from this level on, and the level falls below zero by the rest. */
	readonly leastLevel: number;
	/** Calls per second of all buckets of the limit: a refused call is expected at one of them. */
	readonly totalCallsPerSecond: number;
};

export class TokenBucket {
	private _level = 0;
	private _updatedAt: Instant;
	private _size: BucketSize;
	/** Time at which the last refused call may expect its token. */
	private _expectedUntil: Instant = Number.NEGATIVE_INFINITY;

	/** The bucket is empty at `now`, since a previous holder may have granted all tokens up to then. */
	constructor(size: BucketSize, now: Instant) {
		this._updatedAt = now;
		this._size = size;
	}

	/** A lower capacity truncates the level; a higher one is filled at the new rate. */
	configure(size: BucketSize, now: Instant): void {
		this._refill(now);
		this._size = size;
		this._level = Math.min(this._level, size.capacity);
	}

	take(wanted: number, now: Instant): number {
		this._refill(now);
		const granted = Math.min(wanted, Math.max(0, Math.floor(this._level + 1 - this._size.leastLevel + tokenEpsilon)));
		this._level -= granted;
		return granted;
	}

	giveBack(count: number, now: Instant): void {
		this._refill(now);
		this._level = Math.min(this._size.capacity, this._level + count);
	}

	/**
	 * Time until a token for the first of `refused` calls is expected. The expectations of refused calls are spaced by the
	 * rate of the whole limit, since each of them asks all holders when it is repeated.
	 */
	expectedDelay(refused: number, now: Instant): Milliseconds {
		const {callsPerSecond, leastLevel, totalCallsPerSecond} = this._size;
		if (callsPerSecond <= 0) {
			return maxRetryMilliseconds;
		}

		const spacing = 1000 / totalCallsPerSecond;
		const nextTokenAt = now + (Math.max(0, leastLevel - this._level) * 1000 / callsPerSecond);
		const first = Math.max(nextTokenAt, this._expectedUntil + spacing);
		this._expectedUntil = Math.min(first + ((refused - 1) * spacing), now + maxRetryMilliseconds);
		return Math.max(1, Math.min(maxRetryMilliseconds, Math.ceil(first - now - retryEpsilonMilliseconds)));
	}

	private _refill(now: Instant): void {
		const {callsPerSecond, capacity} = this._size;
		this._level = Math.min(capacity, this._level + (Math.max(0, now - this._updatedAt) * callsPerSecond / 1000));
		this._updatedAt = Math.max(this._updatedAt, now);
	}
}
