/** Counts the calls of one service on this VM that ended within the last second, by priority and caller. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type DemandFigure, type ServiceDemand} from './capacity-sharing.ts';

/** How a call ended: answered, not answered for lack of capacity, or refused by the sharing of capacity. */
export type DemandResult = 'served' | 'unserved' | 'withheld';

/** Length of the window, and the number of intervals by which it moves. */
const windowMilliseconds: Milliseconds = 1000;
const intervals = 10;

/** Callers by priority counted separately in one interval. Addresses are not bounded, so memory must not grow with them. */
const maxFigures = 256;

type Interval = {
	readonly number: number;
	readonly counts: Map<string, {readonly priority: number; readonly caller: string; calls: number}>;
	/** Calls of callers beyond the maximum, by priority. */
	readonly others: Map<number, number>;
	admitted: number;
	served: number;
};

export class DemandMeter {
	private readonly _intervals: Interval[] = [];

	record(priority: number, caller: string, result: DemandResult, now: Instant): void {
		const number = intervalAt(now);
		let interval = this._intervals.at(-1);
		if (interval?.number !== number) {
			interval = {
				number, counts: new Map(), others: new Map(), admitted: 0, served: 0,
			};
			this._intervals.push(interval);
			this._dropOld(now);
		}

		interval.admitted += result === 'withheld' ? 0 : 1;
		interval.served += result === 'served' ? 1 : 0;
		const key = `${priority} ${caller}`;
		const count = interval.counts.get(key);
		if (count !== undefined) {
			count.calls++;
		} else if (interval.counts.size < maxFigures) {
			interval.counts.set(key, {priority, caller, calls: 1});
		} else {
			interval.others.set(priority, (interval.others.get(priority) ?? 0) + 1);
		}
	}

	/** The figures of the last second: the `limit` largest ones by name, the others summed by priority. */
	figures(limit: number, now: Instant): ServiceDemand {
		this._dropOld(now);
		const named = new Map<string, {priority: number; caller: string; calls: number}>();
		const others = new Map<number, {callers: number; calls: number}>();
		const addOthers = (priority: number, callers: number, calls: number) => {
			const known = others.get(priority) ?? {callers: 0, calls: 0};
			others.set(priority, {callers: known.callers + callers, calls: known.calls + calls});
		};

		for (const interval of this._intervals) {
			for (const [key, count] of interval.counts) {
				named.set(key, {...count, calls: count.calls + (named.get(key)?.calls ?? 0)});
			}

			// Callers beyond the maximum are assumed to send as much as the counted ones, so that none of those looks dominant.
			const callsPerCaller = sum(interval.counts.values(), ({calls}) => calls) / Math.max(1, interval.counts.size);
			for (const [priority, calls] of interval.others) {
				addOthers(priority, calls / callsPerCaller, calls);
			}
		}

		const sorted = [...named.values()].toSorted((one, other) => other.calls - one.calls);
		for (const {priority, calls} of sorted.splice(limit)) {
			addOthers(priority, 1, calls);
		}

		const perSecond = 1000 / windowMilliseconds;
		const demand: DemandFigure[] = [
			...sorted.map(({priority, caller, calls}) => ({
				priority, caller, callers: 1, callsPerSecond: calls * perSecond,
			})),
			...Array.from(others, ([priority, {callers, calls}]) => ({
				priority, caller: undefined, callers, callsPerSecond: calls * perSecond,
			})),
		];
		return {demand, admittedPerSecond: sum(this._intervals, ({admitted}) => admitted) * perSecond, servedPerSecond: sum(this._intervals, ({served}) => served) * perSecond};
	}

	private _dropOld(now: Instant): void {
		const oldest = intervalAt(now) - intervals;
		while ((this._intervals[0]?.number ?? Infinity) <= oldest) {
			this._intervals.shift();
		}
	}
}

function intervalAt(now: Instant): number {
	return Math.floor(now * intervals / windowMilliseconds);
}

function sum<Item>(items: Iterable<Item>, value: (item: Item) => number): number {
	let total = 0;
	for (const item of items) {
		total += value(item);
	}

	return total;
}
