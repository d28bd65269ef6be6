/** Property of fleet engines: after any list of commands, the oracle finds no violation and the world settles. */
import fc from 'fast-check';
import {GuaranteeViolationError} from './guarantee-violation-error.ts';
import {type FaultCoverage} from './fault-coverage.ts';
import {fleetCommandKinds} from './fleet-commands.ts';
import {FleetWorld} from './fleet-world.ts';
import {commandLists} from './world-command.ts';

/** The property for one world seed and one list of at most `maxCommands` commands. */
export function fleetProperty(coverage: FaultCoverage, maxCommands: number): fc.IProperty<unknown> {
	return fc.property(fc.integer(), commandLists(fleetCommandKinds, coverage, maxCommands), (worldSeed, commands) => {
		const world = new FleetWorld(worldSeed, coverage);
		fc.modelRun(() => ({model: {}, real: world}), commands);
		GuaranteeViolationError.throwIfAny(world.settle());
	});
}
