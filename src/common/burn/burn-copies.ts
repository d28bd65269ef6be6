/** Stores copies of other processes' counts, because a VM has no disk and may fail at any moment. */
import {type Instant} from '../model/units.ts';
import {type ProcessCounts} from './types.ts';

type Copy = {readonly counts: ProcessCounts; readonly receivedAt: Instant};

/**
 * Maximum number of copies on one VM. Every process sends its counts to two other VMs, and copies of ended processes
 * matter for the longest window: 64 hold four generations of 16 VMs. In a larger fleet the oldest copies are evicted.
 */
const maxCopies = 64;

/** Stores the newest copy of each process's counts. */
export class BurnCopies {
	private readonly _copies = new Map<string, Copy>();

	/** Stores a copy unless a newer one of the same process is stored already. */
	keep(counts: ProcessCounts, now: Instant): void {
		const known = this._copies.get(counts.identity);
		if (known !== undefined && ageAt(known, now) <= counts.ageMilliseconds) {
			return;
		}

		// The measuring calls belong to the current measuring window only; in a copy they would be counted long after that window.
		const services = counts.services.map(service => ({...service, measuringSpent: 0}));
		this._copies.set(counts.identity, {counts: {...counts, services}, receivedAt: now});
		if (this._copies.size > maxCopies) {
			this._dropOldest(now);
		}
	}

	/** Returns all copies with their ages at `now`. */
	all(now: Instant): ProcessCounts[] {
		return [...this._copies.values()].map(copy => ({...copy.counts, ageMilliseconds: ageAt(copy, now)}));
	}

	private _dropOldest(now: Instant): void {
		const [oldest] = [...this._copies].toSorted(([, first], [, second]) => ageAt(second, now) - ageAt(first, now));
		this._copies.delete(oldest![0]);
	}
}

function ageAt(copy: Copy, now: Instant): number {
	return copy.counts.ageMilliseconds + (now - copy.receivedAt);
}
