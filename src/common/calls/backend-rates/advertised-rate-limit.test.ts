import {expect} from 'earl';
import {AdvertisedRateLimit} from './advertised-rate-limit.ts';

describe('AdvertisedRateLimit', () => {
	// Guards VMs against a message for each answer of a backend server that changes its limit all the time, and that server against a lower limit that one VM keeps for itself.
	it('advertises a limit and a lower one at once, a higher one and the end once a second, and one that holds once a minute', () => {
		const limit = new AdvertisedRateLimit();
		const learnt = [[0, 5], [10, 6], [900, 7], [1000, 8], [1100, 4], [1101, 3], [2000, undefined], [2101, undefined], [2102, undefined], [2103, 5], [3000, 5], [62_102, 5], [62_103, 5]] as const;
		const told = learnt.map(([now, callsPerSecond]) => limit.take(callsPerSecond, now)).map(advertisement => advertisement === undefined ? '-' : `${advertisement.sequence}: ${advertisement.callsPerSecond}`);
		expect(told).toEqual(['1: 5', '-', '-', '2: 8', '3: 4', '4: 3', '-', '5: undefined', '-', '6: 5', '-', '-', '6: 5']);
	});

	// Guards against an earlier advertisement that arrives late, and against VMs that keep different ones of the same moment.
	it('applies later advertisements of other VMs, and of two with the same number the lower limit', () => {
		const limit = new AdvertisedRateLimit();
		const advertisements = [[2, 5], [1, 9], [2, 6], [2, 4], [2, undefined], [3, undefined], [3, 7]] as const;
		expect(advertisements.map(([sequence, callsPerSecond]) => limit.apply({sequence, callsPerSecond}, 0))).toEqual([true, false, false, true, false, true, true]);
	});
});
