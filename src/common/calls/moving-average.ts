/** An exponentially weighted moving average that starts from an assumption. */
export class MovingAverage {
	private _value: number;
	private _weight: number;
	private readonly _memorySamples: number;

	/** `assumed` counts like `assumedSamples` samples; after `memory` samples an older one counts for a third. */
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
