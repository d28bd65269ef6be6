import {expect} from 'earl';
import {RandomDigits} from './random-digits.ts';

describe('random digits', () => {
	// Fails if two calls get the same identifier, which mixes their log lines.
	it('never returns the same bytes twice, also if the pool runs out within a request', () => {
		const digits = new RandomDigits();
		const taken = Array.from({length: 5000}, (_, index) => digits.take(index % 2 === 0 ? 16 : 8));
		expect(new Set(taken).size).toEqual(taken.length);
		expect(taken.every((text, index) => text.length === (index % 2 === 0 ? 32 : 16))).toEqual(true);
	});
});
