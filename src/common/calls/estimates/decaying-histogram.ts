/** Quantiles of answer times with exponentially decaying weights. */
import {type Milliseconds} from '../../model/units.ts';

/** Ratio of the widths of neighbouring buckets: quantiles are accurate to within 10%. */
const bucketGrowth = 1.1;

/** Upper end of the first bucket. */
const firstBucketMilliseconds: Milliseconds = 0.1;

/** Covers 0.1 ms to 1.4 hours. */
const bucketCount = 190;

/** Weights are scaled down above this value, before a float can no longer represent the oldest beside the newest. */
const rescaleAbove = 1e6;

/** Samples between two computations of the cached quantile: reading all buckets for each call is too expensive. */
const samplesPerRecompute = 16;

/** A histogram with logarithmic buckets. Older samples decay, since each new sample gets a larger weight. */
export class DecayingHistogram {
	private readonly _weights = new Float64Array(bucketCount);
	private readonly _weightGrowth: number;
	private _nextWeight = 1;
	private _total = 0;
	private _count = 0;
	private _cachedFraction = -1;
	private _cachedAtCount = -1;
	private _cachedValue: Milliseconds = 0;

	/** `memorySamples` = number of samples after which one has a third of the weight of a new one. */
	constructor(memorySamples: number) {
		this._weightGrowth = 1 + (1 / memorySamples);
	}

	/** Number of samples added in total. */
	get count(): number {
		return this._count;
	}

	add(value: Milliseconds): void {
		const bucket = value <= firstBucketMilliseconds ? 0 : Math.min(bucketCount - 1, Math.ceil(Math.log(value / firstBucketMilliseconds) / Math.log(bucketGrowth)));
		this._weights[bucket]! += this._nextWeight;
		this._total += this._nextWeight;
		this._count++;
		this._nextWeight *= this._weightGrowth;
		if (this._nextWeight > rescaleAbove) {
			this._rescale();
		}
	}

	/** The value below which the given fraction of the samples lies; undefined while there is none. */
	quantile(fraction: number): Milliseconds | undefined {
		if (this._count === 0) {
			return undefined;
		}

		if (this._cachedFraction !== fraction || this._count - this._cachedAtCount >= samplesPerRecompute) {
			this._cachedValue = this._compute(fraction);
			this._cachedFraction = fraction;
			this._cachedAtCount = this._count;
		}

		return this._cachedValue;
	}

	private _compute(fraction: number): Milliseconds {
		let remaining = this._total * fraction;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			remaining -= this._weights[bucket]!;
			if (remaining <= 0) {
				return firstBucketMilliseconds * (bucketGrowth ** bucket);
			}
		}

		return firstBucketMilliseconds * (bucketGrowth ** (bucketCount - 1));
	}

	private _rescale(): void {
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			this._weights[bucket]! /= this._nextWeight;
		}

		this._total /= this._nextWeight;
		this._nextWeight = 1;
	}
}
