/** Instants with a payload, the earliest first: a binary heap, since a VM holds thousands of deadlines. */
import {type Instant} from '../model/units.ts';

/** An entry of the queue, to take it out by. */
export type TimerEntry<T> = {
	readonly at: Instant;
	readonly value: T;
	/** Place in the heap; `outside` once it has left. */
	index: number;
};

const outside = -1;

/**
 * A priority queue by instant. Every entry knows its place, so that the timers of a call that has ended
 * leave at once. Left to lapse, each would keep its call in memory until its deadline, though the call
 * took a millisecond and the deadline is seconds away: thousands of calls a second make that the
 * largest part of the heap, and every collection copies it.
 */
export class TimerQueue<T> {
	private readonly _heap: Array<TimerEntry<T>> = [];

	get size(): number {
		return this._heap.length;
	}

	/** The earliest instant, or undefined while empty. */
	get earliest(): Instant | undefined {
		return this._heap[0]?.at;
	}

	add(at: Instant, value: T): TimerEntry<T> {
		const entry: TimerEntry<T> = {at, value, index: this._heap.length};
		this._heap.push(entry);
		this._rise(entry);
		return entry;
	}

	/** Takes an entry out; one that has left already is let be. */
	remove(entry: TimerEntry<unknown>): void {
		const {index} = entry;
		if (index === outside) {
			return;
		}

		entry.index = outside;
		const last = this._heap.pop()!;
		if (last === entry) {
			return;
		}

		last.index = index;
		this._heap[index] = last;
		this._rise(last);
		this._sink(last);
	}

	/** Takes out the earliest value that is due at `now`. */
	takeDue(now: Instant): T | undefined {
		const first = this._heap[0];
		if (first === undefined || first.at > now) {
			return undefined;
		}

		this.remove(first);
		return first.value;
	}

	/** Takes out values from the front that no longer mean anything, so that nobody wakes up for them. */
	dropWhile(isDead: (value: T) => boolean): void {
		for (let first = this._heap[0]; first !== undefined && isDead(first.value); first = this._heap[0]) {
			this.takeDue(first.at);
		}
	}

	private _rise(entry: TimerEntry<T>): void {
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

	private _sink(entry: TimerEntry<T>): void {
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
