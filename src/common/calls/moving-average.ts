/** An exponentially weighted moving average that starts from an assumption. */
export class MovingAverage {
	private _value: number;
	private _weight: number;
	private readonly _memory: number;

	/** `assumed` counts like `assumedSamples` samples; after `memory` samples an older one counts for a third. */
	constructor(assumed: number, assumedSamples: number, memory: number) {
		this._value = assumed;
		this._weight = assumedSamples;
		this._memory = memory;
	}

	get value(): number {
		return this._value;
	}

	add(sample: number): void {
		this._weight = Math.min(this._memory, this._weight + 1);
		this._value += (sample - this._value) / this._weight;
	}
}
