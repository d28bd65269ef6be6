/** `policy`: the deciders of 16 VMs against baselines, scenario by scenario, in virtual time. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {Worker} from 'node:worker_threads';
import sade from 'sade';
import {renderChart} from './chart.ts';
import {scenarios} from './scenarios.ts';
import {checkGoals, renderTable, summarise} from './summary.ts';
import {type RunFigures} from './types.ts';

type Options = {
	readonly seed: number | string;
	readonly seeds: number | string;
	readonly scenario?: string;
	readonly policy?: string;
	readonly json?: string;
	readonly svg?: string;
};

/** Seeds that run at once, each on a thread: the rest wait. */
const mostThreads = 3;

/** A thread does not inherit the loader of `--import=tsx` on Node 20, so it registers its own. */
const threadCode = `import('tsx/esm/api').then(({register}) => {
	register();
	return import(${JSON.stringify(new URL('worker.ts', import.meta.url).href)});
});`;

/** One seed on a thread of its own; its runs come one after the other. */
async function runSeed(seed: number, wanted: readonly string[], options: Options): Promise<RunFigures[]> {
	const runs: RunFigures[] = [];
	const worker = new Worker(threadCode, {eval: true, workerData: {seed, scenarios: wanted, policies: options.policy}});
	worker.on('message', (figures: RunFigures) => {
		runs.push(figures);
	});
	await new Promise<void>((resolve, reject) => {
		worker.once('error', reject);
		worker.once('exit', () => {
			resolve();
		});
	});
	return runs;
}

async function runAll(options: Options): Promise<void> {
	const firstSeed = Number(options.seed);
	const seeds = Array.from({length: Number(options.seeds)}, (_, index) => firstSeed + index);
	const wanted = scenarios.map(scenario => scenario.name).filter(name => options.scenario === undefined || options.scenario.split(',').includes(name));
	const startedAt = performance.now();
	const all: RunFigures[] = [];
	while (seeds.length > 0) {
		const batch = await Promise.all(seeds.splice(0, mostThreads).map(async seed => runSeed(seed, wanted, options)));
		all.push(...batch.flat());
	}

	for (const name of wanted) {
		process.stdout.write(renderTable(summarise(all.filter(figures => figures.scenario === name))));
	}

	const summaries = summarise(all);
	process.stdout.write(checkGoals(summaries));
	process.stdout.write(`${all.length} runs in ${((performance.now() - startedAt) / 1000).toFixed(1)} s\n`);
	if (options.json !== undefined) {
		writeFileSync(options.json, JSON.stringify({
			seeds: Number(options.seeds), firstSeed, runs: all, summaries,
		}, undefined, '\t'));
	}

	if (options.svg !== undefined) {
		writeFileSync(options.svg, renderChart(summaries));
	}
}

let finished: Promise<void> | undefined;
sade('policy', true)
	.describe('Compare the deciders with baselines in virtual time')
	.option('--seed', 'First seed', 1)
	.option('--seeds', 'How many seeds in a row', 3)
	.option('--scenario', 'Only these scenarios, separated by commas')
	.option('--policy', 'Only policies whose names begin so, separated by commas; "without" and "weight" are run on demand')
	.option('--json', 'File for all figures')
	.option('--svg', 'File for the chart of tail latency against cost of measuring')
	.action((options: Options) => {
		finished = runAll(options);
	})
	.parse(process.argv);
await finished;
