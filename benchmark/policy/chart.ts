/** SVG chart of tail latency against the rate of load probes, with one line for each scenario without reports on answers. */
import {type Summary} from './summary.ts';

const width = 760;
const height = 440;
const margin = 60;

/** Scenarios in which load probes matter, because answers carry no reports. */
const chartedScenarios = ['neighbours', 'neighbours-orders', 'swinging-silent'];
const colours = ['#1b6ca8', '#b3412e', '#3c7d3c'];

/** Policies along each line, by increasing tail weight. */
const linePolicies = ['jaydale-cometa', 'weight-0.25', 'weight-0.5', 'weight-0.75', 'jaydale'];
const pointPolicy = 'two-choices-measured';

type Point = {readonly cost: number; readonly tail: number; readonly minTail: number; readonly maxTail: number; readonly label: string};

export function renderChart(summaries: readonly Summary[]): string {
	const points = (scenario: string, names: readonly string[]): Point[] => names
		.map(name => summaries.find(summary => summary.scenario === scenario && summary.policy === name))
		.filter(summary => summary !== undefined)
		.map(({policy, figures}) => ({
			cost: figures.measuringRate.median, tail: figures.p99.median, minTail: figures.p99.least, maxTail: figures.p99.most, label: policy,
		}));
	const lines = chartedScenarios.map(scenario => ({scenario, line: points(scenario, linePolicies), baseline: points(scenario, [pointPolicy])}));
	const all = lines.flatMap(({line, baseline}) => [...line, ...baseline]);
	const maxCost = Math.max(1, ...all.map(point => point.cost));
	const maxTail = Math.max(1, ...all.map(point => point.maxTail));
	const x = (cost: number): number => margin + (cost / maxCost * (width - (2 * margin)));
	const y = (tail: number): number => height - margin - (tail / maxTail * (height - (2 * margin)));
	const parts = lines.map(({scenario, line, baseline}, index) => renderLine({
		scenario, line, baseline, colour: colours[index]!, row: index, x, y,
	}));
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="12">`,
		'<title>Tail latency against load probes</title>',
		`<rect width="${width}" height="${height}" fill="#ffffff"/>`,
		...axes(maxCost, maxTail, x, y),
		...parts,
		'</svg>',
		'',
	].join('\n');
}

function axes(maxCost: number, maxTail: number, x: (cost: number) => number, y: (tail: number) => number): string[] {
	const ticks: string[] = [];
	for (let step = 0; step <= 4; step++) {
		const cost = maxCost * step / 4;
		const tail = maxTail * step / 4;
		ticks.push(
			`<text x="${x(cost)}" y="${height - margin + 18}" text-anchor="middle">${cost.toFixed(1)}</text>`,
			`<text x="${margin - 8}" y="${y(tail) + 4}" text-anchor="end">${tail.toFixed(0)}</text>`,
			`<path d="M${margin} ${y(tail)}H${width - margin}" stroke="#dddddd"/>`,
		);
	}

	return [
		...ticks,
		`<text x="${width / 2}" y="${height - 14}" text-anchor="middle">load probes per second and backend server, all VMs together</text>`,
		`<text x="16" y="${height / 2}" text-anchor="middle" transform="rotate(-90 16 ${height / 2})">p99, ms (median, minimum and maximum of the seeds)</text>`,
	];
}

type Line = {
	readonly scenario: string;
	readonly line: readonly Point[];
	readonly baseline: readonly Point[];
	readonly colour: string;
	readonly row: number;
	readonly x: (cost: number) => number;
	readonly y: (tail: number) => number;
};

function renderLine({scenario, line, baseline, colour, row, x, y}: Line): string {
	const path = line.map((point, index) => `${index === 0 ? 'M' : 'L'}${x(point.cost).toFixed(1)} ${y(point.tail).toFixed(1)}`).join('');
	const marks = [...line, ...baseline].map(point => [
		`<path d="M${x(point.cost).toFixed(1)} ${y(point.minTail).toFixed(1)}V${y(point.maxTail).toFixed(1)}" stroke="${colour}" stroke-opacity="0.35"/>`,
		point.label === pointPolicy
			? `<rect x="${(x(point.cost) - 4).toFixed(1)}" y="${(y(point.tail) - 4).toFixed(1)}" width="8" height="8" fill="none" stroke="${colour}"/>`
			: `<circle cx="${x(point.cost).toFixed(1)}" cy="${y(point.tail).toFixed(1)}" r="4" fill="${colour}"/>`,
	].join(''));
	return [
		`<path d="${path}" fill="none" stroke="${colour}"/>`,
		...marks,
		`<text x="${margin + 8}" y="${24 + (16 * row)}" fill="${colour}">${scenario} (square: ${pointPolicy})</text>`,
	].join('\n');
}
