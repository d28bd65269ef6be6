import {expect} from 'earl';
import {
	configurationOf, EngineDriver, linesOf, requestOf,
} from './engine-driver.test.ts';

describe('guards of the call engine', () => {
	it('never retries a call whose body is not buffered', () => {
		// A call with a large body gets a refused connection, and the body was not kept. A retry would send the call without
		// its body or with a part of it.
		const driver = new EngineDriver(configurationOf(3, {retryShare: 1}));
		const first = driver.start(requestOf(1))!;
		const effects = driver.handle({
			type: 'attempt-failed', attemptId: first.attemptId, failure: 'connection-refused', isReplayable: false, bytesPassedOn: 0,
		});
		expect(linesOf(effects)).toEqual(['refuse backend-server-failed not-run 503', 'call-ended']);
	});

	it('refuses non-idempotent calls while its configuration may be outdated, and serves reads', () => {
		// A VM that has lost contact with the store and all other VMs misses that an operator moves a service to other
		// backend servers. It would run non-idempotent calls on backend servers that the service no longer uses.
		const driver = new EngineDriver(configurationOf(3));
		driver.handle({type: 'cut-off', isCutOff: true});
		expect(linesOf(driver.handle({type: 'call-arrived', request: requestOf(1)}))).toEqual(['refuse not-ready not-run 503', 'call-ended']);
		expect(linesOf(driver.handle({type: 'call-arrived', request: requestOf(2, {method: 'GET'})}))).toEqual(['start-attempt']);
	});
});
