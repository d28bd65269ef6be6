import {expect} from 'earl';
import {
	configurationOf, EngineDriver, linesOf, requestOf, type Start,
} from './engine-driver.test.ts';

describe('a download that goes on elsewhere', () => {
	it('gets the time of a call again, and breaks off when nothing comes', () => {
		// A landing engineer downloads a map for a minute; then its backend server dies. The download is taken up
		// elsewhere, over a connection that is lost track of: no head ever comes. The call's deadline passed long
		// ago: the new attempt was given one millisecond, and with nothing left to end it the engineer waited
		// without end.
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
});
