/** Weighted choice among the services of a route, as a low-discrepancy sequence. */
import {type SplitPart} from './types.ts';

/** Fractional part of the golden ratio: n consecutive steps around a circle leave gaps of about 1/n between the points. */
const goldenRatioStep = (Math.sqrt(5) - 1) / 2;

/**
 * Each part is an arc of a circle, as long as its weight; each call advances the position by the golden ratio and takes the
 * part at the new position. A random choice would be too uneven for few calls on each of many VMs: a part with a tenth of the
 * weight would receive between 5 and 15 of a hundred calls. With golden-ratio steps any run of calls deviates from the
 * weights by about one call. Each VM starts at its own random position, so that the deviations of the VMs do not add up.
 */
export class WeightedSplit {
	private readonly _parts: readonly SplitPart[];
	private readonly _totalWeight: number;
	private _position: number;

	/** `startPosition`: initial position on the circle, 0 to 1. */
	constructor(parts: readonly SplitPart[], startPosition: number) {
		this._parts = parts;
		this._totalWeight = parts.reduce((sum, part) => sum + part.weight, 0);
		this._position = startPosition;
	}

	/** True if `parts` has the same services with the same weights in the same order. */
	hasSameParts(parts: readonly SplitPart[]): boolean {
		return parts.length === this._parts.length
			&& parts.every((part, index) => part.service === this._parts[index]!.service && part.weight === this._parts[index]!.weight);
	}

	/** Returns the service for the next call. */
	next(): string {
		if (this._parts.length === 1) {
			return this._parts[0]!.service;
		}

		this._position = (this._position + goldenRatioStep) % 1;
		let remaining = this._position * this._totalWeight;
		for (const part of this._parts) {
			remaining -= part.weight;
			if (remaining < 0) {
				return part.service;
			}
		}

		return this._parts.at(-1)!.service;
	}
}
