/** `npm run bench -- demand [--only SCENARIO] [--seeds N] [--set NAME=VALUE …]`: on-demand load probes under loads like the customers'. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {type CallTuning} from '../../src/common/calls/tuning.ts';
import {DemandRun} from './demand-run.ts';
import {demandScenarios} from './scenarios.ts';

const {values} = parseArgs({
	options: {
		only: {type: 'string'},
		seeds: {type: 'string', default: '3'},
		set: {type: 'string', multiple: true, default: []},
	},
});

/** Parses tuning values given as NAME=VALUE; all values are numbers. */
function parseTuning(settings: readonly string[]): Partial<CallTuning> {
	return Object.fromEntries(settings.map(setting => {
		const [name, value] = setting.split('=', 2);
		return [name!, Number(value)];
	}));
}

const columns = ['worth', 'earned', 'worstWindows', 'served', 'late', 'refused', 'refusedAgain', 'attemptsACall', 'measuringsACall', 'p99', 'connectionsACall', 'maxLoadRatio'] as const;
console.log(['scenario'.padEnd(12), ...columns.map(column => column.padStart(15))].join(''));
for (const scenario of demandScenarios) {
	if (values.only !== undefined && !scenario.name.startsWith(values.only)) {
		continue;
	}

	const runs = Array.from({length: Number(values.seeds)}, (_, index) => new DemandRun(scenario, parseTuning(values.set), index + 1).run());
	const means = columns.map(column => runs.reduce((sum, run) => sum + run[column], 0) / runs.length);
	process.stdout.write(`${scenario.name.padEnd(12)}${means.map(mean => mean.toFixed(3).padStart(15)).join('')}\n`);
}
