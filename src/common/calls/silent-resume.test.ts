import {expect} from 'earl';
import {
	configurationOf, EngineDriver, linesOf, requestOf, startIn, type Start,
} from './engine-driver.test.ts';

describe('a download that resumes on another backend server', () => {
	it('gets the full timeout of a call again and is aborted without a head by then', () => {
		// After a minute of a download, the backend server crashes. The download resumes on another one over a dead connection,
		// so no head ever arrives. The deadline of the call has passed long ago. Guards against a resume attempt that gets a
		// timeout of one millisecond, and against a caller that waits forever because no timer is left to end the call.
		const driver = new EngineDriver(configurationOf(3, {retryShare: 1}));
		const first = driver.start(requestOf(1, {method: 'GET'}))!;
		driver.sent(first.attemptId);
		driver.head(first.attemptId, {validator: '"1"'});
		driver.now = 60_000;
		const effects = driver.fail(first.attemptId, 'reset-during-answer', 500);
		const resumed = effects.find((effect): effect is Start => effect.type === 'start-attempt')!;
		expect(resumed.timeoutMilliseconds).toEqual(1000);
		driver.now = 61_000;
		expect(linesOf(driver.handle({type: 'tick'}))).toEqual(['cancel-attempt', 'break-off', 'call-ended']);
	});

	// Guards callers of a route against an answer that goes on elsewhere after the time limit of the route.
	it('gets what is left of its route\'s time limit, and is not resumed after it', () => {
		const driver = new EngineDriver(configurationOf(4, {retryShare: 1}));
		const rule = {
			route: 'films', isIdempotent: true, timeoutMilliseconds: 1000, objectiveMilliseconds: 500, attemptLimit: 3, priority: 0,
		};
		const first = driver.start(requestOf(1, {method: 'GET', rule}))!;
		driver.sent(first.attemptId);
		const forwarded = driver.head(first.attemptId, {validator: '"1"'}).find(effect => effect.type === 'pass-on');
		driver.now = 600;
		const resumed = startIn(driver.fail(first.attemptId, 'reset-during-answer', 500))!;
		driver.head(resumed.attemptId, {status: 206, validator: '"1"'});
		driver.now = 1200;
		expect([forwarded?.timeLimitScope, resumed.timeoutMilliseconds, linesOf(driver.fail(resumed.attemptId, 'late', 900))]).toEqual(['whole', 400, ['break-off', 'call-ended']]);
	});
});
