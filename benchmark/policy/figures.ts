/** Computes the figures of a run from the records of its calls. */
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {type ModelServer} from './model-server.ts';
import {
	type CallRecord, type RunFigures, type Scenario, localLatencyMilliseconds, loadProbeBudget,
} from './types.ts';

/** Raw results of one run. Calls that arrive before `countedFrom` are not counted. */
export type RunRecords = {
	readonly scenario: Scenario;
	readonly policy: string;
	readonly seed: number;
	readonly records: readonly CallRecord[];
	readonly countedFrom: Instant;
	readonly servers: ReadonlyArray<{readonly service: string; readonly server: ModelServer; readonly loadProbesAt: readonly Instant[]}>;
	readonly wastedMilliseconds: Milliseconds;
	readonly updateCount: number;
	readonly microseconds: number;
};

/** Maximum time from a call's arrival to a refusal that counts as prompt. */
const promptRefusalMilliseconds: Milliseconds = 1;

export function figuresOf(run: RunRecords): RunFigures {
	const counted = run.records.filter(record => record.planned.at >= run.countedFrom);
	const good = counted.filter(record => record.isGood);
	const goodLatencies = sorted(good.map(record => record.endedAt! - record.planned.at));
	const shortPath = run.scenario.kinds.toSorted((a, b) => a.work - b.work)[0]!.path;
	const latencyOf = (record: CallRecord): number => record.isGood ? record.endedAt! - record.planned.at : record.planned.timeout;
	const allLatencies = sorted(counted.map(latencyOf));
	const latencies = run.scenario.isOverloaded ? goodLatencies : allLatencies;
	const refused = counted.filter(record => record.isRefused);
	const refusalLatencies = sorted(refused.map(record => record.endedAt! - record.planned.at));
	const seconds = run.scenario.milliseconds / 1000;
	const slotTime = [...new Set(run.servers.map(({server}) => server))].reduce((sum, server) => sum + server.slotTime, 0);
	const slots = [...new Set(run.servers.map(({server}) => server))].reduce((sum, server) => sum + server.slots, 0);
	const goodWork = good.reduce((sum, record) => sum + record.planned.work, 0);
	const loadProbeCount = run.servers.reduce((sum, {loadProbesAt}) => sum + loadProbesAt.filter(at => at < run.scenario.milliseconds).length, 0);
	const mostImportantService = run.scenario.services.toSorted((a, b) => (b.priority ?? 0) - (a.priority ?? 0))[0]!.name;
	const lightCalls = counted.filter(record => record.planned.caller !== 'heavy' && record.planned.service === mostImportantService);
	return {
		scenario: run.scenario.name,
		policy: run.policy,
		seed: run.seed,
		calls: counted.length,
		p50: quantile(latencies, 0.5),
		p99: quantile(latencies, 0.99),
		p999: quantile(latencies, 0.999),
		floorP99: quantile(sorted(counted.map(record => record.planned.work + (2 * localLatencyMilliseconds))), 0.99),
		shortP99: quantile(sorted(counted.filter(record => record.planned.path === shortPath).map(latencyOf)), 0.99),
		goodP99: quantile(goodLatencies, 0.99),
		goodput: goodWork / (slots * (run.scenario.milliseconds - run.countedFrom)),
		goodPart: good.length / counted.length,
		refusedPart: refused.length / counted.length,
		promptRefusals: refused.length === 0 ? 1 : refusalLatencies.filter(time => time <= promptRefusalMilliseconds).length / refused.length,
		refusalP99: quantile(refusalLatencies, 0.99),
		wastedWork: slotTime === 0 ? 0 : run.wastedMilliseconds / slotTime,
		measuringRate: loadProbeCount / run.servers.length / seconds,
		measuringPeak: Math.max(...run.servers.map(({loadProbesAt}) => maxCountInWindow(loadProbesAt))) / loadProbeBudget.callsPerWindow,
		worstShare: busiestServerRatio(run),
		updateRate: run.updateCount / seconds,
		lightGoodPart: lightCalls.filter(record => record.isGood).length / lightCalls.length,
		microsecondsPerCall: run.microseconds / run.records.length,
	};
}

/** Largest number of calls at one backend server, divided by the mean of its service. */
function busiestServerRatio(run: RunRecords): number {
	let maxRatio = 0;
	for (const name of new Set(run.servers.map(({service}) => service))) {
		const arrivals = run.servers.filter(({service}) => service === name).map(({server}) => server.arrivals);
		const mean = arrivals.reduce((sum, count) => sum + count, 0) / arrivals.length;
		maxRatio = Math.max(maxRatio, Math.max(...arrivals) / Math.max(1, mean));
	}

	return maxRatio;
}

/** Maximum number of instants within one window; both ends of the window are inclusive. */
export function maxCountInWindow(instants: readonly Instant[], window: Milliseconds = loadProbeBudget.windowMilliseconds): number {
	let maxCount = 0;
	let first = 0;
	for (let last = 0; last < instants.length; last++) {
		while (instants[last]! - instants[first]! > window) {
			first++;
		}

		maxCount = Math.max(maxCount, last - first + 1);
	}

	return maxCount;
}

function sorted(values: number[]): number[] {
	return values.toSorted((a, b) => a - b);
}

/** Quantile of a sorted list; 0 if the list is empty. */
export function quantile(values: readonly number[], fraction: number): number {
	return values[Math.min(values.length - 1, Math.floor(values.length * fraction))] ?? 0;
}
