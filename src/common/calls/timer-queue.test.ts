import {expect} from 'earl';
import fc from 'fast-check';
import {type TimerEntry, TimerQueue} from './timer-queue.ts';

const seed = 20_512;

type Step = {readonly type: 'add'; readonly at: number} | {readonly type: 'remove'; readonly which: number} | {readonly type: 'take'; readonly now: number};

const step: fc.Arbitrary<Step> = fc.oneof(
	fc.record({type: fc.constant('add' as const), at: fc.integer({min: 0, max: 50})}),
	fc.record({type: fc.constant('remove' as const), which: fc.nat(60)}),
	fc.record({type: fc.constant('take' as const), now: fc.integer({min: 0, max: 50})}),
);

describe('timer queue', () => {
	// Guards against removed entries that stay in memory until the deadlines of their calls, and against a removal that
	// breaks the order of the other entries.
	it(`keeps the order of a sorted list for any sequence of additions and removals (seed ${seed})`, () => {
		fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
			const queue = new TimerQueue<number>();
			const added: Array<TimerEntry<number>> = [];
			let model: Array<TimerEntry<number>> = [];
			for (const [number, action] of steps.entries()) {
				if (action.type === 'add') {
					const entry = queue.add(action.at, number);
					added.push(entry);
					model.push(entry);
				} else if (action.type === 'remove') {
					const entry = added[action.which];
					if (entry !== undefined) {
						queue.remove(entry);
						model = model.filter(other => other !== entry);
					}
				} else {
					const value = queue.takeDue(action.now);
					const earliest = Math.min(...model.map(entry => entry.at));
					const taken = model.find(entry => entry.value === value);
					expect(taken?.at).toEqual(earliest <= action.now ? earliest : undefined);
					model = model.filter(entry => entry !== taken);
				}

				expect(queue.size).toEqual(model.length);
				expect(queue.earliest).toEqual(model.length === 0 ? undefined : Math.min(...model.map(entry => entry.at)));
			}
		}), {seed, numRuns: 300});
	});
});
