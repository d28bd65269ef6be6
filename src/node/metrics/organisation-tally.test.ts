import {expect} from 'earl';
import {OrganisationTally} from './organisation-tally.ts';

const minute = 60_000;

describe('OrganisationTally', () => {
	// Guards the metrics system: a series for each organisation on each VM would be ten thousand.
	it('names the ten largest organisations of the last minute and sums the others', () => {
		const tally = new OrganisationTally();
		for (let rank = 1; rank <= 30; rank++) {
			for (let call = 0; call < rank; call++) {
				tally.record(`o-${rank}`, call > 0, 100);
			}
		}

		expect(tally.largest(200)).toEqual([]);
		const largest = tally.largest(minute);
		expect(largest.map(({organisation}) => organisation)).toEqual([...Array.from({length: 10}, (_, index) => `o-${30 - index}`), '(others)']);
		expect([largest[0], largest.at(-1)]).toEqual([{organisation: 'o-30', good: 29, bad: 1}, {organisation: '(others)', good: 190, bad: 20}]);
	});

	it('forgets organisations without calls', () => {
		const tally = new OrganisationTally();
		tally.record('one', true, 1);
		expect([tally.largest((2 * minute) - 1).length, tally.largest(2 * minute).length]).toEqual([1, 0]);
		tally.record('one', true, (2 * minute) + 1);
		expect(tally.largest(9 * minute)).toEqual([]);
	});
});
