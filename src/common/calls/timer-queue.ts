/** A priority queue of timers, earliest first, as a binary heap, since a VM holds thousands of deadlines. */
import {type Instant} from '../model/units.ts';

/** An entry of the queue, used to remove it. */
export type TimerEntry<T> = {
	readonly at: Instant;
	readonly value: T;
	/** Index in the heap; `removedIndex` after removal. */
	index: number;
};

const removedIndex = -1;

/**
 * A priority queue by time. Every entry stores its index, so that the timers of an ended call can be removed at once.
 * If they stayed until they were due, each would keep its call in memory until a deadline seconds away, although the call
 * took a millisecond. With thousands of calls a second these would be the largest part of the memory heap, which every
 * garbage collection copies.
 */
export class TimerQueue<T> {
	private readonly _heap: Array<TimerEntry<T>> = [];

	get size(): number {
		return this._heap.length;
	}

	/** Time of the earliest entry; undefined if the queue is empty. */
	get earliest(): Instant | undefined {
		return this._heap[0]?.at;
	}

	add(at: Instant, value: T): TimerEntry<T> {
		const entry: TimerEntry<T> = {at, value, index: this._heap.length};
		this._heap.push(entry);
		this._siftUp(entry);
		return entry;
	}

	/** Removes an entry; does nothing if it was removed before. */
	remove(entry: TimerEntry<unknown>): void {
		const {index} = entry;
		if (index === removedIndex) {
			return;
		}

		entry.index = removedIndex;
		const last = this._heap.pop()!;
		if (last === entry) {
			return;
		}

		last.index = index;
		this._heap[index] = last;
		this._siftUp(last);
		this._siftDown(last);
	}

	/** Removes and returns the earliest value that is due at `now`; undefined if none is due. */
	takeDue(now: Instant): T | undefined {
		const first = this._heap[0];
		if (first === undefined || first.at > now) {
			return undefined;
		}

		this.remove(first);
		return first.value;
	}

	/** Removes obsolete values from the front, so that no wake-up is scheduled for them. */
	dropWhile(isObsolete: (value: T) => boolean): void {
		for (let first = this._heap[0]; first !== undefined && isObsolete(first.value); first = this._heap[0]) {
			this.takeDue(first.at);
		}
	}

	private _siftUp(entry: TimerEntry<T>): void {
		const heap = this._heap;
		let {index} = entry;
		while (index > 0) {
			const parent = heap[Math.floor((index - 1) / 2)]!;
			if (parent.at <= entry.at) {
				break;
			}

			const parentIndex = parent.index;
			this._put(parent, index);
			index = parentIndex;
		}

		this._put(entry, index);
	}

	private _siftDown(entry: TimerEntry<T>): void {
		const heap = this._heap;
		let {index} = entry;
		for (let child = (2 * index) + 1; child < heap.length; child = (2 * index) + 1) {
			const right = heap[child + 1];
			const earlier = right !== undefined && right.at < heap[child]!.at ? right : heap[child]!;
			if (earlier.at >= entry.at) {
				break;
			}

			const earlierIndex = earlier.index;
			this._put(earlier, index);
			index = earlierIndex;
		}

		this._put(entry, index);
	}

	private _put(entry: TimerEntry<T>, index: number): void {
		this._heap[index] = entry;
		entry.index = index;
	}
}
