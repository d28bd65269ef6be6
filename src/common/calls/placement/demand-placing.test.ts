import {expect} from 'earl';
import {seededRandom} from '../../random/random.ts';
import {
	answerLoadProbes as answer, configurationOf, EngineDriver, linesOf, type LoadProbeStart, loadProbesIn, reportOf, requestOf, type Start, startIn,
} from '../engine-driver.test.ts';
import {DefaultCallEngine} from '../call-engine.ts';
import {type CallEffect, type CallRule} from '../types.ts';

const rule: CallRule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, attemptLimit: 3, priority: 0,
};

/** An engine whose only service is measured on demand, with a budget large enough for the test. */
function driverOf(serverCount: number, callsPerWindow = 10_000): EngineDriver {
	return new EngineDriver(configurationOf(serverCount, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow}}));
}

function readOf(callId: number, changes: Partial<CallRule> = {}) {
	return requestOf(callId, {
		method: 'GET', bodyBytes: 0, timeoutMilliseconds: 1200, rule: {...rule, ...changes},
	});
}

const quiet = () => reportOf('p', {workTimeFactor: 1});
const slow = () => reportOf('p', {workTimeFactor: 7});

describe('placement with on-demand measuring', () => {
	// Guards calls against backend servers that neighbours slow down for half a second at a time.
	it('probes a few backend servers and chooses the one that is quiet now', () => {
		const driver = driverOf(10);
		const measures = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)}));
		expect(measures.length).toEqual(4);
		const quietServer = measures[2]!.identity;
		const start = startIn(answer(driver, measures, identity => identity === quietServer ? quiet() : slow()));
		expect(start?.identity).toEqual(quietServer);
	});

	it('probes no backend server with a fresh report again, and shares a probe between calls', () => {
		const driver = driverOf(4);
		const first = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)}));
		const second = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(2)}));
		const starts = answer(driver, first, quiet).filter(effect => effect.type === 'start-attempt');
		driver.now += 20;
		const third = driver.handle({type: 'call-arrived', request: readOf(3)});
		expect([first.length, second.length, starts.length, loadProbesIn(third).length, startIn(third) === undefined]).toEqual([4, 0, 2, 0, false]);
	});

	// Guards VMs of large fleets, whose processors are small, against work per call that grows with the number of backend
	// servers.
	it('scores only a few of many backend servers for a call', () => {
		const source = seededRandom(1);
		let draws = 0;
		const random = {
			next() {
				draws++;
				return source.next();
			},
		};
		const engine = new DefaultCallEngine({random, settings: {dataCentre: 'north'}});
		engine.handle({type: 'configured', configuration: configurationOf(1000, {measuring: {mode: 'on-demand'}})}, 0);
		draws = 0;
		engine.handle({type: 'call-arrived', request: readOf(1)}, 0);
		expect(draws).toBeLessThanOrEqual(60);
	});

	// Guards calls against waiting for load reports that do not arrive.
	it('waits for reports for a few milliseconds only', () => {
		const driver = driverOf(3);
		driver.handle({type: 'call-arrived', request: readOf(1)});
		const effects = driver.passTime(40);
		expect(startIn(effects) === undefined).toEqual(false);
	});

	// Guards the probing budget against a burst of calls.
	it('stays within the budget in a burst and still places all calls', () => {
		const driver = driverOf(4, 100);
		let measured = 0;
		let started = 0;
		for (let call = 1; call <= 200; call++) {
			const effects = driver.handle({type: 'call-arrived', request: readOf(call)});
			const measures = loadProbesIn(effects);
			measured += measures.length;
			const all = [...effects, ...answer(driver, measures, quiet), ...driver.passTime(50)];
			const starts = all.filter((effect): effect is Start => effect.type === 'start-attempt');
			started += starts.length;
			for (const start of starts) {
				driver.answer(start.attemptId, quiet());
			}
		}

		expect([measured <= 4 * (100 + 12), started]).toEqual([true, 200]);
	});

	// Guards calls against being placed at once while all backend servers are slow for a moment.
	it('waits a moment when no backend server can answer within the objective', () => {
		const driver = driverOf(4);
		const measures = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)}));
		const atOnce = answer(driver, measures, slow);
		const later = driver.passTime(65);
		const placed = answer(driver, loadProbesIn(later), quiet);
		expect([startIn(atOnce) === undefined, startIn(later) === undefined, startIn(placed) === undefined]).toEqual([true, true, false]);
	});

	// Guards callers against being held until their deadline when no backend server has room.
	it('refuses within a third of the objective when all backend servers are full', () => {
		const driver = driverOf(4);
		const full = () => reportOf('p', {inFlight: 6, queued: 4, workTimeFactor: 1});
		const effects = [...driver.handle({type: 'call-arrived', request: readOf(1)})];
		let refusal: (CallEffect & {type: 'refuse'}) | undefined;
		while (refusal === undefined && driver.now < 1000) {
			effects.push(...answer(driver, loadProbesIn(effects.splice(0)), full), ...driver.passTime(5));
			refusal = effects.find((effect): effect is CallEffect & {type: 'refuse'} => effect.type === 'refuse');
		}

		expect([refusal?.status, refusal?.outcome, refusal?.retryAfterMilliseconds === undefined, driver.now <= 110]).toEqual([503, 'not-run', false, true]);
	});

	// Guards calls that can be in time against late ones that take the only fast backend server.
	it('sends a call that will be late anyway to a slow backend server and leaves the fast one to others', () => {
		const driver = driverOf(2);
		const request = readOf(1, {objectiveMilliseconds: 40});
		const effects = [...driver.handle({type: 'call-arrived', request})];
		let start: Start | undefined;
		while (start === undefined && driver.now < 500) {
			effects.push(
				...answer(driver, loadProbesIn(effects.splice(0)), identity => identity === 'identity-0' ? reportOf('p', {workTimeFactor: 7}) : reportOf('p', {workTimeFactor: 3})),
				...driver.passTime(5),
			);
			start = startIn(effects);
		}

		expect(start?.identity).toEqual('identity-0');
	});

	// Guards first calls against retries of callers that will be late wherever they are placed.
	it('recognises a retry by its remaining time, and does not give it a fast backend server', () => {
		const driver = driverOf(2);
		for (let call = 10; call < 20; call++) {
			const start = startIn(answer(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(call)})), quiet))!;
			driver.answer(start.attemptId, quiet());
			driver.now += 200;
		}

		const effects = [...driver.handle({type: 'call-arrived', request: {...readOf(2), timeoutMilliseconds: 850}})];
		const start = startIn(answer(driver, loadProbesIn(effects), identity => reportOf('p', {workTimeFactor: identity === 'identity-0' ? 4 : 1})));
		expect(start?.identity).toEqual('identity-0');
	});

	// Guards calls against queueing at a backend server while a free slot elsewhere is about to appear.
	it('waits for a free slot, and queues at a backend server only after its wait', () => {
		const driver = driverOf(2);
		const justFull = () => reportOf('p', {inFlight: 6, workTimeFactor: 0.8});
		const effects = driver.handle({type: 'call-arrived', request: readOf(1)});
		const atOnce = startIn(answer(driver, loadProbesIn(effects), justFull));
		let start: Start | undefined;
		while (start === undefined && driver.now < 200) {
			const passed = driver.passTime(5);
			start = startIn([...passed, ...answer(driver, loadProbesIn(passed), justFull)]);
		}

		expect([atOnce, start === undefined, driver.now >= 75]).toEqual([undefined, false, true]);
	});

	// Guards calls against an old report that looks better than the fresh ones.
	it('prefers fresh reports to an old one that looks better', () => {
		const driver = driverOf(5);
		const before = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)}));
		answer(driver, before, quiet);
		driver.now += 2000;
		const measures = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(2)}));
		const probed = new Set(measures.map(({identity}) => identity));
		const start = startIn([
			...answer(driver, measures, () => reportOf('p', {inFlight: 4, workTimeFactor: 1.2})), ...driver.passTime(20),
		]);
		expect([start === undefined, start !== undefined && probed.has(start.identity)]).toEqual([false, true]);
	});

	// Guards the objective of an idempotent call against a neighbour that starts during the call.
	it('hedges an idempotent call in time for its objective', () => {
		const driver = driverOf(4);
		startIn(answer(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)})), quiet));
		const effects = driver.passTime(160);
		const second = startIn([...effects, ...answer(driver, loadProbesIn(effects), quiet)]);
		expect(second === undefined).toEqual(false);
	});

	it('does not hedge a call that may run only once', () => {
		const driver = driverOf(4);
		answer(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1, {isIdempotent: false})})), quiet);
		expect(loadProbesIn(driver.passTime(400))).toEqual([]);
	});
});

/** As many backend servers in the VM's own data centre, `north`, as in `south`; the first half is in `north`. */
function inTwoDataCentres(serverCount: number): EngineDriver {
	const configuration = configurationOf(serverCount, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}});
	const backendServers = new Map(Array.from(configuration.backendServers, ([identity, server], index) => [
		identity, {...server, dataCentre: index < serverCount / 2 ? 'north' : 'south'},
	]));
	return new EngineDriver({...configuration, backendServers});
}

describe('probes and traffic between data centres', () => {
	const areLocal = (measures: readonly LoadProbeStart[]) => measures.map(({identity}) => Number(identity.slice('identity-'.length)) < 3);

	// Guards against traffic between data centres for probes that the local data centre can answer.
	it('use the local data centre alone if it has a suitable backend server', () => {
		const driver = inTwoDataCentres(6);
		const measures = loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)}));
		const effects = answer(driver, measures, quiet);
		expect([areLocal(measures), loadProbesIn(effects).length, startIn(effects) === undefined]).toEqual([[true, true, true], 0, false]);
	});

	// Guards calls against slow local backend servers while remote ones are fast.
	it('use the other data centres if the local one has no suitable backend server', () => {
		const driver = inTwoDataCentres(6);
		const second = loadProbesIn(answer(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1)})), slow));
		const start = startIn(answer(driver, second, quiet));
		expect([areLocal(second), start !== undefined && Number(start.identity.slice('identity-'.length)) >= 3]).toEqual([[false, false, false], true]);
	});
});

describe('a hedge while the first attempt is in the last slot', () => {
	// Guards slots against second attempts for answers that are about to arrive.
	it('waits until the first attempt is no longer likely to be in time', () => {
		const driver = driverOf(4);
		for (let call = 10; call < 40; call++) {
			const start = placed(driver, driver.handle({type: 'call-arrived', request: readOf(call)}))!;
			driver.now += 100;
			driver.answer(start.attemptId, quiet());
		}

		driver.now += 1000;
		const lastSlot = () => reportOf('p', {inFlight: 5, workTimeFactor: 1});
		const effects = [...driver.handle({type: 'call-arrived', request: readOf(1, {objectiveMilliseconds: 400})})];
		const first = startIn([...answer(driver, loadProbesIn(effects), lastSlot), ...driver.passTime(20)]);
		expect([first === undefined, loadProbesIn(driver.passTime(140)).length]).toEqual([false, 0]);
	});
});

/** The attempt that follows from these effects if every backend server reports that it is idle. */
function placed(driver: EngineDriver, effects: readonly CallEffect[]): Start | undefined {
	const all = [...effects, ...answer(driver, loadProbesIn(effects), quiet), ...driver.passTime(30)];
	return startIn([...all, ...answer(driver, loadProbesIn(all), quiet)]);
}

describe('backend servers that shed calls although they have room', () => {
	// Guards calls against being refused without an attempt where all backend servers shed at the same rate.
	it('still get attempts if all of them shed alike', () => {
		const driver = driverOf(4);
		let attempts = 0;
		let refused = 0;
		for (let call = 1; call <= 60; call++) {
			const start = placed(driver, driver.handle({type: 'call-arrived', request: readOf(call, {attemptLimit: 1})}));
			if (start === undefined) {
				refused++;
				continue;
			}

			attempts++;
			if (call % 2 === 0) {
				driver.answer(start.attemptId, quiet());
			} else {
				driver.head(start.attemptId, {status: 503, isDeclaredNotRun: true, report: quiet()});
			}
		}

		expect([attempts >= 58, refused <= 2]).toEqual([true, true]);
	});

	// Guards callers of a shed call against a retry delay that is too long for their objective.
	it('make callers retry at once', () => {
		const driver = driverOf(2);
		const start = startIn(answer(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1, {attemptLimit: 1})})), quiet))!;
		const refusal = driver.head(start.attemptId, {status: 503, isDeclaredNotRun: true, report: quiet()})
			.find((effect): effect is CallEffect & {type: 'refuse'} => effect.type === 'refuse');
		expect([refusal?.outcome, refusal !== undefined && refusal.retryAfterMilliseconds! <= 10]).toEqual(['not-run', true]);
	});

	// Guards calls against one backend server that sheds and reports itself idle.
	it('get few calls if the others do not shed', () => {
		const driver = driverOf(4);
		let shed = 0;
		for (let call = 1; call <= 60; call++) {
			const start = placed(driver, driver.handle({type: 'call-arrived', request: readOf(call)}))!;
			if (start.identity === 'identity-0') {
				shed++;
				const again = placed(driver, driver.head(start.attemptId, {status: 503, isDeclaredNotRun: true, report: quiet()}));
				driver.answer(again!.attemptId, quiet());
			} else {
				driver.answer(start.attemptId, quiet());
			}
		}

		expect(shed <= 6).toEqual(true);
	});
});

describe('the rule of a route', () => {
	it('ends a call at the route\'s timeout', () => {
		const driver = driverOf(1);
		const start = startIn(answer(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1, {timeoutMilliseconds: 500, isIdempotent: false})})), quiet))!;
		driver.sent(start.attemptId);
		driver.passTime(490);
		expect(linesOf(driver.passTime(20))).toEqual(['cancel-attempt', 'refuse deadline-exceeded unknown 504', 'call-ended']);
	});

	// Guards backend servers against a call that crashes them, beyond the attempts that its route allows.
	it('bounds the backend servers that a call is sent to', () => {
		const driver = driverOf(6);
		const seen: string[] = [];
		let start = startIn(answer(driver, loadProbesIn(driver.handle({type: 'call-arrived', request: readOf(1, {attemptLimit: 2})})), quiet));
		while (start !== undefined) {
			seen.push(start.identity);
			driver.sent(start.attemptId);
			const effects = driver.fail(start.attemptId, 'reset-after-sending');
			start = startIn([...effects, ...answer(driver, loadProbesIn(effects), quiet)]);
		}

		expect(seen.length).toEqual(2);
	});
});

describe('a status that callers read as "not run"', () => {
	// Guards callers against a bare 503 for a call that has run: they would conclude that it has not run.
	it('is not passed on without the backend server\'s word', () => {
		const driver = new EngineDriver(configurationOf(1), {}, 1, {notRunStatuses: new Set([503])});
		const start = driver.start(requestOf(1))!;
		driver.sent(start.attemptId);
		expect(linesOf(driver.head(start.attemptId, {status: 503}))).toEqual(['cancel-attempt', 'refuse outcome-unknown unknown 502', 'call-ended']);
	});
});
