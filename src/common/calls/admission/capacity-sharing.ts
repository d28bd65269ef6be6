/**
 * Shares the capacity of an overloaded service among priorities and callers: which fraction of the calls of each is
 * admitted. Computed from the demand and the capacity of the last second only.
 */
import {type Milliseconds} from '../../model/units.ts';

/** Calls per second of one caller with one priority. */
export type DemandFigure = {
	/** 0 = most urgent. */
	readonly priority: number;
	/** Name of the organisation, else address; undefined = the callers that are too small to be listed. */
	readonly caller: string | undefined;
	/** Number of callers that the figure stands for; 1 if `caller` is given. */
	readonly callers: number;
	readonly callsPerSecond: number;
};

/** Calls of one service that ended within the last second, seen by one VM or summed over VMs. */
export type ServiceDemand = {
	readonly demand: readonly DemandFigure[];
	/** Calls per second that were not refused by the sharing itself. */
	readonly admittedPerSecond: number;
	/** Calls per second that were answered. */
	readonly servedPerSecond: number;
};

/** Smallest fraction for each priority and caller, relative to the fraction at which all calls are admitted. */
const floorFraction = 1 / 3;

/**
 * Calls admitted beyond those served, as a fraction of the latter: at most `maxHeadroom`, and less by `headroomStep` for
 * each admitted call that was not served. Without it, the capacity could never be seen to grow.
 */
const maxHeadroom = 0.4;
const minHeadroom = 0.05;
const headroomStep = 5;

/**
 * A caller is dominant if its calls exceed `dominanceFactor` times the mean of the others by more than `dominanceDeviations`
 * standard deviations. The counts are taken as Poisson-distributed, so that the standard deviation is the root of the mean.
 */
const dominanceFactor = 2;
const dominanceDeviations = 6;

/** Retry-After of calls refused for lack of capacity, before random spreading. */
const minRetryMilliseconds: Milliseconds = 100;
const maxRetryMilliseconds: Milliseconds = 5000;

/** Steps of the bisection for the level; each halves the error. */
const levelSteps = 40;

export class CapacitySharing {
	/** False if the figures give no reason to treat one call differently from another. */
	readonly isActive: boolean;
	private readonly _capacity: number;
	private readonly _floor: number;
	/** Most urgent priority that does not fit; those before it are admitted as a whole, those after it at the floor. */
	private readonly _boundary: number;
	private readonly _leastUrgent: number;
	/** Dominant callers of the boundary priority, or of the least urgent one if all fit. */
	private readonly _dominant: ReadonlySet<string>;
	/** Calls per second that each caller of the boundary priority may send. */
	private readonly _level: number;
	private readonly _figures: readonly DemandFigure[];
	/** The same by caller. */
	private readonly _figuresByCaller: ReadonlyMap<string | undefined, DemandFigure>;

	constructor({demand, admittedPerSecond, servedPerSecond}: ServiceDemand) {
		const total = sumOf(demand);
		const unservedFraction = admittedPerSecond <= 0 ? 0 : Math.max(0, 1 - (servedPerSecond / admittedPerSecond));
		this._capacity = servedPerSecond * (1 + Math.max(minHeadroom, maxHeadroom - (headroomStep * unservedFraction)));
		const priorities = [...new Set(demand.map(({priority}) => priority))].toSorted((one, other) => one - other);
		this._floor = total === 0 ? 1 : Math.min(1, this._capacity / total) * floorFraction;
		const needs = (boundary: number) => sumOf(demand.filter(({priority}) => priority <= boundary)) + (this._floor * sumOf(demand.filter(({priority}) => priority > boundary)));
		this._boundary = priorities.find(priority => needs(priority) > this._capacity) ?? Infinity;
		this._figures = demand.filter(({priority}) => priority === this._boundary);
		this._figuresByCaller = new Map(this._figures.map(figure => [figure.caller, figure]));
		this._leastUrgent = priorities.at(-1) ?? 0;
		this._dominant = dominantCallers(this._boundary === Infinity ? demand.filter(({priority}) => priority === this._leastUrgent) : this._figures);
		this.isActive = servedPerSecond > 0 && (priorities.length > 1 || this._dominant.size > 0);
		this._level = this._levelFor(this._capacity - needs(this._boundary) + sumOf(this._figures));
	}

	/** Fraction of the calls of a caller with a priority that is admitted, from 0 to 1. */
	fractionOf(priority: number, caller: string): number {
		if (!this.isActive || priority < this._boundary) {
			return 1;
		}

		if (priority > this._boundary) {
			return this._floor;
		}

		const figure = this._figuresByCaller.get(caller) ?? this._figuresByCaller.get(undefined);
		const rate = figure === undefined ? 0 : figure.callsPerSecond / figure.callers;
		return rate <= this._level ? 1 : Math.max(this._floor, this._level / rate);
	}

	/** Whether such calls are admitted as a whole, while others may have to give way to them. */
	isPreferred(priority: number, caller: string): boolean {
		const hasOthers = priority < this._leastUrgent || (this._dominant.size > 0 && !this._dominant.has(caller));
		return this.isActive && hasOthers && this.fractionOf(priority, caller) === 1;
	}

	/**
	 * Time after which a refused call of this priority can expect capacity, if the refused calls of the last second return
	 * in order of priority: the time that the service needs for those that are as urgent or more urgent.
	 */
	retryAfter(priority: number, demand: readonly DemandFigure[]): Milliseconds {
		let refused = 0;
		for (const figure of demand) {
			if (figure.priority <= priority) {
				refused += figure.callsPerSecond * (1 - this.fractionOf(figure.priority, figure.caller ?? ''));
			}
		}

		return Math.min(maxRetryMilliseconds, Math.max(minRetryMilliseconds, 1000 * refused / Math.max(1, this._capacity)));
	}

	/** The level at which the callers of the boundary priority use `available` calls per second (max-min fairness). */
	private _levelFor(available: number): number {
		let low = 0;
		let high = Math.max(0, ...this._figures.map(({callsPerSecond, callers}) => callsPerSecond / callers));
		for (let step = 0; step < levelSteps; step++) {
			const level = (low + high) / 2;
			let used = 0;
			for (const {callsPerSecond, callers} of this._figures) {
				used += Math.max(this._floor * callsPerSecond, Math.min(callsPerSecond, level * callers));
			}

			if (used > available) {
				high = level;
			} else {
				low = level;
			}
		}

		return low;
	}
}

/** Sums the figures of several VMs. */
export function mergeDemand(parts: readonly ServiceDemand[]): ServiceDemand {
	const merged = new Map<string, DemandFigure>();
	for (const figure of parts.flatMap(({demand}) => demand)) {
		const key = JSON.stringify([figure.priority, figure.caller]);
		const known = merged.get(key);
		merged.set(key, known === undefined
			? figure
			: {
				...figure, callers: Math.max(known.callers, figure.callers), callsPerSecond: known.callsPerSecond + figure.callsPerSecond,
			});
	}

	return {
		demand: [...merged.values()],
		admittedPerSecond: parts.reduce((sum, {admittedPerSecond}) => sum + admittedPerSecond, 0),
		servedPerSecond: parts.reduce((sum, {servedPerSecond}) => sum + servedPerSecond, 0),
	};
}

function sumOf(figures: readonly DemandFigure[]): number {
	return figures.reduce((sum, {callsPerSecond}) => sum + callsPerSecond, 0);
}

function dominantCallers(figures: readonly DemandFigure[]): Set<string> {
	const callers = figures.reduce((sum, figure) => sum + figure.callers, 0);
	const total = sumOf(figures);
	return new Set(callers < 2
		? []
		: figures.flatMap(({caller, callsPerSecond}) => {
			const others = (total - callsPerSecond) / (callers - 1);
			return caller !== undefined && callsPerSecond > (dominanceFactor * others) + (dominanceDeviations * Math.sqrt(others)) ? [caller] : [];
		}));
}
