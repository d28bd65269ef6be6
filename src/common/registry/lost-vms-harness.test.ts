/**
 * Shared by the tests of lost VMs: a settled fleet, the loss of VMs, and the observation of which VMs are named to
 * callers (in the addresses that callers receive).
 */
import {type Milliseconds} from '../model/units.ts';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

/** Time in which a fleet that has just started settles. */
export const settleMilliseconds: Milliseconds = 10_000;

/** Pause between two checks of all VMs. */
const stepMilliseconds: Milliseconds = 100;

/** A random selection of this fraction of the running VMs. */
export function randomPart(model: FleetModel, share: number): ModelProcess[] {
	const {running: living} = model;
	const shuffled = living.map(process => ({process, place: model.random.next()})).toSorted((one, other) => one.place - other.place);
	return shuffled.slice(0, Math.ceil(share * living.length)).map(({process}) => process);
}

export function startedModel(vmCount: number, seed: number): FleetModel {
	const model = new FleetModel({vmCount, serverCount: 100, seed});
	model.startAll();
	// Varies the time of the loss within the registrars' renewals.
	model.timeline.advance(settleMilliseconds + (model.random.next() * 3000));
	return model;
}

export type LossResult = {
	/** Time from the loss until no VM names a lost VM. */
	readonly namedMilliseconds: Milliseconds;
	/** Largest number of running VMs that one VM did not name at a time. */
	readonly missing: number;
};

export function observeLoss(model: FleetModel, lost: ReadonlySet<string>, milliseconds: Milliseconds = 9000): LossResult {
	const startedAt = model.timeline.now;
	let namedMilliseconds = 0;
	let missing = 0;
	while (model.timeline.now - startedAt < milliseconds) {
		model.timeline.advance(stepMilliseconds);
		for (const {fleet} of model.running) {
			const known = new Set(fleet.knownCallAddresses());
			missing = Math.max(missing, model.running.filter(({address}) => !known.has(address)).length);
			if ([...lost].some(address => known.has(address))) {
				namedMilliseconds = model.timeline.now - startedAt;
			}
		}
	}

	return {namedMilliseconds, missing};
}

export function powerOff(victims: readonly ModelProcess[]): Set<string> {
	for (const victim of victims) {
		victim.kill(true);
	}

	return new Set(victims.map(({address}) => address));
}
