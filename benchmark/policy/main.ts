/** `policy`: the deciders of 16 VMs against baselines, scenario by scenario, in virtual time. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import sade from 'sade';
import {renderChart} from './chart.ts';
import {extraPolicies, policies} from './policies.ts';
import {scenarios} from './scenarios.ts';
import {Simulation} from './simulation.ts';
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

/** Runs one after the other, since figures of processor time are part of the result. */
function run(options: Options): void {
	const firstSeed = Number(options.seed);
	const wanted = scenarios.filter(scenario => options.scenario === undefined || options.scenario.split(',').includes(scenario.name));
	const compared = options.policy === undefined
		? policies
		: [...policies, ...extraPolicies].filter(policy => options.policy!.split(',').some(wish => policy.name.startsWith(wish)));
	const all: RunFigures[] = [];
	const startedAt = performance.now();
	for (const scenario of wanted) {
		for (const policy of compared) {
			for (let seed = firstSeed; seed < firstSeed + Number(options.seeds); seed++) {
				all.push(new Simulation(scenario, policy, seed).run());
			}
		}

		process.stdout.write(renderTable(summarise(all.filter(figures => figures.scenario === scenario.name))));
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

sade('policy', true)
	.describe('Compare the deciders with baselines in virtual time')
	.option('--seed', 'First seed', 1)
	.option('--seeds', 'How many seeds in a row', 3)
	.option('--scenario', 'Only these scenarios, separated by commas')
	.option('--policy', 'Only these policies, separated by commas')
	.option('--json', 'File for all figures')
	.option('--svg', 'File for the chart of tail latency against cost of measuring')
	.action((options: Options) => {
		run(options);
	})
	.parse(process.argv);
