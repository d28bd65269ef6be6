import {expect} from 'earl';
import {
	answerLoadProbes, configurationOf, EngineDriver, linesOf, loadProbesIn, reportOf, requestOf, startIn,
} from '../engine-driver.test.ts';
import {type CallConfiguration, type CallEffect} from '../types.ts';

const rule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, attemptLimit: 3, priority: 0,
};

/** Backend servers 0 and 1 are in the data centre `north`, the others in `south`. */
function configuration(serverCount: number, evacuated: readonly string[] = [], mode: 'on-demand' | 'paced' = 'on-demand'): CallConfiguration {
	const all = configurationOf(serverCount, {retryShare: 1, measuring: {mode, callsPerWindow: 10_000}});
	return {
		...all,
		backendServers: new Map(Array.from(all.backendServers, ([identity, server], index) => [identity, {...server, dataCentre: index < 2 ? 'north' : 'south'}])),
		evacuatedDataCentres: new Set(evacuated),
	};
}

const quiet = () => reportOf('p', {workTimeFactor: 1});

function readOf(callId: number) {
	return requestOf(callId, {
		method: 'GET', bodyBytes: 0, timeoutMilliseconds: 1200, rule,
	});
}

/** Runs for this long while all load reports are quiet; returns all effects. */
function runWithQuietReports(driver: EngineDriver, effects: readonly CallEffect[], milliseconds = 100): CallEffect[] {
	const all: CallEffect[] = [];
	let next = [...effects];
	for (const end = driver.now + milliseconds; driver.now < end;) {
		all.push(...next);
		next = [...answerLoadProbes(driver, loadProbesIn(next), quiet), ...driver.passTime(5)];
	}

	return [...all, ...next];
}

function serversOf(effects: readonly CallEffect[]): string[] {
	return effects.flatMap(effect => effect.type === 'start-attempt' ? [effect.identity] : []);
}

describe('calls while a data centre is evacuated', () => {
	for (const mode of ['on-demand', 'paced'] as const) {
		// Guards against calls that reach a data centre after operators have ordered its evacuation.
		it(`are placed in the other data centres (${mode} measuring)`, () => {
			const driver = new EngineDriver(configuration(4, ['north'], mode));
			const effects = Array.from({length: 40}, (_, index) => runWithQuietReports(driver, driver.handle({type: 'call-arrived', request: readOf(index)}), 10)).flat();
			expect([...new Set(serversOf(effects))].toSorted()).toEqual(['identity-2', 'identity-3']);
		});
	}

	it('return once the evacuation has ended', () => {
		const driver = new EngineDriver(configuration(2, ['north']));
		driver.handle({type: 'configured', configuration: configuration(2)});
		expect(serversOf(runWithQuietReports(driver, driver.handle({type: 'call-arrived', request: readOf(1)}))).length).toEqual(1);
	});

	it('send no load probes there', () => {
		const driver = new EngineDriver(configuration(4, ['north']));
		const probed = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)})).map(({identity}) => identity);
		expect(probed.toSorted()).toEqual(['identity-2', 'identity-3']);
	});

	// Guards against an attempt that was being probed for when the evacuation came into force.
	it('are placed elsewhere when probes of the data centre are still outstanding', () => {
		const driver = new EngineDriver(configuration(4));
		const measures = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)}));
		const changed = driver.handle({type: 'configured', configuration: configuration(4, ['north'])});
		const effects = [...changed, ...answerLoadProbes(driver, measures, quiet)];
		expect(serversOf(runWithQuietReports(driver, effects)).filter(identity => identity < 'identity-2')).toEqual([]);
	});

	// Guards against second attempts, which are placed separately from first ones.
	it('are retried and hedged elsewhere', () => {
		const driver = new EngineDriver(configuration(3));
		const first = startIn(runWithQuietReports(driver, driver.handle({type: 'call-arrived', request: readOf(1)}), 20))!;
		driver.sent(first.attemptId);
		driver.handle({type: 'configured', configuration: configuration(3, ['north'])});
		const retried = runWithQuietReports(driver, driver.fail(first.attemptId, 'reset-after-sending'), 50);
		expect(serversOf(retried)).toEqual(['identity-2']);
	});

	it('that already run there may finish', () => {
		const driver = new EngineDriver(configuration(2));
		const first = startIn(runWithQuietReports(driver, driver.handle({type: 'call-arrived', request: readOf(1)}), 20))!;
		driver.sent(first.attemptId);
		const during = driver.handle({type: 'configured', configuration: configuration(2, ['north'])});
		expect([linesOf(during), linesOf(driver.head(first.attemptId))]).toEqual([[], ['pass-on']]);
	});

	// Guards callers against waiting for backend servers that may not be used.
	it('are refused at once, with a retry delay, when no data centre is left', () => {
		const driver = new EngineDriver(configuration(4, ['north', 'south']));
		const [refusal] = driver.handle({type: 'call-arrived', request: readOf(1)});
		expect(refusal?.type === 'refuse' ? [refusal.reason, refusal.outcome, refusal.retryAfterMilliseconds !== undefined] : undefined).toEqual(['no-backend-server', 'not-run', true]);
	});

	it('that wait are refused at once when the last data centre is evacuated', () => {
		const driver = new EngineDriver(configuration(2));
		const full = () => reportOf('p', {inFlight: 6, queued: 4});
		answerLoadProbes(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)})), full);
		const effects = driver.handle({type: 'configured', configuration: configuration(2, ['north'])});
		expect(linesOf(effects)).toEqual(['refuse no-backend-server not-run 503', 'call-ended']);
	});
});
