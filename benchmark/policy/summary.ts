/** Summarises the runs of several seeds and checks them against the goals of the benchmark. */
import {baselineNames} from './policies.ts';
import {type RunFigures} from './types.ts';

type FigureName = Exclude<keyof RunFigures, 'scenario' | 'policy' | 'seed'>;

/** Median, minimum and maximum over the seeds. */
export type Spread = {readonly median: number; readonly least: number; readonly most: number};

/** Summary of one policy in one scenario. */
export type Summary = {readonly scenario: string; readonly policy: string; readonly seeds: number; readonly figures: Readonly<Record<FigureName, Spread>>};

/** Returns one summary for each pair of scenario and policy. */
export function summarise(runs: readonly RunFigures[]): Summary[] {
	const groups = groupBy(runs, run => `${run.scenario}\n${run.policy}`);
	return Array.from(groups.values(), group => ({
		scenario: group[0]!.scenario,
		policy: group[0]!.policy,
		seeds: group.length,
		figures: spreadsOf(group),
	}));
}

/** Replacement for `Map.groupBy`, which Node 20 lacks. */
function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key) ?? [];
		group.push(item);
		groups.set(key, group);
	}

	return groups;
}

function spreadsOf(group: readonly RunFigures[]): Record<FigureName, Spread> {
	const spreadOf = (figure: FigureName): Spread => spread(group.map(run => run[figure]));
	return {
		calls: spreadOf('calls'),
		p50: spreadOf('p50'),
		p99: spreadOf('p99'),
		p999: spreadOf('p999'),
		floorP99: spreadOf('floorP99'),
		shortP99: spreadOf('shortP99'),
		goodP99: spreadOf('goodP99'),
		goodput: spreadOf('goodput'),
		goodPart: spreadOf('goodPart'),
		refusedPart: spreadOf('refusedPart'),
		promptRefusals: spreadOf('promptRefusals'),
		refusalP99: spreadOf('refusalP99'),
		wastedWork: spreadOf('wastedWork'),
		measuringRate: spreadOf('measuringRate'),
		measuringPeak: spreadOf('measuringPeak'),
		worstShare: spreadOf('worstShare'),
		updateRate: spreadOf('updateRate'),
		lightGoodPart: spreadOf('lightGoodPart'),
		microsecondsPerCall: spreadOf('microsecondsPerCall'),
	};
}

function spread(values: number[]): Spread {
	const sorted = values.toSorted((a, b) => a - b);
	return {median: sorted[Math.floor(sorted.length / 2)]!, least: sorted[0]!, most: sorted.at(-1)!};
}

type Column = {readonly title: string; readonly figure: FigureName; readonly digits: number; readonly isPercent?: boolean; readonly hasSpread?: boolean};

const columns: readonly Column[] = [
	{title: 'p50 ms', figure: 'p50', digits: 1},
	{
		title: 'p99 ms (spread)', figure: 'p99', digits: 1, hasSpread: true,
	},
	{title: 'p99.9', figure: 'p999', digits: 1},
	{title: 'floor p99', figure: 'floorP99', digits: 1},
	{title: 'short p99', figure: 'shortP99', digits: 1},
	{title: 'good p99', figure: 'goodP99', digits: 1},
	{
		title: 'goodput %', figure: 'goodput', digits: 1, isPercent: true,
	},
	{
		title: 'good %', figure: 'goodPart', digits: 2, isPercent: true,
	},
	{
		title: 'refused %', figure: 'refusedPart', digits: 1, isPercent: true,
	},
	{
		title: 'prompt refusals %', figure: 'promptRefusals', digits: 1, isPercent: true,
	},
	{
		title: 'wasted %', figure: 'wastedWork', digits: 2, isPercent: true,
	},
	{title: 'probes/s', figure: 'measuringRate', digits: 2},
	{
		title: 'probe peak %', figure: 'measuringPeak', digits: 0, isPercent: true,
	},
	{title: 'max/mean calls', figure: 'worstShare', digits: 2},
	{title: 'updates/s', figure: 'updateRate', digits: 0},
	{
		title: 'light good %', figure: 'lightGoodPart', digits: 1, isPercent: true,
	},
	{title: 'µs/call', figure: 'microsecondsPerCall', digits: 0},
];

/** Renders the summaries as a text table. */
export function renderTable(summaries: readonly Summary[]): string {
	const rows = [['scenario', 'policy', ...columns.map(column => column.title)]];
	for (const summary of summaries) {
		rows.push([summary.scenario, summary.policy, ...columns.map(column => cell(summary, column))]);
	}

	const widths = rows[0]!.map((_, index) => Math.max(...rows.map(row => row[index]!.length)));
	return rows.map(row => row.map((text, index) => index < 2 ? text.padEnd(widths[index]!) : text.padStart(widths[index]!)).join('  ')).join('\n') + '\n\n';
}

function cell(summary: Summary, column: Column): string {
	const {median, least, most} = summary.figures[column.figure];
	const scale = column.isPercent ? 100 : 1;
	const text = (value: number): string => (value * scale).toFixed(column.digits);
	return column.hasSpread ? `${text(median)} (${text(least)}-${text(most)})` : text(median);
}

/** Scenarios in which the goal is a p99 of at most half of the best baseline's. */
const halfTailScenarios = new Set(['slow', 'fail-fast', 'fail-fast-orders', 'swinging', 'misleading']);

/** Minimum goodput at a load of twice the capacity, as a fraction of the capacity. */
const goodputGoal = 0.95;

/** Minimum fraction of refusals that are decided within 1 ms of the call's arrival. */
const promptRefusalGoal = 0.99;

/** Maximum load probe rate at tail weight 0, as a fraction of the rate at weight 1. */
const probeRatioGoal = 0.1;

function checkOverload(scenario: string, jaydale: Summary): string[] {
	if (scenario !== 'load-2') {
		return [];
	}

	const goodput = jaydale.figures.goodput.median;
	const prompt = jaydale.figures.promptRefusals.median;
	return [
		`${goodput >= goodputGoal ? 'met   ' : 'MISSED'} ${scenario}: goodput ${(100 * goodput).toFixed(1)}% of capacity (goal ${100 * goodputGoal}%)`,
		`${prompt >= promptRefusalGoal ? 'met   ' : 'MISSED'} ${scenario}: ${(100 * prompt).toFixed(2)}% of refusals within 1 ms of arrival`,
	];
}

function checkMeasuring(scenario: string, rows: readonly Summary[]): string[] {
	const jaydale = rows.find(row => row.policy === 'jaydale');
	const weightZero = rows.find(row => row.policy === 'jaydale-cometa');
	if (jaydale === undefined || weightZero === undefined || jaydale.figures.measuringRate.median < 5) {
		return [];
	}

	const [jaydaleRate, zeroRate] = [jaydale.figures.measuringRate.median, weightZero.figures.measuringRate.median];
	const tailRatio = weightZero.figures.p99.median / jaydale.figures.p99.median;
	const verdict = zeroRate <= probeRatioGoal * jaydaleRate ? 'met   ' : 'MISSED';
	return [
		`${verdict} ${scenario}: weight 0 sends ${(100 * zeroRate / jaydaleRate).toFixed(0)}% of the load probes of weight 1 (goal ${100 * probeRatioGoal}%), at ${tailRatio.toFixed(2)} of its p99`,
	];
}

function checkPeak(scenario: string, peak: number): string[] {
	return peak > 1 ? [`MISSED ${scenario}: load probe peak ${(100 * peak).toFixed(0)}% of the budget`] : [];
}

/** Returns one line for each goal, with the measured value and whether the goal is met. */
export function checkGoals(summaries: readonly Summary[]): string {
	const lines: string[] = [];
	for (const [scenario, rows] of groupBy(summaries, summary => summary.scenario)) {
		const jaydale = rows.find(row => row.policy === 'jaydale');
		const bestBaseline = rows.filter(row => baselineNames.has(row.policy)).toSorted((a, b) => a.figures.p99.median - b.figures.p99.median)[0];
		if (jaydale === undefined || bestBaseline === undefined) {
			continue;
		}

		const ratio = jaydale.figures.p99.median / bestBaseline.figures.p99.median;
		const goal = halfTailScenarios.has(scenario) ? 0.5 : 1;
		const verdict = ratio <= goal ? 'met   ' : 'MISSED';
		const [jaydaleTail, bestTail] = [jaydale.figures.p99.median.toFixed(1), bestBaseline.figures.p99.median.toFixed(1)];
		const floor = jaydale.figures.floorP99.median.toFixed(1);
		const peak = Math.max(...rows.map(row => row.figures.measuringPeak.most));
		lines.push(
			`${verdict} ${scenario}: p99 ${jaydaleTail} ms is ${ratio.toFixed(2)} of ${bestBaseline.policy}'s ${bestTail} ms (goal ${goal}; floor ${floor} ms)`,
			...checkOverload(scenario, jaydale),
			...checkMeasuring(scenario, rows),
			...checkPeak(scenario, peak),
		);
	}

	return `${lines.join('\n')}\n`;
}
