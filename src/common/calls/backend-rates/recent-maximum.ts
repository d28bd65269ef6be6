/** Largest value of the recent past. */
import {type Instant, type Milliseconds} from '../../model/units.ts';

export class RecentMaximum {
	private readonly _milliseconds: Milliseconds;
	/** The present value, at the end, and before it the larger values of the recent past, with the time until which each counts. */
	private readonly _values: Array<{readonly value: number; until: Instant}> = [];

	/** @param milliseconds time for which a value counts after a lower one has replaced it */
	constructor(milliseconds: Milliseconds) {
		this._milliseconds = milliseconds;
	}

	set(value: number, now: Instant): void {
		const previous = this._values.at(-1);
		if (previous !== undefined) {
			previous.until = now + this._milliseconds;
		}

		while (this._values.length > 0 && this._values.at(-1)!.value <= value) {
			this._values.pop();
		}

		this._values.push({value, until: Infinity});
	}

	/** Undefined before the first value. */
	get(now: Instant): number | undefined {
		while (this._values.length > 1 && this._values[0]!.until <= now) {
			this._values.shift();
		}

		return this._values[0]?.value;
	}
}
