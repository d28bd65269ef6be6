import {expect} from 'earl';
import {seededRandom} from '../random/random.ts';
import {
	answerMeasures as answer, configurationOf, EngineDriver, linesOf, type Measure, measuresOf, reportOf, requestOf, type Start, startIn,
} from './engine-driver.test.ts';
import {DefaultCallEngine} from './call-engine.ts';
import {type CallEffect, type CallRule} from './types.ts';

const rule: CallRule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, mostAttempts: 3, priority: 0,
};

/** An engine whose only service is measured on demand; it may send as many measuring calls as a test needs. */
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

describe('placing by measuring on demand', () => {
	// Story: neighbours make work on a third of the backend servers seven times as long, for half a second at a time. Placed
	// by reports that came with old answers, every third call is late.
	it('asks a few backend servers and takes the one that is quiet now', () => {
		const driver = driverOf(10);
		const measures = measuresOf(driver.handle({type: 'call-arrived', request: readOf(1)}));
		expect(measures.length).toEqual(4);
		const quietOne = measures[2]!.identity;
		const start = startIn(answer(driver, measures, identity => identity === quietOne ? quiet() : slow()));
		expect(start?.identity).toEqual(quietOne);
	});

	it('asks nobody again whose report is young, and shares one measuring call between calls', () => {
		const driver = driverOf(4);
		const first = measuresOf(driver.handle({type: 'call-arrived', request: readOf(1)}));
		const second = measuresOf(driver.handle({type: 'call-arrived', request: readOf(2)}));
		const starts = answer(driver, first, quiet).filter(effect => effect.type === 'start-attempt');
		driver.now += 20;
		const third = driver.handle({type: 'call-arrived', request: readOf(3)});
		expect([first.length, second.length, starts.length, measuresOf(third).length, startIn(third) === undefined]).toEqual([4, 0, 2, 0, false]);
	});

	// Guards VMs of large fleets, whose processors are small, against work for a call that grows with the backend servers.
	it('scores few of many backend servers for a call', () => {
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

	// Story: backend servers fall silent, or a VM is busy: reports do not come. A call that waits for them to its deadline
	// is lost though any backend server could have run it.
	it('waits for reports some milliseconds only', () => {
		const driver = driverOf(3);
		driver.handle({type: 'call-arrived', request: readOf(1)});
		const effects = driver.passTime(40);
		expect(startIn(effects) === undefined).toEqual(false);
	});

	// Story: a rush brings a hundred calls at once, and each asks four backend servers: measuring takes more of them than
	// the calls.
	it('stays within the budget in a rush, and places all the same', () => {
		const driver = driverOf(4, 100);
		let measured = 0;
		let started = 0;
		for (let call = 1; call <= 200; call++) {
			const effects = driver.handle({type: 'call-arrived', request: readOf(call)});
			const measures = measuresOf(effects);
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

	// Story: all backend servers are several times slower than usual for a moment. A call that is sent to one of them at
	// once ends late; one that waits a moment meets a quiet one.
	it('waits a moment when nobody can answer within the objective', () => {
		const driver = driverOf(4);
		const measures = measuresOf(driver.handle({type: 'call-arrived', request: readOf(1)}));
		const atOnce = answer(driver, measures, slow);
		const later = driver.passTime(65);
		const placed = answer(driver, measuresOf(later), quiet);
		expect([startIn(atOnce) === undefined, startIn(later) === undefined, startIn(placed) === undefined]).toEqual([true, true, false]);
	});

	// Story: twice as many calls come as can be served. Held to their deadlines, refused callers cannot come back; they
	// are told at once, with a time, and nothing of theirs has run.
	it('refuses within a third of the objective when all backend servers are full', () => {
		const driver = driverOf(4);
		const full = () => reportOf('p', {inFlight: 6, queued: 4, workTimeFactor: 1});
		const effects = [...driver.handle({type: 'call-arrived', request: readOf(1)})];
		let refusal: (CallEffect & {type: 'refuse'}) | undefined;
		while (refusal === undefined && driver.now < 1000) {
			effects.push(...answer(driver, measuresOf(effects.splice(0)), full), ...driver.passTime(5));
			refusal = effects.find((effect): effect is CallEffect & {type: 'refuse'} => effect.type === 'refuse');
		}

		expect([refusal?.status, refusal?.outcome, refusal?.retryAfterMilliseconds === undefined, driver.now <= 110]).toEqual([503, 'not-run', false, true]);
	});

	// Story: a call that is already late takes the only quiet backend server; the next one, which could have been in time
	// there, is late as well.
	it('sends a call that is late anyway to a slow backend server and leaves the quick one to others', () => {
		const driver = driverOf(2);
		const request = readOf(1, {objectiveMilliseconds: 40});
		const effects = [...driver.handle({type: 'call-arrived', request})];
		let start: Start | undefined;
		while (start === undefined && driver.now < 500) {
			effects.push(
				...answer(driver, measuresOf(effects.splice(0)), identity => identity === 'identity-0' ? reportOf('p', {workTimeFactor: 7}) : reportOf('p', {workTimeFactor: 3})),
				...driver.passTime(5),
			);
			start = startIn(effects);
		}

		expect(start?.identity).toEqual('identity-0');
	});

	// Story: a member is refused in a rush, comes back a third of a second later and is taken for a fresh caller. It gets a
	// quick place and is late all the same; a fresh call, which would have been in time there, is not.
	it('knows a caller that comes back by the time that it has left, and spares it the quick places', () => {
		const driver = driverOf(2);
		for (let call = 10; call < 20; call++) {
			const start = startIn(answer(driver, measuresOf(driver.handle({type: 'call-arrived', request: readOf(call)})), quiet))!;
			driver.answer(start.attemptId, quiet());
			driver.now += 200;
		}

		const effects = [...driver.handle({type: 'call-arrived', request: {...readOf(2), timeoutMilliseconds: 850}})];
		const start = startIn(answer(driver, measuresOf(effects), identity => reportOf('p', {workTimeFactor: identity === 'identity-0' ? 4 : 1})));
		expect(start?.identity).toEqual('identity-0');
	});

	// Story: all slots are taken for a moment. A call that queues at a backend server at once cannot be moved any more when
	// another one becomes free, and sixteen VMs that do so bury the one that looked best.
	it('waits for a free slot, and queues at a backend server only after its wait', () => {
		const driver = driverOf(2);
		const justFull = () => reportOf('p', {inFlight: 6, workTimeFactor: 0.8});
		const effects = driver.handle({type: 'call-arrived', request: readOf(1)});
		const atOnce = startIn(answer(driver, measuresOf(effects), justFull));
		let start: Start | undefined;
		while (start === undefined && driver.now < 200) {
			const passed = driver.passTime(5);
			start = startIn([...passed, ...answer(driver, measuresOf(passed), justFull)]);
		}

		expect([atOnce, start === undefined, driver.now >= 75]).toEqual([undefined, false, true]);
	});

	// Story: a VM has many backend servers and asks four for each call. All four are full, and a report of two seconds ago
	// says that a fifth is free. Every VM believes its own old report of another one, and most of them are wrong.
	it('prefers what it has just learnt over an old report that looks better', () => {
		const driver = driverOf(5);
		const before = measuresOf(driver.handle({type: 'call-arrived', request: readOf(1)}));
		answer(driver, before, quiet);
		driver.now += 2000;
		const measures = measuresOf(driver.handle({type: 'call-arrived', request: readOf(2)}));
		const asked = new Set(measures.map(({identity}) => identity));
		const start = startIn([
			...answer(driver, measures, () => reportOf('p', {inFlight: 4, workTimeFactor: 1.2})), ...driver.passTime(20),
		]);
		expect([start === undefined, start !== undefined && asked.has(start.identity)]).toEqual([false, true]);
	});

	// Story: a neighbour comes in the middle of a call, which would now take seven times as long. Waited for, it misses its
	// objective; tried elsewhere while a usual answer still fits, it does not.
	it('tries an idempotent call again in time for its objective', () => {
		const driver = driverOf(4);
		startIn(answer(driver, measuresOf(driver.handle({type: 'call-arrived', request: readOf(1)})), quiet));
		const effects = driver.passTime(160);
		const second = startIn([...effects, ...answer(driver, measuresOf(effects), quiet)]);
		expect(second === undefined).toEqual(false);
	});

	it('does not try a call again that may run once only', () => {
		const driver = driverOf(4);
		answer(driver, measuresOf(driver.handle({type: 'call-arrived', request: readOf(1, {isIdempotent: false})})), quiet);
		expect(measuresOf(driver.passTime(400))).toEqual([]);
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

describe('measuring and bytes between data centres', () => {
	const near = (measures: readonly Measure[]) => measures.map(({identity}) => Number(identity.slice('identity-'.length)) < 3);

	// Story: on a calm day a third of all backend servers is in the own data centre, and most have room. Each question and
	// answer to another one is paid by the byte: it came to a fortieth of the day's worth.
	it('ask the own data centre first, and nobody else where that has a good place', () => {
		const driver = inTwoDataCentres(6);
		const measures = measuresOf(driver.handle({type: 'call-arrived', request: readOf(1)}));
		const effects = answer(driver, measures, quiet);
		expect([near(measures), measuresOf(effects).length, startIn(effects) === undefined]).toEqual([[true, true, true], 0, false]);
	});

	// Story: the near backend servers are all slowed down by neighbours for a moment, and the far ones are not.
	it('ask the others where the own one has no good place, and go there', () => {
		const driver = inTwoDataCentres(6);
		const second = measuresOf(answer(driver, measuresOf(driver.handle({type: 'call-arrived', request: readOf(1)})), slow));
		const start = startIn(answer(driver, second, quiet));
		expect([near(second), start !== undefined && Number(start.identity.slice('identity-'.length)) >= 3]).toEqual([[false, false, false], true]);
	});
});

describe('a second attempt where the first is in the last slot', () => {
	// Story: in a rush calls take the last slot of backend servers, where they need half as long again. At the time of a usual
	// answer each gets a second attempt, which takes the slot of another call, for an answer that was on its way.
	it('waits until the first is no longer likely to be in time', () => {
		const driver = driverOf(4);
		for (let call = 10; call < 40; call++) {
			const start = placed(driver, driver.handle({type: 'call-arrived', request: readOf(call)}))!;
			driver.now += 100;
			driver.answer(start.attemptId, quiet());
		}

		driver.now += 1000;
		const lastSlot = () => reportOf('p', {inFlight: 5, workTimeFactor: 1});
		const effects = [...driver.handle({type: 'call-arrived', request: readOf(1, {objectiveMilliseconds: 400})})];
		const first = startIn([...answer(driver, measuresOf(effects), lastSlot), ...driver.passTime(20)]);
		expect([first === undefined, measuresOf(driver.passTime(140)).length]).toEqual([false, 0]);
	});
});

/** The attempt that follows from these effects, where every backend server says that it is idle. */
function placed(driver: EngineDriver, effects: readonly CallEffect[]): Start | undefined {
	const all = [...effects, ...answer(driver, measuresOf(effects), quiet), ...driver.passTime(30)];
	return startIn([...all, ...answer(driver, measuresOf(all), quiet)]);
}

describe('backend servers that turn calls away though they have room', () => {
	// Story: all backend servers of a service shed half of their calls while their reports say that they are idle. Each VM
	// remembers that, takes no chance for fair any more, and refuses nearly every call without an attempt.
	it('are tried on where all do so alike', () => {
		const driver = driverOf(4);
		let attempts = 0;
		let refused = 0;
		for (let call = 1; call <= 60; call++) {
			const start = placed(driver, driver.handle({type: 'call-arrived', request: readOf(call, {mostAttempts: 1})}));
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

	// Story: a caller is turned away by a backend server that is not full, and is told to come back after a tenth of a
	// second, as in a rush. By then its objective cannot be kept any more.
	it('have callers come back at once', () => {
		const driver = driverOf(2);
		const start = startIn(answer(driver, measuresOf(driver.handle({type: 'call-arrived', request: readOf(1, {mostAttempts: 1})})), quiet))!;
		const refusal = driver.head(start.attemptId, {status: 503, isDeclaredNotRun: true, report: quiet()})
			.find((effect): effect is CallEffect & {type: 'refuse'} => effect.type === 'refuse');
		expect([refusal?.outcome, refusal !== undefined && refusal.retryAfterMilliseconds! <= 10]).toEqual(['not-run', true]);
	});

	// Story: one of them does so, the others do not. Its idle reports draw call after call.
	it('are left to the others where one does so alone', () => {
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
		const start = startIn(answer(driver, measuresOf(driver.handle({type: 'call-arrived', request: readOf(1, {timeoutMilliseconds: 500, isIdempotent: false})})), quiet))!;
		driver.sent(start.attemptId);
		driver.passTime(490);
		expect(linesOf(driver.passTime(20))).toEqual(['cancel-attempt', 'refuse deadline-exceeded unknown 504', 'call-ended']);
	});

	// Story: a route allows two backend servers a call. Two fail it, and a third is hit by a call that breaks them.
	it('bounds the backend servers that a call is sent to', () => {
		const driver = driverOf(6);
		const seen: string[] = [];
		let start = startIn(answer(driver, measuresOf(driver.handle({type: 'call-arrived', request: readOf(1, {mostAttempts: 2})})), quiet));
		while (start !== undefined) {
			seen.push(start.identity);
			driver.sent(start.attemptId);
			const effects = driver.fail(start.attemptId, 'reset-after-sending');
			start = startIn([...effects, ...answer(driver, measuresOf(effects), quiet)]);
		}

		expect(seen.length).toEqual(2);
	});
});

describe('a status that callers read as "not run"', () => {
	// Story: a backend server answers a payment with a bare 503 after it has run. Passed on, the caller reads "not run",
	// sends it again, and pays twice.
	it('is not passed on without the backend server\'s word', () => {
		const driver = new EngineDriver(configurationOf(1), {}, 1, {notRunStatuses: new Set([503])});
		const start = driver.start(requestOf(1))!;
		driver.sent(start.attemptId);
		expect(linesOf(driver.head(start.attemptId, {status: 503}))).toEqual(['cancel-attempt', 'refuse outcome-unknown unknown 502', 'call-ended']);
	});
});
