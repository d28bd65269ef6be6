import {expect} from 'earl';
import {type CallRule} from '../types.ts';
import {RetryingCallers} from './retrying-callers.ts';

const rule: CallRule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, attemptLimit: 3, priority: 0,
};

function callersAfter(times: readonly number[]): RetryingCallers {
	const callers = new RetryingCallers();
	for (const time of times) {
		callers.timeSpentBefore(time, rule);
	}

	return callers;
}

describe('retrying callers', () => {
	it('have spent the difference to the usual timeout', () => {
		expect(callersAfter([1190, 1178, 1191, 1179, 1190]).timeSpentBefore(700, rule)).toEqual(490);
	});

	it('are not detected before there are enough samples', () => {
		expect(callersAfter([1190, 1190]).timeSpentBefore(700, rule)).toEqual(0);
	});

	// Guards first tries against a few callers with long timeouts, compared with which all others would look like retries.
	it('are not detected by comparison with a few callers with far longer timeouts', () => {
		const callers = callersAfter([2992, 1190, 1178, 2993, 1191, 1179, 1190, 2992, 1178, 1178, 1190]);
		expect([callers.timeSpentBefore(1178, rule), callers.timeSpentBefore(993, rule), callers.timeSpentBefore(2992, rule)]).toEqual([0, 0, 0]);
	});

	// Guards the usual timeout against a burst in which most callers are retrying.
	it('are detected also if they are more than half of all callers', () => {
		const callers = callersAfter([1190, 700, 650, 1190, 720, 690, 1178, 640, 1190, 700, 1190]);
		expect(callers.timeSpentBefore(700, rule) > 0).toEqual(true);
	});

	it('are compared with callers of the same rule only', () => {
		expect(callersAfter([1190, 1190, 1190, 1190, 1190]).timeSpentBefore(700, {...rule, objectiveMilliseconds: 200})).toEqual(0);
	});
});
