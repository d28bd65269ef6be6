/** Several seeds of one scenario and policy as one row: the median and the spread. */
import {baselineNames} from './policies.ts';
import {type RunFigures} from './types.ts';

type Figure = Exclude<keyof RunFigures, 'scenario' | 'policy' | 'seed'>;

/** Median, least and most over the seeds. */
export type Spread = {readonly median: number; readonly least: number; readonly most: number};

/** One row. */
export type Summary = {readonly scenario: string; readonly policy: string; readonly seeds: number; readonly figures: Readonly<Record<Figure, Spread>>};

/** One row for each scenario and policy. */
export function summarise(runs: readonly RunFigures[]): Summary[] {
	const groups = groupBy(runs, run => `${run.scenario}\n${run.policy}`);
	return Array.from(groups.values(), group => ({
		scenario: group[0]!.scenario,
		policy: group[0]!.policy,
		seeds: group.length,
		figures: spreadsOf(group),
	}));
}

/** Node 20 has no `Map.groupBy`. */
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

function spreadsOf(group: readonly RunFigures[]): Record<Figure, Spread> {
	const of = (figure: Figure): Spread => spread(group.map(run => run[figure]));
	return {
		calls: of('calls'),
		p50: of('p50'),
		p99: of('p99'),
		p999: of('p999'),
		floorP99: of('floorP99'),
		shortP99: of('shortP99'),
		goodP99: of('goodP99'),
		goodput: of('goodput'),
		goodPart: of('goodPart'),
		refusedPart: of('refusedPart'),
		promptRefusals: of('promptRefusals'),
		refusalP99: of('refusalP99'),
		wastedWork: of('wastedWork'),
		measuringRate: of('measuringRate'),
		measuringPeak: of('measuringPeak'),
		worstShare: of('worstShare'),
		updateRate: of('updateRate'),
		lightGoodPart: of('lightGoodPart'),
		microsecondsPerCall: of('microsecondsPerCall'),
	};
}

function spread(values: number[]): Spread {
	const sorted = values.toSorted((a, b) => a - b);
	return {median: sorted[Math.floor(sorted.length / 2)]!, least: sorted[0]!, most: sorted.at(-1)!};
}

type Column = {readonly title: string; readonly figure: Figure; readonly digits: number; readonly isPercent?: boolean; readonly hasSpread?: boolean};

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
		title: 'prompt %', figure: 'promptRefusals', digits: 1, isPercent: true,
	},
	{
		title: 'wasted %', figure: 'wastedWork', digits: 2, isPercent: true,
	},
	{title: 'meas/s', figure: 'measuringRate', digits: 2},
	{
		title: 'peak %', figure: 'measuringPeak', digits: 0, isPercent: true,
	},
	{title: 'worst', figure: 'worstShare', digits: 2},
	{title: 'updates/s', figure: 'updateRate', digits: 0},
	{
		title: 'light %', figure: 'lightGoodPart', digits: 1, isPercent: true,
	},
	{title: 'µs/call', figure: 'microsecondsPerCall', digits: 0},
];

/** A table for people. */
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

/** Scenarios in which the tail may be at most half of the best baseline's. */
const halvedScenarios = new Set(['slow', 'fail-fast', 'fail-fast-orders', 'swinging', 'misleading']);

/** Part of capacity that goodput may not fall below at twice the load. */
const goodputGoal = 0.95;

/** Part of refusals that must come within a millisecond of when they could be known. */
const promptGoal = 0.99;

/** Part of the larger setting's measuring calls that the smaller one may spend. */
const thriftGoal = 0.1;

function checkOverload(scenario: string, own: Summary): string[] {
	if (scenario !== 'load-2') {
		return [];
	}

	const goodput = own.figures.goodput.median;
	const prompt = own.figures.promptRefusals.median;
	return [
		`${goodput >= goodputGoal ? 'met   ' : 'MISSED'} ${scenario}: goodput ${(100 * goodput).toFixed(1)}% of capacity (goal ${100 * goodputGoal}%)`,
		`${prompt >= promptGoal ? 'met   ' : 'MISSED'} ${scenario}: ${(100 * prompt).toFixed(2)}% of refusals within 1 ms of arrival`,
	];
}

function checkMeasuring(scenario: string, rows: readonly Summary[]): string[] {
	const own = rows.find(row => row.policy === 'jaydale');
	const thrifty = rows.find(row => row.policy === 'jaydale-cometa');
	if (own === undefined || thrifty === undefined || own.figures.measuringRate.median < 5) {
		return [];
	}

	const [spent, saved] = [own.figures.measuringRate.median, thrifty.figures.measuringRate.median];
	const cost = thrifty.figures.p99.median / own.figures.p99.median;
	const verdict = saved <= thriftGoal * spent ? 'met   ' : 'MISSED';
	return [`${verdict} ${scenario}: weight 0 measures ${(100 * saved / spent).toFixed(0)}% of weight 1 (goal ${100 * thriftGoal}%), at ${cost.toFixed(2)} of its p99`];
}

function checkPeak(scenario: string, peak: number): string[] {
	return peak > 1 ? [`MISSED ${scenario}: measuring peak ${(100 * peak).toFixed(0)}% of the budget`] : [];
}

/** The goals and by how much each is met or missed. */
export function checkGoals(summaries: readonly Summary[]): string {
	const lines: string[] = [];
	for (const [scenario, rows] of groupBy(summaries, summary => summary.scenario)) {
		const own = rows.find(row => row.policy === 'jaydale');
		const best = rows.filter(row => baselineNames.has(row.policy)).toSorted((a, b) => a.figures.p99.median - b.figures.p99.median)[0];
		if (own === undefined || best === undefined) {
			continue;
		}

		const ratio = own.figures.p99.median / best.figures.p99.median;
		const goal = halvedScenarios.has(scenario) ? 0.5 : 1;
		const verdict = ratio <= goal ? 'met   ' : 'MISSED';
		const [ownTail, bestTail] = [own.figures.p99.median.toFixed(1), best.figures.p99.median.toFixed(1)];
		const floor = own.figures.floorP99.median.toFixed(1);
		const peak = Math.max(...rows.map(row => row.figures.measuringPeak.most));
		lines.push(
			`${verdict} ${scenario}: p99 ${ownTail} ms is ${ratio.toFixed(2)} of ${best.policy}'s ${bestTail} ms (goal ${goal}; floor ${floor} ms)`,
			...checkOverload(scenario, own),
			...checkMeasuring(scenario, rows),
			...checkPeak(scenario, peak),
		);
	}

	return `${lines.join('\n')}\n`;
}
