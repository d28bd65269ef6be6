/** Calls that will hardly meet their objective while backend servers have room. */
import {expect} from 'earl';
import {
	answerLoadProbes, configurationOf, EngineDriver, linesOf, loadProbesIn, reportOf, requestOf, type Start, startIn,
} from '../engine-driver.test.ts';
import {
	type CallEffect, type CallRequest, type CallRule, type LoadReport,
} from '../types.ts';

const rule: CallRule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 8000, objectiveMilliseconds: 2500, attemptLimit: 3, priority: 0,
};

/** Work time of the calls from which the VM learns the cost of the service's calls. */
const usualWorkMilliseconds = 950;

const quiet = () => reportOf('p', {workTimeFactor: 1});

function readOf(callId: number, changes: Partial<CallRule> = {}, timeoutMilliseconds = 8000): CallRequest {
	return requestOf(callId, {
		method: 'GET', path: `/prefix9/${callId}`, bodyBytes: 0, timeoutMilliseconds, rule: {...rule, ...changes},
	});
}

/** A VM that has completed a dozen calls of the route `reads`. */
function trainedDriver(): EngineDriver {
	const driver = new EngineDriver(configurationOf(8, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}}));
	for (let call = 100; call < 112; call++) {
		const start = startIn(answerLoadProbes(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(call)})), quiet))!;
		driver.now += usualWorkMilliseconds;
		driver.answer(start.attemptId, quiet());
	}

	return driver;
}

/**
 * The first attempt and the refusals of a call within a third of a second; by default every backend server is quiet and empty.
 */
function runCall(driver: EngineDriver, request: CallRequest, reportFor: (identity: string) => LoadReport = quiet): {start: Start | undefined; lines: string[]} {
	const effects: CallEffect[] = [];
	let newEffects: readonly CallEffect[] = driver.handle({type: 'call-arrived', request});
	for (let step = 0; step < 70; step++) {
		effects.push(...newEffects);
		newEffects = [...answerLoadProbes(driver, loadProbesIn(newEffects), reportFor), ...driver.passTime(5)];
	}

	return {start: startIn(effects), lines: linesOf(effects).filter(line => line.startsWith('refuse'))};
}

describe('a queued call that can no longer be in time', () => {
	/** Refusals of calls that arrive at once while all backend servers are full, with the time to the nearest 50 ms. */
	function refusals(...calls: CallRequest[]): string[] {
		const driver = trainedDriver();
		const full = () => reportOf('p', {workTimeFactor: 1, inFlight: 100, queued: 10});
		let effects = calls.flatMap(request => driver.handle({type: 'call-arrived', request}));
		const start = driver.now;
		const seen: string[] = [];
		for (let step = 0; step < 200; step++) {
			for (const effect of effects) {
				if (effect.type === 'refuse') {
					seen.push(`${effect.callId} ${effect.reason} after ${Math.round((driver.now - start) / 50) * 50}`);
				}
			}

			effects = [...answerLoadProbes(driver, loadProbesIn(effects), full), ...driver.passTime(5)];
		}

		return seen;
	}

	// Guards calls that can be in time against late ones that take a place before them, and callers against a useless wait.
	it('is refused as soon as that is known while calls that can be in time wait', () => {
		// The work takes 950 ms, of which 0.7 of the objective of 1,200 ms are assumed. The late call can be in time until 360 ms
		// after its arrival, and a call may wait 400 ms. The urgent calls before it keep it from being tried.
		const urgent = Array.from({length: 60}, (_, index) => ({...readOf(index + 1), priority: 0}));
		const late = {...readOf(99, {objectiveMilliseconds: 1200}), priority: 1};
		expect(refusals(...urgent, late).find(line => line.startsWith('99'))).toEqual('99 overloaded after 350');
	});
});

describe('a call that will hardly meet its objective', () => {
	// Guards calls of a new route against estimates from the other routes of its service.
	it('is served at once on a route without any samples', () => {
		const {start, lines} = runCall(trainedDriver(), readOf(1, {route: 'added', timeoutMilliseconds: 1000, objectiveMilliseconds: 1000}, 900));
		expect([start === undefined, lines]).toEqual([false, []]);
	});

	// Guards a route whose work has a tail: its first answer took seven times as long as usual, and a quarter of the backend servers are idle.
	it('is served at once after a first answer that took unusually long', () => {
		const driver = new EngineDriver(configurationOf(8, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}}));
		const changes = {route: 'lookups', timeoutMilliseconds: 1200, objectiveMilliseconds: 332};
		const first = startIn(answerLoadProbes(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1, changes, 2700)})), quiet))!;
		driver.now += 980;
		driver.answer(first.attemptId, quiet());
		const mostlyBusy = (identity: string) => reportOf('p', {workTimeFactor: 1, inFlight: identity === 'identity-0' || identity === 'identity-1' ? 0 : 6});
		const {lines} = runCall(driver, readOf(2, changes, 2700), mostlyBusy);
		expect([lines, runCall(driver, readOf(3, changes, 2700), mostlyBusy).start === undefined]).toEqual([[], false]);
	});

	// Guards late calls against being refused while backend servers are half empty.
	it('is served late if backend servers are half empty', () => {
		const {start, lines} = runCall(trainedDriver(), readOf(1, {}, 1200));
		expect([start === undefined, lines]).toEqual([false, []]);
	});

	// Guards callers against an attempt that cannot end before their deadline.
	it('is refused if calls of its own route take longer than its remaining time', () => {
		const {start, lines} = runCall(trainedDriver(), readOf(1, {}, 300));
		expect([start, lines]).toEqual([undefined, ['refuse overloaded not-run 503']]);
	});

	// Guards memory and the other routes against data of routes that are gone.
	it('is treated as one of a new route once its route was dropped as the least recently called', () => {
		const driver = trainedDriver();
		for (let call = 200; call < 240; call++) {
			runCall(driver, readOf(call, {route: `route-${call}`}));
		}

		const {start} = runCall(driver, readOf(1, {}, 900));
		expect(start === undefined).toEqual(false);
	});
});
