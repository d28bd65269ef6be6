/** What tests of lost VMs share: a fleet that has found its order, losses, and the course of its answers. */
import {type Milliseconds} from '../model/units.ts';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

/** Time in which a fleet that has just started finds its order. */
export const settleMilliseconds: Milliseconds = 10_000;

/** Pause between two looks at all answers. */
const stepMilliseconds: Milliseconds = 100;

/** This share of the VMs that live, drawn at random. */
export function part(model: FleetModel, share: number): ModelProcess[] {
	const {living} = model;
	const shuffled = living.map(process => ({process, place: model.random.next()})).toSorted((one, other) => one.place - other.place);
	return shuffled.slice(0, Math.ceil(share * living.length)).map(({process}) => process);
}

export function startedModel(vmCount: number, seed: number): FleetModel {
	const model = new FleetModel({vmCount, serverCount: 100, seed});
	model.startAll();
	// The moment of the loss within the registrars' renewals is one of chance.
	model.timeline.advance(settleMilliseconds + (model.random.next() * 3000));
	return model;
}

export type Course = {
	/** Time from the loss until no VM names any of those that are lost. */
	readonly named: Milliseconds;
	/** Most VMs that live and were missing from the answers of one VM at a time. */
	readonly missing: number;
};

export function courseOf(model: FleetModel, lost: ReadonlySet<string>, milliseconds: Milliseconds = 9000): Course {
	const startedAt = model.timeline.now;
	let named = 0;
	let missing = 0;
	while (model.timeline.now - startedAt < milliseconds) {
		model.timeline.advance(stepMilliseconds);
		for (const {fleet} of model.living) {
			const known = new Set(fleet.knownCallAddresses());
			missing = Math.max(missing, model.living.filter(({address}) => !known.has(address)).length);
			if ([...lost].some(address => known.has(address))) {
				named = model.timeline.now - startedAt;
			}
		}
	}

	return {named, missing};
}

export function lose(victims: readonly ModelProcess[]): Set<string> {
	for (const victim of victims) {
		victim.kill(true);
	}

	return new Set(victims.map(({address}) => address));
}
