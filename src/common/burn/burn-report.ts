/** Merges the counts of all processes into the burn report over all VMs. */
import {type BackendServer, type Service} from '../model/resources.ts';
import {burnWindows, type BurnWindow} from './burn-windows.ts';
import {
	type BurnReport, type BurnVerdict, type BurnWindowName, type ProcessCounts, type ServiceBuckets, type ServiceBurn, type WindowBurn, type WindowCounts,
} from './types.ts';

/**
 * Burn rates above which an operator should act, from chapter 5 of Google's SRE workbook: a rate of 14.4 spends 2 % of a
 * 30-day budget in one hour, a rate of 6 spends 5 % in six hours. Each rate must be exceeded over a short window too, so that
 * the verdict ends soon after its cause.
 */
const fastBurnRate = 14.4;
const slowBurnRate = 6;
const longestWindow = burnWindows.at(-1)!;

/** One day. Histories shorter than this are assessed by the shorter windows alone. */
const minCoveredMilliseconds = 86_400_000;

/** Input of the burn report. */
export type BurnInput = {
	readonly services: readonly Service[];
	readonly backendServers: readonly BackendServer[];
	/** Counts sent by the processes themselves. */
	readonly reported: readonly ProcessCounts[];
	/** Copies of processes' counts. Of all copies and the process's own counts, only the newest are used. */
	readonly copies: readonly ProcessCounts[];
	/** Addresses of the VMs that sent their counts, and of those that did not answer. */
	readonly vmsCounted: readonly string[];
	readonly vmsMissing: readonly string[];
};

/** Builds the report. Counts of different processes are added, as each call is counted by exactly one process. */
export function makeBurnReport(input: BurnInput): BurnReport {
	const newest = newestOfEach(input);
	const reported = new Set(input.reported.map(counts => counts.identity));
	return {
		services: input.services.map(service => serviceBurn(service, input.backendServers, newest)),
		vmsCounted: [...input.vmsCounted],
		vmsMissing: [...input.vmsMissing],
		copiesCounted: newest.filter(counts => !reported.has(counts.identity)).length,
	};
}

/**
 * Returns the newest counts of each process. A process that sent its own counts and also has a copy on another VM would
 * otherwise be counted twice.
 */
function newestOfEach(input: BurnInput): ProcessCounts[] {
	const newest = new Map<string, ProcessCounts>();
	for (const counts of [...input.copies, ...input.reported]) {
		const known = newest.get(counts.identity);
		if (known === undefined || counts.ageMilliseconds <= known.ageMilliseconds) {
			newest.set(counts.identity, counts);
		}
	}

	return [...newest.values()];
}

function serviceBurn(service: Service, backendServers: readonly BackendServer[], processes: readonly ProcessCounts[]): ServiceBurn {
	const windows = burnWindows.map(window => windowBurn(window, service, processes));
	const servers = backendServers.filter(server => server.service === service.name).length;
	return {
		service: service.name,
		objective: {...service.objective},
		windows,
		budgetLeft: budgetLeft(longestWindow, windows.at(-1)),
		verdict: verdictOf(windows),
		measuring: {
			spent: sum(processes.flatMap(counts => bucketsOf(counts, service.name).map(serviceBuckets => serviceBuckets.measuringSpent))),
			allowed: service.measuring.callsPerWindow * servers,
		},
	};
}

function windowBurn(window: BurnWindow, service: Service, processes: readonly ProcessCounts[]): WindowBurn {
	const parts = processes.flatMap(counts => bucketsOf(counts, service.name).map(serviceBuckets => countsIn(window, serviceBuckets, counts.ageMilliseconds)));
	const counts: WindowCounts = {
		window: window.name,
		good: sum(parts.map(part => part.good)),
		bad: sum(parts.map(part => part.bad)),
		coveredMilliseconds: Math.max(0, ...parts.map(part => part.coveredMilliseconds)),
	};
	return {...counts, burnRate: burnRate(counts, service.objective.successShare)};
}

function bucketsOf(counts: ProcessCounts, service: string): ServiceBuckets[] {
	return counts.services.filter(serviceBuckets => serviceBuckets.service === service);
}

/** Sums the buckets that are still inside the window, after adding the time since the process exported its counts. */
function countsIn(window: BurnWindow, serviceBuckets: ServiceBuckets, ageMilliseconds: number): WindowCounts {
	const buckets = serviceBuckets.windows.find(item => item.window === window.name)?.buckets ?? [];
	const inside = buckets.filter(([age]) => (age * window.bucketMilliseconds) + ageMilliseconds <= window.milliseconds);
	return {
		window: window.name,
		good: sum(inside.map(bucket => bucket[1])),
		bad: sum(inside.map(bucket => bucket[2])),
		coveredMilliseconds: Math.min(window.milliseconds, serviceBuckets.coveredMilliseconds + ageMilliseconds),
	};
}

function burnRate({good, bad}: WindowCounts, successShare: number): number | null {
	const calls = good + bad;
	if (calls === 0) {
		return null;
	}

	if (bad === 0) {
		return 0;
	}

	const allowedShare = 1 - successShare;
	return allowedShare <= 0 ? null : bad / calls / allowedShare;
}

/**
 * A rate of 1 over the whole window spends its budget. Where less of the window is known, the rate is
 * taken for the known part only: one bad call among the first hundred must not look like a month's.
 */
function budgetLeft(window: BurnWindow, burn: WindowBurn | undefined): number | null {
	return burn === undefined || burn.burnRate === null ? null : 1 - (burn.burnRate * burn.coveredMilliseconds / window.milliseconds);
}

function verdictOf(windows: readonly WindowBurn[]): BurnVerdict {
	if (windows.every(window => window.good + window.bad === 0)) {
		return 'no-calls';
	}

	if (isBurning(windows, ['5m', '1h'], fastBurnRate)) {
		return 'fast-burn';
	}

	return isBurning(windows, ['1h', '6h'], slowBurnRate) || exceedsBudget(windows.at(-1)!) ? 'slow-burn' : 'within-objective';
}

/** True if the burn rate of the longest window exceeds 1 and at least a day of it is covered: a few bad calls after a start say little about a month. */
function exceedsBudget(longest: WindowBurn): boolean {
	return longest.coveredMilliseconds >= minCoveredMilliseconds && isBurning([longest], [longest.window], 1);
}

/** Where the objective allows no bad call, the rate is null and any bad call counts as burning. */
function isBurning(windows: readonly WindowBurn[], names: readonly BurnWindowName[], rate: number): boolean {
	return names.every(name => {
		const window = windows.find(item => item.window === name);
		return window !== undefined && (window.burnRate === null ? window.bad > 0 : window.burnRate > rate);
	});
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
