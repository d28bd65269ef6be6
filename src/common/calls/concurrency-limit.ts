/** How many attempts of one service this VM keeps at backend servers at once. */
import {type Instant, type Milliseconds} from '../model/units.ts';

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
	/** Calls are waiting at backend servers for longer than chance makes them. */
	readonly isCongested: boolean;
	setBounds(bounds: LimitBounds): void;
	/** Queued calls a slot that are aimed at; enough to keep slots busy between two answers. */
	setTarget(target: number): void;
	onAnswer(sample: LimitSample, now: Instant): void;
	/** A backend server has shed an attempt. */
	onShed(): void;
};

/** Part of the limit that must be in use before it grows beyond its resting value. */
const minUsedFraction = 0.8;

/** Largest part that one answer takes off the limit: one slow backend server must not close it. */
const maxDecreaseFraction = 0.01;

/** In calm the limit rests at this many times the VM's even part of the slots: callers' choice of VMs is uneven. */
const baselineFactor = 4;

/** How fast it comes back to rest, for each answer without congestion. */
const recoveryStep = 0.25;

/** Part of a new answer in the mean queue: one backend server's empty queue is no end of congestion. */
const queueSmoothing = 0.05;

/** Congestion shorter than this is a rush: it is over before its queue costs a caller its deadline. */
const maxBurstMilliseconds: Milliseconds = 100;

/** Queued calls a slot that a rush may bring: three answer times of waiting. */
const burstTarget = 3;

/**
 * Additive increase, multiplicative decrease on the queue that answers report. Made for a load above
 * capacity: calls that wait at backend servers cannot be refused, reordered or moved any more, and work
 * whose caller has gone fills the slots. A rush is let through up to a point, since calls held back on
 * one VM cannot use the slots that another VM's calls leave free. VMs that share backend servers come to
 * fair parts without talking: all see the same queues, and the larger one gives up more.
 */
export class AdaptiveConcurrencyLimit implements ConcurrencyLimit {
	private _target: number;
	private _value = 1;
	private _min = 1;
	private _baseline = 1;
	private _max = Infinity;
	private _hasBounds = false;
	private _meanQueuedPerSlot = 0;
	private _congestedSince: Instant | undefined;

	constructor(target: number) {
		this._target = target;
	}

	get value(): number {
		return this._target === Infinity ? Infinity : this._value;
	}

	get isCongested(): boolean {
		return this._congestedSince !== undefined;
	}

	setBounds(bounds: LimitBounds): void {
		const evenShare = bounds.slots / Math.max(1, bounds.vmCount);
		this._min = Math.max(1, evenShare / 4);
		this._baseline = Math.max(1, baselineFactor * evenShare);
		// One VM may come to carry a whole service; more than all slots and as many queued is never of use.
		this._max = Math.max(this._baseline, 2 * bounds.slots);
		if (!this._hasBounds) {
			this._value = this._baseline;
			this._hasBounds = true;
		}

		this._clamp();
	}

	setTarget(target: number): void {
		this._target = target;
	}

	onAnswer(sample: LimitSample, now: Instant): void {
		this._meanQueuedPerSlot += (sample.queuedPerSlot - this._meanQueuedPerSlot) * queueSmoothing;
		const excess = sample.queuedPerSlot - this._targetAt(now);
		if (excess > 0) {
			this._value *= 1 - (maxDecreaseFraction * Math.min(1, excess));
		} else if (this._value < this._baseline) {
			this._value += this._meanQueuedPerSlot < this._target / 2 ? recoveryStep : 1 / this._value;
		} else if (sample.inFlight >= minUsedFraction * this._value) {
			this._value += 1 / this._value;
		}

		this._clamp();
	}

	onShed(): void {
		this._value *= 1 - (2 * maxDecreaseFraction);
		this._clamp();
	}

	private _targetAt(now: Instant): number {
		if (this._meanQueuedPerSlot <= this._target / 2) {
			this._congestedSince = undefined;
			return this._target;
		}

		this._congestedSince ??= now;
		return now - this._congestedSince < maxBurstMilliseconds ? Math.max(burstTarget, this._target) : this._target;
	}

	private _clamp(): void {
		this._value = Math.min(this._max, Math.max(this._min, this._value));
	}
}
