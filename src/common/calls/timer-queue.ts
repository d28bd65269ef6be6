/** Instants with a payload, the earliest first: a binary heap, since a VM holds thousands of deadlines. */
import {type Instant} from '../model/units.ts';

type Entry<T> = {readonly at: Instant; readonly value: T};

/**
 * A priority queue by instant. Entries are never removed early: who takes one out checks whether it
 * still means something, which is cheaper than finding it in the heap for each call that ends.
 */
export class TimerQueue<T> {
	private readonly _heap: Array<Entry<T>> = [];

	get size(): number {
		return this._heap.length;
	}

	/** The earliest instant, or undefined while empty. */
	get earliest(): Instant | undefined {
		return this._heap[0]?.at;
	}

	add(at: Instant, value: T): void {
		const heap = this._heap;
		let index = heap.length;
		const entry = {at, value};
		heap.push(entry);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (heap[parent]!.at <= at) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = entry;
	}

	/** Takes out the earliest value that is due at `now`. */
	takeDue(now: Instant): T | undefined {
		const first = this._heap[0];
		if (first === undefined || first.at > now) {
			return undefined;
		}

		const last = this._heap.pop()!;
		if (this._heap.length > 0) {
			this._sinkFromTop(last);
		}

		return first.value;
	}

	/** Takes out values from the front that no longer mean anything, so that nobody wakes up for them. */
	dropWhile(isDead: (value: T) => boolean): void {
		for (let first = this._heap[0]; first !== undefined && isDead(first.value); first = this._heap[0]) {
			this.takeDue(first.at);
		}
	}

	private _sinkFromTop(entry: Entry<T>): void {
		const heap = this._heap;
		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && heap[child + 1]!.at < heap[child]!.at) {
				child++;
			}

			if (heap[child]!.at >= entry.at) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = entry;
	}
}
