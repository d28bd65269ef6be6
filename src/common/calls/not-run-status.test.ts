/** Status of calls that reached no backend server: callers may repeat a non-idempotent call after 503, not after 502 or 504. */
import {expect} from 'earl';
import {
	configurationOf, EngineDriver, loadProbesIn, requestOf, startIn,
} from './engine-driver.test.ts';
import {
	type AttemptFailure, type CallEffect, type CallRequest, type CallRule,
} from './types.ts';

const rule: CallRule = {
	route: 'orders', isIdempotent: false, timeoutMilliseconds: 300, objectiveMilliseconds: 2000, attemptLimit: 2, priority: 0,
};

/** A call of a caller that has more time than the route allows. */
const patient: Partial<CallRequest> = {rule, timeoutMilliseconds: 5000};

function refusalIn(effects: readonly CallEffect[]): {status: number; outcome: string; hasRetryAfter: boolean} | undefined {
	const refusal = effects.find(effect => effect.type === 'refuse');
	return refusal === undefined
		? undefined
		: {
			status: refusal.status, outcome: refusal.outcome, hasRetryAfter: refusal.retryAfterMilliseconds !== undefined,
		};
}

const repeatable = {status: 503, outcome: 'not-run', hasRetryAfter: true};

function onDemandDriver(serverCount: number): EngineDriver {
	return new EngineDriver(configurationOf(serverCount, {measuring: {mode: 'on-demand', callsPerWindow: 10_000}}));
}

describe('the status of a call that reached no backend server', () => {
	// Guards callers against a lost order: after 504 they may not repeat it.
	it('is 503 if the deadline passes while the call is queued', () => {
		const driver = new EngineDriver(configurationOf(1));
		driver.handle({type: 'placing-held', isHeld: true});
		driver.handle({type: 'call-arrived', request: requestOf(1, patient)});
		expect(refusalIn(driver.passTime(400))).toEqual(repeatable);
	});

	it('is 503 if the deadline passes while load probes are pending', () => {
		const driver = onDemandDriver(1);
		const request = requestOf(1, {rule: {...rule, timeoutMilliseconds: 5}, timeoutMilliseconds: 5000});
		expect(loadProbesIn(driver.handle({type: 'call-arrived', request}))).toHaveLength(1);
		expect(refusalIn(driver.passTime(6))).toEqual(repeatable);
	});

	it('is 503 if the deadline passes while a connection is being opened', () => {
		const driver = new EngineDriver(configurationOf(1));
		driver.start(requestOf(1, patient));
		expect(refusalIn(driver.passTime(400))).toEqual(repeatable);
	});

	// Guards callers against a delay that they cannot use: their own time is over.
	it('is 503 without Retry-After if the caller has no time left', () => {
		const driver = new EngineDriver(configurationOf(1));
		driver.start(requestOf(1, {rule, timeoutMilliseconds: 200}));
		expect(refusalIn(driver.passTime(400))).toEqual({...repeatable, hasRetryAfter: false});
	});

	for (const failure of ['connection-refused', 'unreachable', 'not-sent', 'no-relay'] satisfies AttemptFailure[]) {
		it(`is 503 if each attempt ends as ${failure}`, () => {
			const driver = new EngineDriver(configurationOf(2, {retryShare: 1}));
			const first = driver.start(requestOf(1, patient))!;
			const retry = startIn(driver.fail(first.attemptId, failure))!;
			expect(refusalIn(driver.fail(retry.attemptId, failure))).toEqual(repeatable);
		});
	}

	it('is 503 with on-demand probing if no backend server answers a load probe or accepts a connection', () => {
		const driver = onDemandDriver(1);
		let effects: readonly CallEffect[] = driver.handle({type: 'call-arrived', request: requestOf(1, patient)});
		const seen: CallEffect[] = [...effects];
		for (let step = 0; step < 80; step++) {
			const start = startIn(effects);
			effects = start === undefined ? driver.passTime(5) : driver.fail(start.attemptId, 'connection-refused');
			seen.push(...effects);
		}

		expect(refusalIn(seen)).toEqual(repeatable);
	});

	// Guards against a second run: a call that was sent may have run.
	it('stays 504 once the call was sent', () => {
		const driver = new EngineDriver(configurationOf(1));
		driver.sent(driver.start(requestOf(1, patient))!.attemptId);
		expect(refusalIn(driver.passTime(400))).toEqual({status: 504, outcome: 'unknown', hasRetryAfter: false});
	});

	it('stays 502 if the connection was reset after sending', () => {
		const driver = new EngineDriver(configurationOf(1));
		const {attemptId} = driver.start(requestOf(1, patient))!;
		driver.sent(attemptId);
		expect(refusalIn(driver.fail(attemptId, 'reset-after-sending'))).toEqual({status: 502, outcome: 'unknown', hasRetryAfter: false});
	});
});
