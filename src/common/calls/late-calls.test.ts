/** Calls that will hardly meet their objective, while there is room. */
import {expect} from 'earl';
import {
	answerMeasures, configurationOf, EngineDriver, linesOf, measuresOf, reportOf, requestOf, type Start, startIn,
} from './engine-driver.test.ts';
import {type CallEffect, type CallRequest, type CallRule} from './types.ts';

const rule: CallRule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 8000, objectiveMilliseconds: 2500, mostAttempts: 3, priority: 0,
};

/** Work of the calls that have taught the VM what this service's calls cost. */
const usualWork = 950;

const quiet = () => reportOf('p', {workTimeFactor: 1});

function readOf(callId: number, changes: Partial<CallRule> = {}, timeoutMilliseconds = 8000): CallRequest {
	return requestOf(callId, {
		method: 'GET', path: `/prefix9/${callId}`, bodyBytes: 0, timeoutMilliseconds, rule: {...rule, ...changes},
	});
}

/** A VM that has seen a dozen calls of the route `reads`. */
function taughtDriver(): EngineDriver {
	const driver = new EngineDriver(configurationOf(8, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}}));
	for (let call = 100; call < 112; call++) {
		const start = startIn(answerMeasures(driver, measuresOf(driver.handle({type: 'call-arrived', request: readOf(call)})), quiet))!;
		driver.now += usualWork;
		driver.answer(start.attemptId, quiet());
	}

	return driver;
}

/** What follows for a call within a third of a second, while every backend server is quiet and empty. */
function follow(driver: EngineDriver, request: CallRequest): {start: Start | undefined; lines: string[]} {
	const effects: CallEffect[] = [];
	let fresh: readonly CallEffect[] = driver.handle({type: 'call-arrived', request});
	for (let step = 0; step < 70; step++) {
		effects.push(...fresh);
		fresh = [...answerMeasures(driver, measuresOf(fresh), quiet), ...driver.passTime(5)];
	}

	return {start: startIn(effects), lines: linesOf(effects).filter(line => line.startsWith('refuse'))};
}

describe('a call that will hardly meet its objective', () => {
	// Story: an operator adds a route with a short timeout to a service whose other calls take a second. Its calls are quick,
	// but the VM takes them for as long as the others, and refuses each while every backend server is idle. What an
	// operator sees: the new route answers 503, and the old ones are well.
	it('is served at once on a route of which nothing is known yet', () => {
		const {start, lines} = follow(taughtDriver(), readOf(1, {route: 'added', timeoutMilliseconds: 1000, objectiveMilliseconds: 1000}, 900));
		expect([start === undefined, lines]).toEqual([false, []]);
	});

	// Story: a caller comes back with 1.2 s left for a call that takes 0.95 s as a rule. Nobody else wants the slots, and
	// it is told that there is no room.
	it('is served late where backend servers are half empty', () => {
		const {start, lines} = follow(taughtDriver(), readOf(1, {}, 1200));
		expect([start === undefined, lines]).toEqual([false, []]);
	});

	// Story: a caller has 0.3 s left for a call that has never taken less than 0.9 s on this route. Sent on, it ends without
	// an answer, and its caller doesn't even know whether it ran.
	it('is refused where its own route has shown that it takes longer than it has', () => {
		const {start, lines} = follow(taughtDriver(), readOf(1, {}, 300));
		expect([start, lines]).toEqual([undefined, ['refuse overloaded not-run 503']]);
	});

	// Story: operators add and remove routes all day. Remembered for good, each would take memory, and those of today would
	// share what was learnt for the first few.
	it('forgets the routes that were called longest ago', () => {
		const driver = taughtDriver();
		for (let call = 200; call < 240; call++) {
			follow(driver, readOf(call, {route: `route-${call}`}));
		}

		const {start} = follow(driver, readOf(1, {}, 900));
		expect(start === undefined).toEqual(false);
	});
});
