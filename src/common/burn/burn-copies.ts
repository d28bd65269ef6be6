/** Copies of other processes' counts, kept because a VM has no disk and may be gone at any moment. */
import {type Instant} from '../model/units.ts';
import {type ProcessCounts} from './types.ts';

/** A copy and when it came. */
type Copy = {readonly counts: ProcessCounts; readonly receivedAt: Instant};

/**
 * Most copies on one VM. Every process sends its copy to two others, and old processes' copies stay for
 * the longest window: 64 hold four generations of 16 VMs. A VM of a large fleet drops the oldest.
 */
const mostCopies = 64;

/** The newest copy of each process. */
export class BurnCopies {
	private readonly _copies = new Map<string, Copy>();

	/** Keeps a copy unless a newer one of the same process is here. */
	keep(counts: ProcessCounts, now: Instant): void {
		const known = this._copies.get(counts.identity);
		if (known !== undefined && ageAt(known, now) <= counts.ageMilliseconds) {
			return;
		}

		// What a process spends on measuring is of the moment; a copy of it would be counted for good.
		const services = counts.services.map(account => ({...account, measuringSpent: 0}));
		this._copies.set(counts.identity, {counts: {...counts, services}, receivedAt: now});
		if (this._copies.size > mostCopies) {
			this._dropOldest(now);
		}
	}

	/** All copies, aged until now. */
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
