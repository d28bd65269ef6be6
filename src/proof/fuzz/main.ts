/**
 * Long fuzzing: `node --import=tsx src/proof/fuzz/main.ts --seconds N --seed S [--only calls|fleet]`.
 * Prints the seed, how much was run, and on a failure the shrunk commands.
 */
import process from 'node:process';
import fc from 'fast-check';
import sade from 'sade';
import {callFaults} from './call-commands.ts';
import {callProperty} from './call-fuzz.ts';
import {FaultCoverage} from './fault-coverage.ts';
import {fleetFaults} from './fleet-commands.ts';
import {fleetProperty} from './fleet-fuzz.ts';

type Options = {readonly seconds: number; readonly seed: number; readonly only?: string};

const parts = {
	calls: {
		property: callProperty, faults: callFaults, longestHistory: 150, historiesOfRound: 100,
	},
	fleet: {
		property: fleetProperty, faults: fleetFaults, longestHistory: 60, historiesOfRound: 10,
	},
};
type PartName = keyof typeof parts;
const partNames: readonly PartName[] = ['calls', 'fleet'];

function runOne(name: PartName, options: Options): boolean {
	const {property, faults, longestHistory, historiesOfRound} = parts[name];
	const coverage = new FaultCoverage(faults);
	const end = performance.now() + (1000 * options.seconds);
	for (let {seed} = options; performance.now() < end; seed++) {
		const result = fc.check(property(coverage, longestHistory), {seed, numRuns: historiesOfRound, endOnFailure: false});
		if (result.failed) {
			console.log(`${name}: FAILED with seed ${seed} (--seed ${seed} begins with it)\n${fc.defaultReportMessage(result) ?? ''}\n${String(result.errorInstance)}`);
			return false;
		}
	}

	console.log([`${name}: passed, seeds from ${options.seed}`, ...coverage.report()].join('\n  '));
	return true;
}

sade('fuzz', true)
	.option('--seconds', 'How long for each part', 60)
	.option('--seed', 'First seed', 1)
	.option('--only', 'calls or fleet')
	.action((options: Options) => {
		const names = partNames.filter(name => options.only === undefined || options.only === name);
		process.exitCode = names.map(name => runOne(name, options)).every(Boolean) ? 0 : 1;
	})
	.parse(process.argv);
