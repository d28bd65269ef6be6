import {expect} from 'earl';
import {RandomDigits} from './random-digits.ts';

describe('random digits', () => {
	// Two calls share an identifier, and the log of one customer's order shows another's.
	it('never gives bytes twice, also where a pool ends in the middle of a draw', () => {
		const digits = new RandomDigits();
		const taken = Array.from({length: 5000}, (_, index) => digits.take(index % 2 === 0 ? 16 : 8));
		expect(new Set(taken).size).toEqual(taken.length);
		expect(taken.every((text, index) => text.length === (index % 2 === 0 ? 32 : 16))).toEqual(true);
	});
});
