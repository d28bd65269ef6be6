import {expect} from 'earl';
import {
	configurationOf, EngineDriver, linesOf, requestOf,
} from './engine-driver.test.ts';

describe('guards of the call engine', () => {
	it('never starts a call again whose body is gone', () => {
		// A caller sends an order of many megabytes. The connection to the backend server is refused. The body
		// was not kept: sent again, the order would go out without it, or as half of it.
		const driver = new EngineDriver(configurationOf(3, {retryShare: 1}));
		const first = driver.start(requestOf(1))!;
		const effects = driver.handle({
			type: 'attempt-failed', attemptId: first.attemptId, failure: 'connection-refused', isReplayable: false, bytesPassedOn: 0,
		});
		expect(linesOf(effects)).toEqual(['refuse backend-server-failed not-run 502', 'call-ended']);
	});

	it('refuses orders while its configuration may be old, and serves reads', () => {
		// A VM hears neither the store nor any other VM. Meanwhile an operator moves a service to other backend
		// servers. An order placed by the old configuration would be run where nobody looks for it.
		const driver = new EngineDriver(configurationOf(3));
		driver.handle({type: 'cut-off', isCutOff: true});
		expect(linesOf(driver.handle({type: 'call-arrived', request: requestOf(1)}))).toEqual(['refuse not-ready not-run 503', 'call-ended']);
		expect(linesOf(driver.handle({type: 'call-arrived', request: requestOf(2, {method: 'GET'})}))).toEqual(['start-attempt']);
	});
});
