/** Queue of the calls of one service that wait on this VM, fair to callers. */
import {type Call} from '../call.ts';

/** Queue discipline for waiting calls. */
export type CallQueue = {
	readonly size: number;
	/** Number of calls that would be taken before a new one of this caller. */
	aheadOf(caller: string): number;
	add(call: Call): void;
	/** Removes and returns the next call whose caller may start one. */
	take(mayStart: (caller: string) => boolean): Call | undefined;
	/** Removes a call that ended while it waited. */
	remove(call: Call): void;
	/** The call to refuse when the queue is full: the newest of the caller with the most waiting calls. */
	newestOfLargestCaller(): Call | undefined;
};

/**
 * Round-robin over callers, one call each. In order of arrival, a single caller that sends as much as all others together
 * would make everybody wait for its backlog. A turn counts calls and not their cost, since the cost is known only after
 * the call has run.
 */
export class FairCallQueue implements CallQueue {
	private readonly _queues = new Map<string, Call[]>();
	/** Callers with waiting calls; the first one is next. */
	private _callerOrder: string[] = [];
	private _size = 0;

	get size(): number {
		return this._size;
	}

	aheadOf(caller: string): number {
		const own = this._queues.get(caller)?.length ?? 0;
		let ahead = 0;
		for (const queue of this._queues.values()) {
			ahead += Math.min(queue.length, own + 1);
		}

		return Math.max(0, own === 0 ? ahead : ahead - 1);
	}

	add(call: Call): void {
		const {caller} = call.request;
		const queue = this._queues.get(caller);
		this._size++;
		if (queue === undefined) {
			this._queues.set(caller, [call]);
			this._callerOrder.push(caller);
			return;
		}

		queue.push(call);
	}

	take(mayStart: (caller: string) => boolean): Call | undefined {
		const index = this._callerOrder.findIndex(caller => mayStart(caller));
		if (index === -1) {
			return undefined;
		}

		const [caller] = this._callerOrder.splice(index, 1);
		const queue = this._queues.get(caller!)!;
		const call = queue.shift()!;
		this._size--;
		if (queue.length === 0) {
			this._queues.delete(caller!);
		} else {
			this._callerOrder.push(caller!);
		}

		return call;
	}

	remove(call: Call): void {
		const {caller} = call.request;
		const queue = this._queues.get(caller);
		const index = queue?.indexOf(call) ?? -1;
		if (queue === undefined || index === -1) {
			return;
		}

		queue.splice(index, 1);
		this._size--;
		if (queue.length === 0) {
			this._queues.delete(caller);
			this._callerOrder = this._callerOrder.filter(one => one !== caller);
		}
	}

	newestOfLargestCaller(): Call | undefined {
		let largest: Call[] | undefined;
		for (const queue of this._queues.values()) {
			if (largest === undefined || queue.length > largest.length) {
				largest = queue;
			}
		}

		return largest?.at(-1);
	}
}

/** Queue in order of arrival, as a baseline for the fair order. */
export class ArrivalOrderQueue implements CallQueue {
	private readonly _calls: Call[] = [];

	get size(): number {
		return this._calls.length;
	}

	aheadOf(): number {
		return this._calls.length;
	}

	add(call: Call): void {
		this._calls.push(call);
	}

	take(): Call | undefined {
		return this._calls.shift();
	}

	remove(call: Call): void {
		const index = this._calls.indexOf(call);
		if (index !== -1) {
			this._calls.splice(index, 1);
		}
	}

	newestOfLargestCaller(): Call | undefined {
		return this._calls.at(-1);
	}
}
