/** Calls of one service that wait on this VM, in an order that is fair to callers. */
import {type Call} from './call.ts';

/** How a queue takes calls in and gives them out. */
export type CallQueue = {
	readonly size: number;
	/** Calls that go before a new one of this caller. */
	aheadOf(caller: string): number;
	add(call: Call): void;
	/** The next one whose caller may start a call. */
	take(mayStart: (caller: string) => boolean): Call | undefined;
	/** Takes out a call that ended while it waited. */
	remove(call: Call): void;
	/** The call to give up when there is no room: the latest of the caller with the most. */
	latestOfGreediest(): Call | undefined;
};

/**
 * Takes callers by turns, one call each. Made for one caller that sends as much as all others together:
 * in order of arrival its backlog would be everybody's wait. Turns count calls and not their cost, since
 * the cost of a class is known only after it has run.
 */
export class FairCallQueue implements CallQueue {
	private readonly _queues = new Map<string, Call[]>();
	/** Callers with waiting calls; the first is next. */
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

	latestOfGreediest(): Call | undefined {
		let largest: Call[] | undefined;
		for (const queue of this._queues.values()) {
			if (largest === undefined || queue.length > largest.length) {
				largest = queue;
			}
		}

		return largest?.at(-1);
	}
}

/** Order of arrival: what the fair order is compared with. */
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

	latestOfGreediest(): Call | undefined {
		return this._calls.at(-1);
	}
}
