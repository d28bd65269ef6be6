import {expect} from 'earl';
import fc from 'fast-check';
import {FaultCoverage} from './fault-coverage.ts';
import {fleetFaults} from './fleet-commands.ts';
import {fleetProperty} from './fleet-fuzz.ts';
import {FleetWorld} from './fleet-world.ts';

const seed = 20_261_202;
const historyCount = 25;
const maxCommands = 60;

describe('fuzzed fleet', () => {
	it(`keeps the guarantees under overlapping faults, seed ${seed}`, () => {
		const coverage = new FaultCoverage(fleetFaults);
		fc.assert(fleetProperty(coverage, maxCommands), {seed, numRuns: historyCount, includeErrorInReport: true});
		expect(coverage.uncovered()).toEqual([]);
	});

	it('does not use a share twice after its holder was suspended with a stopped clock', () => {
		// A VM and its clock are suspended for 15 seconds. Its lease expires, and a new VM takes over its share and
		// sends load probes. After the resumption the share is still valid by the clock of the first VM, and the
		// store is down, so that the VM cannot learn of the new holder.
		const world = new FleetWorld(1, new FaultCoverage(fleetFaults));
		const suspended = world.vms[0]!;
		world.recordFault(suspended.name, 'paused', true);
		suspended.pause();
		world.addVm();
		world.advance(15_000);
		world.recordFault(suspended.name, 'paused', false);
		world.store.isUp = false;
		suspended.resume(true);
		world.advance(3000);
		expect(world.settle()).toEqual([]);
	});
});
