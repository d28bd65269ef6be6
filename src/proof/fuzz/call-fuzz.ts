/** Property of call engines: after any list of commands, the oracle finds no violation and the world settles. */
import fc from 'fast-check';
import {DefaultCallEngine} from '../../common/calls/call-engine.ts';
import {WakeGuard} from '../../common/calls/wake-guard.ts';
import {GuaranteeViolationError} from './guarantee-violation-error.ts';
import {callCommandKinds} from './call-commands.ts';
import {CallWorld, type CallEngineFactory} from './call-world.ts';
import {type FaultCoverage} from './fault-coverage.ts';
import {commandLists} from './world-command.ts';

const defaultEngine: CallEngineFactory = random => new WakeGuard(new DefaultCallEngine({random, settings: {dataCentre: 'north'}}));

/** The property for one world seed and one list of at most `maxCommands` commands. */
export function callProperty(coverage: FaultCoverage, maxCommands: number, makeEngine = defaultEngine): fc.IProperty<unknown> {
	return fc.property(fc.integer(), commandLists(callCommandKinds, coverage, maxCommands), (worldSeed, commands) => {
		const world = new CallWorld(worldSeed, makeEngine, coverage);
		fc.modelRun(() => ({model: {}, real: world}), commands);
		GuaranteeViolationError.throwIfAny(world.settle());
	});
}
