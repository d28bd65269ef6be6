/** VMs that are lost while the store is away: when they are out of all answers, and whether any that lives drops out. */
import {expect} from 'earl';
import {type Milliseconds} from '../model/units.ts';
import {
	type Course, courseOf, lose, part, startedModel,
} from './loss-course.test.ts';

/** No answer may name a lost VM this long after the store is back. */
const behindOutage: Milliseconds = 3000;

const seeds = [1, 2, 3, 4, 5, 6];

describe('VMs that lose power', function () {
	this.timeout(120_000);

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
});
