import {expect} from 'earl';
import {StatedLimit} from './stated-limit.ts';

describe('StatedLimit', () => {
	// Guards VMs against a message for each answer of a backend server that changes its limit all the time.
	it('states a limit at once, its changes and its end once a second, and one that holds once a minute', () => {
		const limit = new StatedLimit();
		const told = [[0, 5], [10, 6], [900, 7], [1000, 8], [1500, undefined], [2000, undefined], [2001, undefined], [2002, 5], [3000, 5], [62_001, 5], [62_002, 5]].map(([now, callsPerSecond]) => limit.take(callsPerSecond, now!));
		expect(told).toLooseEqual([
			{callsPerSecond: 5, sequence: 1},
			undefined,
			undefined,
			{callsPerSecond: 8, sequence: 2},
			undefined,
			{callsPerSecond: undefined, sequence: 3},
			undefined,
			{callsPerSecond: 5, sequence: 4},
			undefined,
			undefined,
			{callsPerSecond: 5, sequence: 4},
		]);
	});

	// Guards against an earlier statement that arrives late, and against VMs that keep different ones of the same moment.
	it('applies later statements of other VMs, and of two with the same number the lower limit', () => {
		const limit = new StatedLimit();
		const statements = [[2, 5], [1, 9], [2, 6], [2, 4], [2, undefined], [3, undefined], [3, 7]] as const;
		expect(statements.map(([sequence, callsPerSecond]) => limit.apply({sequence, callsPerSecond}, 0))).toEqual([true, false, false, true, false, true, true]);
	});
});
