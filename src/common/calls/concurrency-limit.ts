/** How many attempts of one service this VM keeps at backend servers at once. */

/** Signs of congestion and calls in flight as an answer comes in. */
export type LimitSample = {
	/** Attempts of the service in flight on this VM. */
	readonly inFlight: number;
	/** Calls queued at the answering backend server, for each of its slots. */
	readonly queuedPerSlot: number;
};

/** Bounds of the limit, from what is declared. */
export type LimitBounds = {
	/** Slots of the service's backend servers. */
	readonly slots: number;
	readonly vmCount: number;
};

/** Decides how many attempts may be in flight. */
export type ConcurrencyLimit = {
	readonly value: number;
	setBounds(bounds: LimitBounds): void;
	onAnswer(sample: LimitSample): void;
	/** A backend server has shed an attempt. */
	onShed(): void;
};

/** Part of the limit that must be in use before it grows: an idle service must not drift upwards. */
const usedPart = 0.8;

/** Largest part that one answer takes off the limit: one slow backend server must not close it. */
const largestCut = 0.02;

/** The limit starts at this many times the VM's even part of the slots: a VM may get more than its part. */
const startFactor = 1.5;

/**
 * Additive increase, multiplicative decrease on the queue that answers report. Made for a load above
 * capacity: calls that wait at backend servers cannot be refused, reordered or moved any more, and work
 * whose caller has gone fills the slots. VMs that share backend servers come to fair parts without
 * talking, since all see the same queues and the larger one gives up more.
 */
export class AdaptiveConcurrencyLimit implements ConcurrencyLimit {
	private readonly _target: number;
	private _value = 1;
	private _least = 1;
	private _most = Infinity;
	private _hasBounds = false;

	/** `target` = queued calls a slot that are aimed at; enough to keep slots busy between two answers. */
	constructor(target: number) {
		this._target = target;
	}

	get value(): number {
		return this._target === Infinity ? Infinity : this._value;
	}

	setBounds(bounds: LimitBounds): void {
		const even = bounds.slots / Math.max(1, bounds.vmCount);
		this._least = Math.max(1, even / 4);
		// One VM may come to carry a whole service; more than all slots and as many queued is never of use.
		this._most = Math.max(1, 2 * bounds.slots);
		if (!this._hasBounds) {
			this._value = startFactor * even;
			this._hasBounds = true;
		}

		this._clamp();
	}

	onAnswer(sample: LimitSample): void {
		const excess = sample.queuedPerSlot - this._target;
		if (excess > 0) {
			this._value *= 1 - (largestCut * Math.min(1, excess));
		} else if (sample.inFlight >= usedPart * this._value) {
			// With empty queues it doubles in the time of a few answers, near the target it feels its way.
			const room = -excess / this._target;
			this._value += room > 0.9 ? 0.25 : 1 / this._value;
		}

		this._clamp();
	}

	onShed(): void {
		this._value *= 1 - (2 * largestCut);
		this._clamp();
	}

	private _clamp(): void {
		this._value = Math.min(this._most, Math.max(this._least, this._value));
	}
}
