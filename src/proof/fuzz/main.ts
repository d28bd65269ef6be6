/**
 * Runs the fuzz tests for a given time: `node --import=tsx src/proof/fuzz/main.ts --seconds N --seed S [--only calls|fleet|framings]`.
 * Prints the first seed; for calls and the fleet also the numbers of histories and commands and the fault coverage, for framings
 * the number of answers. After a failure it prints the seed and the shrunk commands or answer.
 */
import process from 'node:process';
import fc from 'fast-check';
import sade from 'sade';
import {callFaults} from './call-commands.ts';
import {callProperty} from './call-fuzz.ts';
import {FaultCoverage} from './fault-coverage.ts';
import {fleetFaults} from './fleet-commands.ts';
import {fleetProperty} from './fleet-fuzz.ts';
import {FramingWorld} from './framing-fuzz.ts';

type Options = {readonly seconds: number; readonly seed: number; readonly only?: string};

const targets = {
	calls: {
		property: callProperty, faults: callFaults, maxCommands: 150, historiesPerRound: 100,
	},
	fleet: {
		property: fleetProperty, faults: fleetFaults, maxCommands: 60, historiesPerRound: 10,
	},
};
const answersPerRound = 100;

/** Runs a round for each seed until the time is over; false = a round has failed. */
async function fuzz<Value>(name: string, options: Options, check: (seed: number) => Promise<fc.RunDetails<Value>> | fc.RunDetails<Value>): Promise<boolean> {
	const end = performance.now() + (1000 * options.seconds);
	for (let {seed} = options; performance.now() < end; seed++) {
		const result = await check(seed);
		if (result.failed) {
			console.log(`${name}: FAILED with seed ${seed} (repeat with --seed ${seed})\n${fc.defaultReportMessage(result) ?? ''}\n${String(result.errorInstance)}`);
			return false;
		}
	}

	return true;
}

async function fuzzTarget(name: keyof typeof targets, options: Options): Promise<boolean> {
	const {property, faults, maxCommands, historiesPerRound} = targets[name];
	const coverage = new FaultCoverage(faults);
	const hasPassed = await fuzz(name, options, seed => fc.check(property(coverage, maxCommands), {seed, numRuns: historiesPerRound, endOnFailure: false}));
	if (hasPassed) {
		console.log([`${name}: passed, seeds from ${options.seed}`, ...coverage.report()].join('\n  '));
	}

	return hasPassed;
}

async function fuzzFramings(options: Options): Promise<boolean> {
	const world = await FramingWorld.start();
	let answers = 0;
	const hasPassed = await fuzz('framings', options, async seed => {
		const result = await fc.check(world.property(), {seed, numRuns: answersPerRound});
		answers += result.numRuns;
		return result;
	});
	world.dispose();
	if (hasPassed) {
		console.log(`framings: passed, seeds from ${options.seed}\n  ${answers} answers`);
	}

	return hasPassed;
}

const parts = [
	{name: 'calls', run: async (options: Options) => fuzzTarget('calls', options)},
	{name: 'fleet', run: async (options: Options) => fuzzTarget('fleet', options)},
	{name: 'framings', run: fuzzFramings},
];

sade('fuzz', true)
	.option('--seconds', 'Duration of each part in seconds', 60)
	.option('--seed', 'Seed of the first round; each round increments it', 1)
	.option('--only', 'Run only this part: calls, fleet or framings')
	.action(async (options: Options) => {
		const results: boolean[] = [];
		for (const {name, run} of parts) {
			if (options.only === undefined || options.only === name) {
				results.push(await run(options));
			}
		}

		process.exitCode = results.every(Boolean) ? 0 : 1;
	})
	.parse(process.argv);
