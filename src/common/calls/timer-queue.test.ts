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
	// Memory of a busy VM grows by every call it has answered until their deadlines pass: an entry that
	// was taken out early must be gone, and the order of all others must not suffer from the hole.
	it(`keeps the order of a sorted list whatever is added, removed and taken (seed ${seed})`, () => {
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
