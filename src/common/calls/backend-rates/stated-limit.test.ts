import {expect} from 'earl';
import {StatedLimit} from './stated-limit.ts';

describe('StatedLimit', () => {
	// Guards VMs against a message for each answer of a backend server that changes its limit all the time, and that server against a lower limit that one VM keeps for itself.
	it('states a limit and a lower one at once, a higher one and the end once a second, and one that holds once a minute', () => {
		const limit = new StatedLimit();
		const learnt = [[0, 5], [10, 6], [900, 7], [1000, 8], [1100, 4], [1101, 3], [2000, undefined], [2101, undefined], [2102, undefined], [2103, 5], [3000, 5], [62_102, 5], [62_103, 5]] as const;
		const told = learnt.map(([now, callsPerSecond]) => limit.take(callsPerSecond, now)).map(statement => statement === undefined ? '-' : `${statement.sequence}: ${statement.callsPerSecond}`);
		expect(told).toEqual(['1: 5', '-', '-', '2: 8', '3: 4', '4: 3', '-', '5: undefined', '-', '6: 5', '-', '-', '6: 5']);
	});

	// Guards against an earlier statement that arrives late, and against VMs that keep different ones of the same moment.
	it('applies later statements of other VMs, and of two with the same number the lower limit', () => {
		const limit = new StatedLimit();
		const statements = [[2, 5], [1, 9], [2, 6], [2, 4], [2, undefined], [3, undefined], [3, 7]] as const;
		expect(statements.map(([sequence, callsPerSecond]) => limit.apply({sequence, callsPerSecond}, 0))).toEqual([true, false, false, true, false, true, true]);
	});
});
