/** Deals the calls of a route out to its services by weight. */
import {type SplitPart} from './types.ts';

/** Step of the golden ratio: any run of n steps spreads over the circle with gaps of about 1/n. */
const step = (Math.sqrt(5) - 1) / 2;

/**
 * Walks round a circle whose arcs are the parts. Made for few calls on each of many VMs: with chance alone a part of
 * one tenth would get between 5 and 15 of a hundred calls; steps of the golden ratio keep every run within about one
 * call of its share, and a start of its own on each VM keeps the VMs from rounding the same way.
 */
export class WeightedSplit {
	private readonly _parts: readonly SplitPart[];
	private readonly _total: number;
	private _position: number;

	/** `start` = where on the circle to begin, 0 to 1. */
	constructor(parts: readonly SplitPart[], start: number) {
		this._parts = parts;
		this._total = parts.reduce((sum, part) => sum + part.weight, 0);
		this._position = start;
	}

	/** True if it deals out to the same parts by the same weights. */
	isOf(parts: readonly SplitPart[]): boolean {
		return parts.length === this._parts.length
			&& parts.every((part, index) => part.service === this._parts[index]!.service && part.weight === this._parts[index]!.weight);
	}

	/** The service that gets the next call. */
	next(): string {
		if (this._parts.length === 1) {
			return this._parts[0]!.service;
		}

		this._position = (this._position + step) % 1;
		let left = this._position * this._total;
		for (const part of this._parts) {
			left -= part.weight;
			if (left < 0) {
				return part.service;
			}
		}

		return this._parts.at(-1)!.service;
	}
}
