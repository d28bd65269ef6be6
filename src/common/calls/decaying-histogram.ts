/** Quantiles of answer times, of which the older ones count less and less. */
import {type Milliseconds} from '../model/units.ts';

/** Each bucket is wider than the one before by this factor: quantiles are right to within 10%. */
const growth = 1.1;

/** Upper end of the first bucket. */
const first: Milliseconds = 0.1;

/** Reaches from 0.1 ms to 1.4 hours. */
const bucketCount = 190;

/** Weights are scaled down before the newest one gets larger than a float can hold beside the oldest. */
const rescaleAbove = 1e6;

/** Samples between two computations of a remembered quantile: reading all buckets for each call is too dear. */
const recomputeEvery = 16;

/** A histogram with logarithmic buckets. Older samples fade by giving newer ones more weight. */
export class DecayingHistogram {
	private readonly _weights = new Float64Array(bucketCount);
	private readonly _fade: number;
	private _nextWeight = 1;
	private _total = 0;
	private _count = 0;
	private _rememberedPart = -1;
	private _rememberedAt = -1;
	private _remembered: Milliseconds = 0;

	/** `memory` is the number of samples after which one counts for a third of a new one. */
	constructor(memory: number) {
		this._fade = 1 + (1 / memory);
	}

	/** Samples taken in all. */
	get count(): number {
		return this._count;
	}

	add(value: Milliseconds): void {
		const bucket = value <= first ? 0 : Math.min(bucketCount - 1, Math.ceil(Math.log(value / first) / Math.log(growth)));
		this._weights[bucket]! += this._nextWeight;
		this._total += this._nextWeight;
		this._count++;
		this._nextWeight *= this._fade;
		if (this._nextWeight > rescaleAbove) {
			this._rescale();
		}
	}

	/** The value below which the given part of the samples lies; undefined while there is none. */
	quantile(part: number): Milliseconds | undefined {
		if (this._count === 0) {
			return undefined;
		}

		if (this._rememberedPart !== part || this._count - this._rememberedAt >= recomputeEvery) {
			this._remembered = this._compute(part);
			this._rememberedPart = part;
			this._rememberedAt = this._count;
		}

		return this._remembered;
	}

	private _compute(part: number): Milliseconds {
		let rest = this._total * part;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			rest -= this._weights[bucket]!;
			if (rest <= 0) {
				return first * (growth ** bucket);
			}
		}

		return first * (growth ** (bucketCount - 1));
	}

	private _rescale(): void {
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			this._weights[bucket]! /= this._nextWeight;
		}

		this._total /= this._nextWeight;
		this._nextWeight = 1;
	}
}
