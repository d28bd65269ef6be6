/** The property of the fuzzed calls: whatever the commands, the oracle finds nothing wrong in the end. */
import fc from 'fast-check';
import {DefaultCallEngine} from '../../common/calls/call-engine.ts';
import {WakeGuard} from '../../common/calls/wake-guard.ts';
import {BrokenPromise} from './broken-promise.ts';
import {callTable} from './call-commands.ts';
import {CallWorld, type CallEngineFactory} from './call-world.ts';
import {type FaultCoverage} from './fault-coverage.ts';
import {commandsFrom} from './world-command.ts';

const defaultEngine: CallEngineFactory = random => new WakeGuard(new DefaultCallEngine({random, settings: {dataCentre: 'north'}}));

/** Histories of call engines under the commands. */
export function callProperty(coverage: FaultCoverage, mostCommands: number, makeEngine = defaultEngine): fc.IProperty<unknown> {
	return fc.property(fc.integer(), commandsFrom(callTable, coverage, mostCommands), (worldSeed, commands) => {
		const world = new CallWorld(worldSeed, makeEngine, coverage);
		fc.modelRun(() => ({model: {}, real: world}), commands);
		BrokenPromise.throwIfAny(world.settle());
	});
}
