/** The property of the fuzzed fleet: whatever the commands, the oracle finds nothing wrong in the end. */
import fc from 'fast-check';
import {BrokenPromise} from './broken-promise.ts';
import {type FaultCoverage} from './fault-coverage.ts';
import {fleetTable} from './fleet-commands.ts';
import {FleetWorld} from './fleet-world.ts';
import {commandsFrom} from './world-command.ts';

/** Histories of fleet engines under the commands. */
export function fleetProperty(coverage: FaultCoverage, mostCommands: number): fc.IProperty<unknown> {
	return fc.property(fc.integer(), commandsFrom(fleetTable, coverage, mostCommands), (worldSeed, commands) => {
		const world = new FleetWorld(worldSeed, coverage);
		fc.modelRun(() => ({model: {}, real: world}), commands);
		BrokenPromise.throwIfAny(world.settle());
	});
}
