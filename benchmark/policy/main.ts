/** Benchmark `policy`: compares the call engines of 16 VMs with baselines, scenario by scenario, in virtual time. */
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

/** Maximum number of seeds that run in parallel, each on its own thread. */
const maxThreads = 3;

/** On Node 20 a worker thread does not inherit the loader of `--import=tsx`, so it registers tsx itself. */
const threadCode = `import('tsx/esm/api').then(({register}) => {
	register();
	return import(${JSON.stringify(new URL('worker.ts', import.meta.url).href)});
});`;

/** Runs all scenarios and policies of one seed in sequence on a worker thread. */
async function runSeed(seed: number, scenarioNames: readonly string[], options: Options): Promise<RunFigures[]> {
	const runs: RunFigures[] = [];
	const worker = new Worker(threadCode, {eval: true, workerData: {seed, scenarios: scenarioNames, policies: options.policy}});
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
	const scenarioNames = scenarios.map(scenario => scenario.name).filter(name => options.scenario === undefined || options.scenario.split(',').includes(name));
	const startedAt = performance.now();
	const all: RunFigures[] = [];
	while (seeds.length > 0) {
		const batch = await Promise.all(seeds.splice(0, maxThreads).map(async seed => runSeed(seed, scenarioNames, options)));
		all.push(...batch.flat());
	}

	for (const name of scenarioNames) {
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
	.describe('Compare the call engine with baselines in virtual time')
	.option('--seed', 'First seed', 1)
	.option('--seeds', 'Number of consecutive seeds', 3)
	.option('--scenario', 'Only these scenarios, separated by commas')
	.option('--policy', 'Only policies whose names start with one of these prefixes, separated by commas; "without" and "weight" run only if selected')
	.option('--json', 'File for all figures')
	.option('--svg', 'File for the chart of tail latency against load probes')
	.action((options: Options) => {
		finished = runAll(options);
	})
	.parse(process.argv);
await finished;
