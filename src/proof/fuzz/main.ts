/**
 * Runs the fuzz tests for a given time: `node --import=tsx src/proof/fuzz/main.ts --seconds N --seed S [--only calls|fleet]`.
 * Prints the first seed, the numbers of histories and commands and the fault coverage; for a failure the seed and the shrunk commands.
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

const targets = {
	calls: {
		property: callProperty, faults: callFaults, maxCommands: 150, historiesPerRound: 100,
	},
	fleet: {
		property: fleetProperty, faults: fleetFaults, maxCommands: 60, historiesPerRound: 10,
	},
};
type TargetName = keyof typeof targets;
const targetNames: readonly TargetName[] = ['calls', 'fleet'];

function fuzzTarget(name: TargetName, options: Options): boolean {
	const {property, faults, maxCommands, historiesPerRound} = targets[name];
	const coverage = new FaultCoverage(faults);
	const end = performance.now() + (1000 * options.seconds);
	for (let {seed} = options; performance.now() < end; seed++) {
		const result = fc.check(property(coverage, maxCommands), {seed, numRuns: historiesPerRound, endOnFailure: false});
		if (result.failed) {
			console.log(`${name}: FAILED with seed ${seed} (repeat with --seed ${seed})\n${fc.defaultReportMessage(result) ?? ''}\n${String(result.errorInstance)}`);
			return false;
		}
	}

	console.log([`${name}: passed, seeds from ${options.seed}`, ...coverage.report()].join('\n  '));
	return true;
}

sade('fuzz', true)
	.option('--seconds', 'Duration of each part in seconds', 60)
	.option('--seed', 'Seed of the first round; each round increments it', 1)
	.option('--only', 'Run only this part: calls or fleet')
	.action((options: Options) => {
		const names = targetNames.filter(name => options.only === undefined || options.only === name);
		process.exitCode = names.map(name => fuzzTarget(name, options)).every(Boolean) ? 0 : 1;
	})
	.parse(process.argv);
