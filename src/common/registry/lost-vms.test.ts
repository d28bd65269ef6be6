/** How long VMs that are lost stay in the answers of those that live, and whether any that lives drops out meanwhile. */
import {expect} from 'earl';
import {type Milliseconds} from '../model/units.ts';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

/** No answer may name a lost VM for longer, whatever was lost with it. */
const longestNamed: Milliseconds = 5000;

/** The same from the return of a store that was away when they were lost. */
const behindOutage: Milliseconds = 3000;

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

	/** Half of 16 VMs is lost 1 s after the store has met this; what its answers do in the 9 s from then on. */
	function courseWith(seed: number, meet: (model: FleetModel) => void): Course {
		const model = startedModel(16, seed);
		meet(model);
		model.timeline.advance(1000);
		return courseOf(model, lose(part(model, 1 / 2)));
	}

	const seeds = [1, 2, 3, 4, 5, 6];

	// Guards against a budget that holds only while the store answers within milliseconds.
	it('are out of all answers in time while the store takes 240 ms for each answer', () => {
		const courses = seeds.map(seed => courseWith(seed, model => {
			model.store.answerMilliseconds = 240;
		}));
		expect(courses.filter(({named, missing}) => named > longestNamed || missing > 0)).toEqual([]);
	});

	// Guards against removals that no watch tells, since the store has dropped its history.
	it('are out of all answers in time while the store drops its history', () => {
		const courses = seeds.map(seed => courseWith(seed, model => {
			for (let drops = 1; drops <= 20; drops++) {
				model.timeline.after(drops * 300, () => {
					model.store.dropHistory();
				});
			}
		}));
		expect(courses.filter(({named, missing}) => named > longestNamed || missing > 0)).toEqual([]);
	});

	/** Half of 16 VMs is lost while the store is silent; time from its return until no VM names any of them, and VMs missing then. */
	function courseBehindOutage(seed: number, arePaused: boolean): Course {
		const model = startedModel(16, seed);
		model.store.isSilentTo = () => true;
		model.store.arePaused = arePaused;
		model.timeline.advance(1500);
		const lost = lose(part(model, 1 / 2));
		model.timeline.advance(6500);
		model.store.isSilentTo = () => false;
		model.store.arePaused = false;
		return courseOf(model, lost);
	}

	for (const [name, arePaused] of [['ended', false], ['been paused', true]] as const) {
		// Guards callers behind an outage of the store: nobody could remove an entry while it lasted.
		it(`are out of all answers 3 s after the store is back, where leases have ${name} meanwhile`, () => {
			const courses = seeds.map(seed => ({seed, ...courseBehindOutage(seed, arePaused)}));
			expect(courses.filter(({named}) => named > behindOutage)).toEqual([]);
		});

		// Guards VMs that live against their own entries, which lapsed while nobody could renew them.
		it(`take no VM that lives out of an answer behind an outage, where leases have ${name} meanwhile`, () => {
			const courses = seeds.map(seed => ({seed, ...courseBehindOutage(seed, arePaused)}));
			expect(courses.filter(({missing}) => missing > 0)).toEqual([]);
		});
	}

	// Guards VMs that come back at once under another identity against the removal of the entries that they had before.
	it('stay in the answers when they are back at once', () => {
		const courses = seeds.map(seed => {
			const model = startedModel(16, seed);
			const victims = part(model, 1 / 2);
			lose(victims);
			for (const {address} of victims) {
				model.start(model.vmOf(address));
			}

			model.timeline.advance(settleMilliseconds / 2);
			return {seed, ...courseOf(model, new Set())};
		});
		expect(courses.filter(({missing}) => missing > 0)).toEqual([]);
	});
});
