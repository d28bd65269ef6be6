import {expect} from 'earl';
import {
	configurationOf, EngineDriver, reportOf, requestOf,
} from '../engine-driver.test.ts';
import {type CallConfiguration} from '../types.ts';

/** A configuration with one backend server whose process started at this time. */
function configurationStartedAt(processStartedAt: number, version: number, changes: {readonly isLeaving?: boolean} = {}): CallConfiguration {
	const configuration = configurationOf(1);
	return {
		...configuration,
		version,
		backendServers: new Map(Array.from(configuration.backendServers, ([identity, server]) => [identity, {...server, processStartedAt, ...changes}])),
	};
}

describe('a process that restarts under the same identity', () => {
	// Guards a restarted backend server against the reports and the leaving state of its previous process.
	it('has none of the state of the previous process', () => {
		const driver = new EngineDriver(configurationStartedAt(1000, 1));
		const first = driver.start(requestOf(1))!;
		driver.answer(first.attemptId, reportOf('identity-0', {inFlight: 6, queued: 9, isLeaving: true}));
		const whileLeaving = driver.start(requestOf(2));
		driver.handle({type: 'configured', configuration: configurationStartedAt(2000, 2)});
		expect([whileLeaving, driver.engine.status(driver.now).backendServers.map(({state, reportedInFlight}) => `${state} ${reportedInFlight}`)])
			.toEqual([undefined, ['warming undefined']]);
		expect(driver.start(requestOf(3))?.processStartedAt).toEqual(2000);
	});

	// Guards the load report of a process against a declaration that does not belong to a later process.
	it('keeps its state when the same start time is declared again', () => {
		const driver = new EngineDriver(configurationStartedAt(2000, 1));
		const first = driver.start(requestOf(1))!;
		driver.answer(first.attemptId, reportOf('identity-0', {inFlight: 2}));
		driver.handle({type: 'configured', configuration: configurationStartedAt(2000, 2)});
		expect(driver.engine.status(driver.now).backendServers[0]?.reportedInFlight).toEqual(2);
	});

	// Guards a non-idempotent call on the previous process against a second run and against a wrong outcome "not-run".
	it('leaves non-idempotent calls of the previous process open, since they may have run', () => {
		const driver = new EngineDriver(configurationStartedAt(1000, 1));
		const order = driver.start(requestOf(1))!;
		driver.sent(order.attemptId);
		const effects = driver.handle({type: 'configured', configuration: configurationStartedAt(2000, 2)});
		expect([effects.length, driver.fail(order.attemptId, 'reset-after-sending').map(({type}) => type)]).toEqual([0, ['refuse', 'call-ended']]);
	});

	// Guards an idempotent call against waiting for a process that has ended.
	it('gets hedges of the reads of the previous process at once', () => {
		const driver = new EngineDriver(configurationStartedAt(1000, 1));
		for (let call = 10; call < 80; call++) {
			driver.answer(driver.start(requestOf(call, {method: 'GET', bodyBytes: 0}))!.attemptId);
		}

		const read = driver.start(requestOf(1, {method: 'GET', bodyBytes: 0}))!;
		driver.sent(read.attemptId);
		const effects = driver.handle({type: 'configured', configuration: configurationStartedAt(2000, 2)});
		expect(effects.map(effect => effect.type === 'start-attempt' ? [effect.callId, effect.processStartedAt] : effect.type)).toEqual([[1, 2000]]);
	});

	it('ignores the report on a late answer of the previous process', () => {
		const driver = new EngineDriver(configurationStartedAt(1000, 1));
		const order = driver.start(requestOf(1))!;
		driver.handle({type: 'configured', configuration: configurationStartedAt(2000, 2)});
		driver.answer(order.attemptId, reportOf('identity-0', {inFlight: 6, queued: 9}));
		expect(driver.engine.status(driver.now).backendServers[0]?.reportedInFlight).toEqual(undefined);
	});
});
