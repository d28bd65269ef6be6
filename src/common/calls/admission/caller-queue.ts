/** Queue of the calls of one service that wait on this VM: the most urgent first, fair to callers within a priority. */
import {type Call} from '../call.ts';

/** Queue discipline for waiting calls. */
export type CallQueue = {
	readonly size: number;
	/** Number of waiting calls that are at least as urgent as this priority. */
	sizeUpTo(priority: number): number;
	/** Number of calls that would be taken before a new one of this priority and caller. */
	aheadOf(priority: number, caller: string): number;
	add(call: Call): void;
	/** Removes and returns the next call; among those of the same priority, one of a preferred caller if there is any. */
	take(isPreferred: (caller: string) => boolean): Call | undefined;
	/** Removes a call that ended while it waited. */
	remove(call: Call): void;
	/** The call to refuse when the queue is full: the newest of the largest caller of the least urgent priority. */
	newestOfLeastUrgent(): Call | undefined;
	/** Whether any waiting call fulfils the predicate. */
	some(predicate: (call: Call) => boolean): boolean;
	/** All waiting calls. */
	calls(): Call[];
};

/**
 * Round-robin over the callers of one priority, one call each. In order of arrival, a single caller that sends as much as
 * all others together would make everybody wait for its backlog. A turn counts calls and not their cost, since the cost is
 * known only after the call has run.
 */
class CallerRotation {
	readonly queues = new Map<string, Call[]>();
	size = 0;
	/** Callers with waiting calls; the first one is next. */
	private _callerOrder: string[] = [];

	aheadOf(caller: string): number {
		const own = this.queues.get(caller)?.length ?? 0;
		let ahead = 0;
		for (const queue of this.queues.values()) {
			ahead += Math.min(queue.length, own + 1);
		}

		return Math.max(0, own === 0 ? ahead : ahead - 1);
	}

	add(call: Call): void {
		const {caller} = call.request;
		const queue = this.queues.get(caller);
		this.size++;
		if (queue === undefined) {
			this.queues.set(caller, [call]);
			this._callerOrder.push(caller);
			return;
		}

		queue.push(call);
	}

	take(isPreferred: (caller: string) => boolean): Call {
		const [caller] = this._callerOrder.splice(Math.max(0, this._callerOrder.findIndex(one => isPreferred(one))), 1);
		const queue = this.queues.get(caller!)!;
		const call = queue.shift()!;
		this.size--;
		if (queue.length === 0) {
			this.queues.delete(caller!);
		} else {
			this._callerOrder.push(caller!);
		}

		return call;
	}

	remove(call: Call): void {
		const {caller} = call.request;
		const queue = this.queues.get(caller);
		const index = queue?.indexOf(call) ?? -1;
		if (queue === undefined || index === -1) {
			return;
		}

		queue.splice(index, 1);
		this.size--;
		if (queue.length === 0) {
			this.queues.delete(caller);
			this._callerOrder = this._callerOrder.filter(one => one !== caller);
		}
	}

	newestOfLargestCaller(): Call | undefined {
		let largest: Call[] | undefined;
		for (const queue of this.queues.values()) {
			if (largest === undefined || queue.length > largest.length) {
				largest = queue;
			}
		}

		return largest?.at(-1);
	}
}

/** Strict priorities, and round-robin by caller within each. */
export class FairCallQueue implements CallQueue {
	/** Priorities with waiting calls, most urgent first. */
	private _rotations: Array<{readonly priority: number; readonly rotation: CallerRotation}> = [];

	get size(): number {
		let size = 0;
		for (const {rotation} of this._rotations) {
			size += rotation.size;
		}

		return size;
	}

	sizeUpTo(priority: number): number {
		let size = 0;
		for (const one of this._rotations) {
			size += one.priority <= priority ? one.rotation.size : 0;
		}

		return size;
	}

	aheadOf(priority: number, caller: string): number {
		let ahead = 0;
		for (const one of this._rotations) {
			if (one.priority < priority) {
				ahead += one.rotation.size;
			} else if (one.priority === priority) {
				ahead += one.rotation.aheadOf(caller);
			}
		}

		return ahead;
	}

	add(call: Call): void {
		const existing = this._rotations.find(one => one.priority === call.priority);
		if (existing !== undefined) {
			existing.rotation.add(call);
			return;
		}

		const rotation = new CallerRotation();
		rotation.add(call);
		this._rotations.push({priority: call.priority, rotation});
		this._rotations.sort((one, other) => one.priority - other.priority);
	}

	take(isPreferred: (caller: string) => boolean): Call | undefined {
		const call = this._rotations[0]?.rotation.take(isPreferred);
		this._dropEmpty();
		return call;
	}

	remove(call: Call): void {
		this._rotations.find(one => one.priority === call.priority)?.rotation.remove(call);
		this._dropEmpty();
	}

	newestOfLeastUrgent(): Call | undefined {
		return this._rotations.at(-1)?.rotation.newestOfLargestCaller();
	}

	some(predicate: (call: Call) => boolean): boolean {
		return this._rotations.some(({rotation}) => [...rotation.queues.values()].some(queue => queue.some(call => predicate(call))));
	}

	calls(): Call[] {
		return this._rotations.flatMap(({rotation}) => [...rotation.queues.values()].flat());
	}

	private _dropEmpty(): void {
		if (this._rotations.some(({rotation}) => rotation.size === 0)) {
			this._rotations = this._rotations.filter(({rotation}) => rotation.size > 0);
		}
	}
}

/** Queue in order of arrival, as a baseline for the fair order. */
export class ArrivalOrderQueue implements CallQueue {
	private readonly _calls: Call[] = [];

	get size(): number {
		return this._calls.length;
	}

	sizeUpTo(): number {
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

	newestOfLeastUrgent(): Call | undefined {
		return this._calls.at(-1);
	}

	some(predicate: (call: Call) => boolean): boolean {
		return this._calls.some(call => predicate(call));
	}

	calls(): Call[] {
		return [...this._calls];
	}
}
