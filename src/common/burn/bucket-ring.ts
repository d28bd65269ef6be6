/** Counts the good and bad calls of one window in a ring buffer of buckets. */
import {type Instant} from '../model/units.ts';
import {type BurnWindow} from './burn-windows.ts';
import {type Bucket} from './types.ts';

/** Ring buffer of counters. Counting a call increments one number and allocates nothing. */
export class BucketRing {
	private readonly _window: BurnWindow;
	private readonly _size: number;
	private readonly _good: Float64Array;
	private readonly _bad: Float64Array;
	/** Epoch (time divided by the bucket length) whose counts each slot holds; a slot with another epoch is stale. */
	private readonly _epochs: Float64Array;

	constructor(window: BurnWindow) {
		this._window = window;
		// One more than the window's full buckets, because the current bucket is still incomplete.
		this._size = (window.milliseconds / window.bucketMilliseconds) + 1;
		this._good = new Float64Array(this._size);
		this._bad = new Float64Array(this._size);
		this._epochs = new Float64Array(this._size).fill(Number.NEGATIVE_INFINITY);
	}

	add(isGood: boolean, now: Instant): void {
		const epoch = this._epochAt(now);
		const slot = this._slotOf(epoch);
		if (this._epochs[slot] !== epoch) {
			this._epochs[slot] = epoch;
			this._good[slot] = 0;
			this._bad[slot] = 0;
		}

		const counts = isGood ? this._good : this._bad;
		counts[slot]! += 1;
	}

	/** Returns the buckets that hold calls, newest first. */
	buckets(now: Instant): Bucket[] {
		const present = this._epochAt(now);
		const found: Bucket[] = [];
		for (let age = 0; age < this._size; age++) {
			const slot = this._slotOf(present - age);
			if (this._epochs[slot] === present - age) {
				found.push([age, this._good[slot]!, this._bad[slot]!]);
			}
		}

		return found;
	}

	private _epochAt(now: Instant): number {
		return Math.floor(now / this._window.bucketMilliseconds);
	}

	/** Always at least 0: epochs may be negative, since a monotonic clock can start anywhere. */
	private _slotOf(epoch: number): number {
		return ((epoch % this._size) + this._size) % this._size;
	}
}
