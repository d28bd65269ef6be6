/** Slots with a bounded FIFO queue, as in a server with a fixed number of workers. */

/** Every acquired slot must be released exactly once. */
export class SlotQueue {
	readonly slots: number;
	private readonly _queueLimit: number;
	private _inUse = 0;
	private readonly _waiting = new Set<() => void>();

	constructor(slots: number, queueLimit: number) {
		this.slots = slots;
		this._queueLimit = queueLimit;
	}

	/** Number of calls that hold a slot. */
	get inUse(): number {
		return this._inUse;
	}

	/** Number of calls that wait for a slot. */
	get queued(): number {
		return this._waiting.size;
	}

	/** Acquires a slot and runs `start`, now or once a slot is free. Returns false if the queue is full; `start` then never runs. */
	acquire(start: () => void): boolean {
		if (this._inUse < this.slots) {
			this._inUse++;
			start();
			return true;
		}

		if (this._waiting.size >= this._queueLimit) {
			return false;
		}

		this._waiting.add(start);
		return true;
	}

	/** Removes `start` from the queue. Returns false if it is not queued. */
	cancel(start: () => void): boolean {
		return this._waiting.delete(start);
	}

	/** Releases a slot, and starts the first queued call with it. */
	release(): void {
		const [next] = this._waiting;
		if (next === undefined) {
			this._inUse--;
			return;
		}

		this._waiting.delete(next);
		next();
	}
}
