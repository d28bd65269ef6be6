/** Exponentially weighted moving average with an initial value. */
export class MovingAverage {
	private _value: number;
	private _weight: number;
	private readonly _memorySamples: number;

	/**
	 * `initialValue` has the weight of `initialSamples` samples; after `memorySamples` samples an older one has a third of
	 * its weight.
	 */
	constructor(initialValue: number, initialSamples: number, memorySamples: number) {
		this._value = initialValue;
		this._weight = initialSamples;
		this._memorySamples = memorySamples;
	}

	get value(): number {
		return this._value;
	}

	add(sample: number): void {
		this._weight = Math.min(this._memorySamples, this._weight + 1);
		this._value += (sample - this._value) / this._weight;
	}
}
