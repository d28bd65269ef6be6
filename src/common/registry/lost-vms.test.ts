/** How long VMs that are lost stay in the answers of those that live, and whether any that lives drops out meanwhile. */
import {expect} from 'earl';
import {type Milliseconds} from '../model/units.ts';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

/** No answer may name a lost VM for longer, whatever was lost with it. */
const longestNamed: Milliseconds = 5000;

/** Time in which a fleet that has just started finds its order. */
const settleMilliseconds: Milliseconds = 10_000;

/** Pause between two looks at all answers. */
const stepMilliseconds: Milliseconds = 100;

/** VMs that are lost together, chosen from those that live. */
type Loss = {
	readonly name: string;
	choose(model: FleetModel): readonly ModelProcess[];
};

function readers(model: FleetModel): ModelProcess[] {
	return model.living.filter(({fleet}) => fleet.status(model.timeline.now).isReadingStore);
}

function part(model: FleetModel, share: number): ModelProcess[] {
	const {living} = model;
	const shuffled = living.map(process => ({process, place: model.random.next()})).toSorted((one, other) => one.place - other.place);
	return shuffled.slice(0, Math.ceil(share * living.length)).map(({process}) => process);
}

const losses: readonly Loss[] = [
	{name: 'a VM that follows another', choose: model => [model.living.findLast(process => !readers(model).includes(process))!]},
	{name: 'a registrar', choose: model => readers(model).slice(0, 1)},
	{name: 'all registrars', choose: readers},
	{name: 'a data centre', choose: model => model.living.filter(({address}) => address.startsWith('10.0.0'))},
	{name: 'a third of all VMs', choose: model => part(model, 1 / 3)},
	{name: 'half of all VMs', choose: model => part(model, 1 / 2)},
];

function startedModel(vmCount: number, seed: number): FleetModel {
	const model = new FleetModel({vmCount, serverCount: 100, seed});
	model.startAll();
	// The moment of the loss within the registrars' renewals is one of chance.
	model.timeline.advance(settleMilliseconds + (model.random.next() * 3000));
	return model;
}

type Course = {
	/** Time from the loss until no VM names any of those that are lost. */
	readonly named: Milliseconds;
	/** Most VMs that live and were missing from the answers of one VM at a time. */
	readonly missing: number;
};

function courseOf(model: FleetModel, lost: ReadonlySet<string>, milliseconds: Milliseconds = 9000): Course {
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

function lose(victims: readonly ModelProcess[]): Set<string> {
	for (const victim of victims) {
		victim.kill(true);
	}

	return new Set(victims.map(({address}) => address));
}

/** Fleets that each loss is played in: VMs, and the seeds of a play each. */
const fleets: ReadonlyArray<{readonly vmCount: number; readonly seeds: readonly number[]}> = [
	{vmCount: 16, seeds: [1, 2, 3, 4, 5, 6]},
	{vmCount: 134, seeds: [1, 2]},
	{vmCount: 311, seeds: [1]},
];

/** The courses of one loss in all fleets. */
function coursesOf({choose}: Loss): ReadonlyArray<Course & {readonly vmCount: number; readonly seed: number}> {
	return fleets.flatMap(({vmCount, seeds}) => seeds.map(seed => {
		const model = startedModel(vmCount, seed);
		return {vmCount, seed, ...courseOf(model, lose(choose(model)))};
	}));
}

describe('VMs that lose power', function () {
	this.timeout(120_000);

	for (const loss of losses) {
		let courses: ReturnType<typeof coursesOf> = [];

		before(() => {
			courses = coursesOf(loss);
		});

		// Guards callers against answers that name VMs which have long been off.
		it(`are out of all answers in time: ${loss.name}`, () => {
			expect(courses.filter(({named}) => named > longestNamed)).toEqual([]);
		});

		// Guards VMs that live against being taken for lost with others, so that callers drown the few that are left.
		it(`take no VM that lives out of an answer: ${loss.name}`, () => {
			expect(courses.filter(({missing}) => missing > 0)).toEqual([]);
		});
	}
});
