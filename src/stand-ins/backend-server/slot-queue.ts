/** Slots with a bounded first-come queue, as a small server with a fixed number of workers has. */

/** Takes a slot or waits for one; each taken slot is given back once. */
export class SlotQueue {
	readonly slots: number;
	private readonly _queueLimit: number;
	private _inUse = 0;
	private readonly _waiting = new Set<() => void>();

	constructor(slots: number, queueLimit: number) {
		this.slots = slots;
		this._queueLimit = queueLimit;
	}

	/** Calls that hold a slot. */
	get inUse(): number {
		return this._inUse;
	}

	/** Calls that wait. */
	get queued(): number {
		return this._waiting.size;
	}

	/** Runs `start` with a slot now or later; false = shed, never run. */
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

	/** Leaves the queue; false if it had a slot already. */
	cancel(start: () => void): boolean {
		return this._waiting.delete(start);
	}

	/** Gives a slot back; the first that waits takes it. */
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
