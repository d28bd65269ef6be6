import {expect} from 'earl';
import fc from 'fast-check';
import {callFaults} from './call-commands.ts';
import {callProperty} from './call-fuzz.ts';
import {FaultCoverage} from './fault-coverage.ts';

const seed = 20_261_202;
const historyCount = 500;
const maxCommands = 100;

describe('fuzzed calls', () => {
	it(`keep the guarantees under overlapping faults, seed ${seed}`, () => {
		const coverage = new FaultCoverage(callFaults);
		fc.assert(callProperty(coverage, maxCommands), {seed, numRuns: historyCount, includeErrorInReport: true});
		expect(coverage.uncovered()).toEqual([]);
	});
});
