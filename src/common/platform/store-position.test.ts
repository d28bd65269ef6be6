import {expect} from 'earl';
import * as fastCheck from 'fast-check';
import {
	eraOf, formatPosition, isLater, latest, precedesRestore, revisionOf, storePosition,
} from './store-position.ts';

const eras = fastCheck.integer({min: 0, max: 2 ** 20});
const revisions = fastCheck.integer({min: 1, max: (2 ** 32) - 1});

describe('a position in the store', () => {
	it('orders by era first, then by revision', () => {
		fastCheck.assert(fastCheck.property(eras, revisions, eras, revisions, (era, revision, otherEra, otherRevision) => {
			const isPairLater = era === otherEra ? revision > otherRevision : era > otherEra;
			const [one, other] = [storePosition(era, revision), storePosition(otherEra, otherRevision)];
			expect([isLater(one, other), latest(one, other)]).toEqual([isPairLater, isPairLater ? one : other]);
		}));
	});

	it('contains its era and revision', () => {
		fastCheck.assert(fastCheck.property(eras, revisions, (era, revision) => {
			const position = storePosition(era, revision);
			expect([eraOf(position), revisionOf(position)]).toEqual([era, revision]);
		}));
	});

	it('precedes a restore if a later era begins between the two', () => {
		expect([[1, 9, 2, 1], [2, 1, 2, 9], [2, 1, 1, 9]].map(([era = 0, revision = 0, otherEra = 0, otherRevision = 0]) =>
			precedesRestore(storePosition(era, revision), storePosition(otherEra, otherRevision)))).toEqual([true, false, false]);
	});

	it('is formatted as era and revision', () => {
		expect(formatPosition(storePosition(2, 40))).toEqual('2/40');
	});

	it('equals the revision if the store reports no era', () => {
		expect(storePosition(0, 7)).toEqual(7);
	});
});
