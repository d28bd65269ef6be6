/** Limit on the number of attempts of one service that this VM has in flight at once. */
import {type Instant, type Milliseconds} from '../../model/units.ts';

/** Input of the limit for each answer: calls in flight, and the queue at the backend server. */
export type LimitSample = {
	/** Attempts of the service in flight on this VM. */
	readonly inFlight: number;
	/** Calls queued at the answering backend server for each of its slots. */
	readonly queuedPerSlot: number;
};

/** Declared values from which the bounds of the limit are computed. */
export type LimitBounds = {
	/** Slots of the service's backend servers. */
	readonly slots: number;
	readonly vmCount: number;
};

/** Controls how many attempts may be in flight. */
export type ConcurrencyLimit = {
	readonly value: number;
	/** Whether queues at backend servers are longer than random variation explains. */
	readonly isCongested: boolean;
	setBounds(bounds: LimitBounds): void;
	/** Sets the number of queued calls per slot to aim at; it should keep slots busy between two answers. */
	setTarget(target: number): void;
	onAnswer(sample: LimitSample, now: Instant): void;
	/** A backend server has shed an attempt. */
	onShed(): void;
};

/** Fraction of the limit that must be in use before it grows beyond its baseline. */
const minUsedFraction = 0.8;

/** Largest fraction by which one answer reduces the limit: a single slow backend server must not close it. */
const maxDecreaseFraction = 0.01;

/**
 * Without congestion the limit stays at this many times the VM's even share of the slots, since callers spread unevenly
 * over VMs.
 */
const baselineFactor = 4;

/** Additive step back towards the baseline for each answer without congestion. */
const recoveryStep = 0.25;

/** Weight of a new answer in the mean queue length: the empty queue of one backend server does not end congestion. */
const queueSmoothing = 0.05;

/** Congestion shorter than this counts as a burst: it is over before its queue makes a caller miss its deadline. */
const maxBurstMilliseconds: Milliseconds = 100;

/** Queued calls per slot that are tolerated during a burst: three answer times of waiting. */
const burstTarget = 3;

/**
 * Additive increase, multiplicative decrease (AIMD) on the queue length that answers report. Made for a load above
 * capacity: calls that wait at backend servers can no longer be refused, reordered or moved, and work whose caller has
 * gone fills the slots. A burst is let through up to a point, since calls held back on one VM cannot use the slots that
 * another VM's calls leave free. VMs that share backend servers converge to fair shares without communication: all see
 * the same queues, and the one with the larger limit reduces it more.
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
		// One VM may carry a whole service; more calls than all slots and as many queued ones are never useful.
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
