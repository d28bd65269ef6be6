/** Turns the records of a run into its figures. */
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {type ModelServer} from './model-server.ts';
import {
	type CallRecord, type RunFigures, type Scenario, localLatency, measuringBudget,
} from './types.ts';

/** What a run leaves behind. */
export type RunRecords = {
	readonly scenario: Scenario;
	readonly policy: string;
	readonly seed: number;
	readonly records: readonly CallRecord[];
	readonly from: Instant;
	readonly servers: ReadonlyArray<{readonly service: string; readonly server: ModelServer; readonly measuredAt: readonly Instant[]}>;
	readonly waste: Milliseconds;
	readonly updateCount: number;
	readonly microseconds: number;
};

/** A refusal later than this after its call's arrival counts as late. */
const promptRefusal: Milliseconds = 1;

/** The figures of one run. */
export function figuresOf(run: RunRecords): RunFigures {
	const counted = run.records.filter(record => record.planned.at >= run.from);
	const good = counted.filter(record => record.isGood);
	const goodTimes = sorted(good.map(record => record.endedAt! - record.planned.at));
	const short = run.scenario.kinds.toSorted((a, b) => a.work - b.work)[0]!.path;
	const timeOf = (record: CallRecord): number => record.isGood ? record.endedAt! - record.planned.at : record.planned.timeout;
	const allTimes = sorted(counted.map(timeOf));
	const times = run.scenario.isOverloaded ? goodTimes : allTimes;
	const refused = counted.filter(record => record.isRefused);
	const refusalTimes = sorted(refused.map(record => record.endedAt! - record.planned.at));
	const seconds = run.scenario.milliseconds / 1000;
	const slotTime = [...new Set(run.servers.map(({server}) => server))].reduce((sum, server) => sum + server.slotTime, 0);
	const slots = [...new Set(run.servers.map(({server}) => server))].reduce((sum, server) => sum + server.slots, 0);
	const goodWork = good.reduce((sum, record) => sum + record.planned.work, 0);
	const measured = run.servers.reduce((sum, {measuredAt}) => sum + measuredAt.filter(at => at < run.scenario.milliseconds).length, 0);
	const first = run.scenario.services.toSorted((a, b) => (b.priority ?? 0) - (a.priority ?? 0))[0]!.name;
	const light = counted.filter(record => record.planned.caller !== 'heavy' && record.planned.service === first);
	return {
		scenario: run.scenario.name,
		policy: run.policy,
		seed: run.seed,
		calls: counted.length,
		p50: quantile(times, 0.5),
		p99: quantile(times, 0.99),
		p999: quantile(times, 0.999),
		floorP99: quantile(sorted(counted.map(record => record.planned.work + (2 * localLatency))), 0.99),
		shortP99: quantile(sorted(counted.filter(record => record.planned.path === short).map(timeOf)), 0.99),
		goodP99: quantile(goodTimes, 0.99),
		goodput: goodWork / (slots * (run.scenario.milliseconds - run.from)),
		goodPart: good.length / counted.length,
		refusedPart: refused.length / counted.length,
		promptRefusals: refused.length === 0 ? 1 : refusalTimes.filter(time => time <= promptRefusal).length / refused.length,
		refusalP99: quantile(refusalTimes, 0.99),
		wastedWork: slotTime === 0 ? 0 : run.waste / slotTime,
		measuringRate: measured / run.servers.length / seconds,
		measuringPeak: Math.max(...run.servers.map(({measuredAt}) => mostInWindow(measuredAt))) / measuringBudget.callsPerWindow,
		worstShare: worstShare(run),
		updateRate: run.updateCount / seconds,
		lightGoodPart: light.filter(record => record.isGood).length / light.length,
		microsecondsPerCall: run.microseconds / run.records.length,
	};
}

/** The highest count of calls at one backend server over its service's mean. */
function worstShare(run: RunRecords): number {
	let worst = 0;
	for (const name of new Set(run.servers.map(({service}) => service))) {
		const arrivals = run.servers.filter(({service}) => service === name).map(({server}) => server.arrivals);
		const mean = arrivals.reduce((sum, count) => sum + count, 0) / arrivals.length;
		worst = Math.max(worst, Math.max(...arrivals) / Math.max(1, mean));
	}

	return worst;
}

/** Most instants in any window, both of its ends included. */
export function mostInWindow(instants: readonly Instant[], window: Milliseconds = measuringBudget.windowMilliseconds): number {
	let most = 0;
	let first = 0;
	for (let last = 0; last < instants.length; last++) {
		while (instants[last]! - instants[first]! > window) {
			first++;
		}

		most = Math.max(most, last - first + 1);
	}

	return most;
}

function sorted(values: number[]): number[] {
	return values.toSorted((a, b) => a - b);
}

/** The value below which the part lies; 0 of an empty list. */
export function quantile(values: readonly number[], part: number): number {
	return values[Math.min(values.length - 1, Math.floor(values.length * part))] ?? 0;
}
