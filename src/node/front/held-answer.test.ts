import {expect} from 'earl';
import {MemoryBudget} from '../memory/memory-budget.ts';
import {HeldAnswer} from './held-answer.ts';

const head = {isForThisCall: true, isDeclaredNotRun: false, report: undefined};

describe('HeldAnswer', () => {
	// Guards the heap against an object for each chunk, and the memory of the process against many buffered answers.
	it('joins chunks, and is forwarded unchanged when the budget has no room', () => {
		const budget = new MemoryBudget(2048);
		const answer = new HeldAnswer(65_536, head, budget);
		const sent = Buffer.from(Array.from({length: 3000}, (_, index) => index % 251));
		const isHeld: boolean[] = [];
		for (let start = 0; start < sent.length; start += 100) {
			isHeld.push(answer.add(sent.subarray(start, start + 100)));
		}

		expect([isHeld.indexOf(false), isHeld.lastIndexOf(true), answer.bytes]).toEqual([20, 19, 3000]);
		const taken = answer.take();
		expect([Buffer.concat(taken).equals(sent), taken.length, budget.heldBytes]).toEqual([true, 11, 0]);
	});
});
