/** Good and bad calls of one window, in a ring of buckets. */
import {type Instant} from '../model/units.ts';
import {type BurnWindow} from './burn-windows.ts';
import {type Bucket} from './types.ts';

/** Counts without allocating: one call adds to one pair of numbers. */
export class BucketRing {
	private readonly _window: BurnWindow;
	private readonly _size: number;
	private readonly _good: Float64Array;
	private readonly _bad: Float64Array;
	/** Which stretch of time each slot holds; a slot of another stretch is stale. */
	private readonly _epochs: Float64Array;

	constructor(window: BurnWindow) {
		this._window = window;
		// One more than the window has: the present bucket is never whole.
		this._size = (window.milliseconds / window.bucketMilliseconds) + 1;
		this._good = new Float64Array(this._size);
		this._bad = new Float64Array(this._size);
		this._epochs = new Float64Array(this._size).fill(Number.NEGATIVE_INFINITY);
	}

	/** Counts one call. */
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

	/** The buckets that are not empty, the youngest first. */
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

	/** The clock may start anywhere, below 0 too. */
	private _slotOf(epoch: number): number {
		return ((epoch % this._size) + this._size) % this._size;
	}
}
