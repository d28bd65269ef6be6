/** The property of the fuzzed calls: whatever the commands, the oracle finds nothing wrong in the end. */
import fc from 'fast-check';
import {DefaultCallEngine} from '../../common/calls/call-engine.ts';
import {WakeGuard} from '../../common/calls/wake-guard.ts';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {callCommands} from './call-commands.ts';
import {CallWorld, type CallEngineFactory} from './call-world.ts';
import {type FaultCoverage} from './fault-coverage.ts';

/** What fast-check reports as the reason of a failed history. */
export class BrokenPromise extends Error {
	override readonly name = 'BrokenPromise';
	readonly failure: Failure<'broken-promise'>;

	constructor(findings: readonly string[]) {
		super(findings.join('\n'));
		this.failure = failure('broken-promise', this.message);
	}
}

const defaultEngine: CallEngineFactory = random => new WakeGuard(new DefaultCallEngine({random, settings: {dataCentre: 'north'}}));

/** Histories of call engines under the commands. */
export function callProperty(coverage: FaultCoverage, mostCommands: number, makeEngine = defaultEngine): fc.IProperty<unknown> {
	return fc.property(fc.integer(), callCommands(coverage, mostCommands), (worldSeed, commands) => {
		const world = new CallWorld(worldSeed, makeEngine, coverage);
		fc.modelRun(() => ({model: {}, real: world}), commands);
		const findings = world.settle();
		if (findings.length > 0) {
			throw new BrokenPromise(findings);
		}
	});
}
