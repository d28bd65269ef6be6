import {expect} from 'earl';
import {testHash} from '../../fleet/test-utilities.test.ts';
import {seededRandom} from '../../random/random.ts';
import {
	answerLoadProbes, configurationOf, EngineDriver, linesOf, loadProbesIn, reportOf, requestOf, startIn,
} from '../engine-driver.test.ts';
import {
	type CallConfiguration, type CallEffect, type CallEvent, type LoadReport,
} from '../types.ts';
import {OwnerRateQuota} from './rate-quota.ts';

const rule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 300, attemptLimit: 3, priority: 0,
};

/** Calls per second that a warming backend server may get. */
const rate = 3;

type Service = {readonly mode?: 'on-demand' | 'paced'};

/** `warming` = remaining warm-up time of each backend server by its registry entry. */
function configuration(warming: readonly number[], {mode = 'on-demand'}: Service = {}, evacuated: readonly string[] = []): CallConfiguration {
	const all = configurationOf(warming.length, {retryShare: 1, measuring: {mode, callsPerWindow: 10_000}});
	return {
		...all,
		backendServers: new Map(Array.from(all.backendServers, ([identity, server], index) => [identity, {...server, ...(warming[index] === 0 ? {} : {warmUntil: warming[index]!})}])),
		warmUpLimits: new Map([['orders', {callsPerSecond: rate, milliseconds: 3000}]]),
		evacuatedDataCentres: new Set(evacuated),
	};
}

function readOf(callId: number): CallEvent {
	return {
		type: 'call-arrived', request: requestOf(callId, {
			method: 'GET', bodyBytes: 0, timeoutMilliseconds: 1200, rule,
		}),
	};
}

function reportFor(left: number): LoadReport {
	return reportOf('p', {workTimeFactor: 1, warmUpLeftMilliseconds: left});
}

/** Report of the other backend server: it is full, so that the cold one looks best. */
const full = reportOf('p', {
	workTimeFactor: 1, inFlight: 6, queued: 4, warmUpLeftMilliseconds: 0,
});

/**
 * Sends a call every 20 ms, answers probes with `report` and each call at once; returns the backend server and time of
 * each attempt.
 */
function serve(driver: EngineDriver, milliseconds: number, report: (identity: string) => LoadReport): Array<{readonly identity: string; readonly at: number}> {
	const starts: Array<{readonly identity: string; readonly at: number}> = [];
	let nextId = 1000 + driver.now;
	const apply = (effects: readonly CallEffect[]): void => {
		for (const effect of effects) {
			if (effect.type === 'start-attempt') {
				starts.push({identity: effect.identity, at: driver.now});
				driver.answer(effect.attemptId);
			}
		}

		const measures = loadProbesIn(effects);
		if (measures.length > 0) {
			apply(answerLoadProbes(driver, measures, report));
		}
	};

	for (const end = driver.now + milliseconds; driver.now < end;) {
		nextId++;
		apply(driver.handle(readOf(nextId)));
		apply(driver.passTime(20));
	}

	return starts;
}

function maxWithinSecond(starts: ReadonlyArray<{readonly at: number}>): number {
	return Math.max(0, ...starts.map(({at}) => starts.filter(other => other.at >= at && other.at < at + 1000).length));
}

describe('a backend server that warms up', () => {
	for (const mode of ['on-demand', 'paced'] as const) {
		// Guards a cold backend server that looks idle beside busy ones: it crashes under more calls than its service
		// declares.
		it(`gets no more attempts in any second than its service declares (${mode} measuring)`, () => {
			const driver = new EngineDriver(configuration([2500, 0], {mode}));
			const cold = serve(driver, 2400, identity => identity === 'identity-0' ? reportFor(2500 - driver.now) : full).filter(({identity}) => identity === 'identity-0');
			expect([maxWithinSecond(cold), cold.length >= rate]).toEqual([rate, true]);
		});
	}

	it('gets its full share afterwards', () => {
		const driver = new EngineDriver(configuration([500, 0]));
		driver.passTime(600);
		expect(maxWithinSecond(serve(driver, 1000, () => reportFor(0)).filter(({identity}) => identity === 'identity-0'))).toBeGreaterThan(rate);
	});

	// Guards against a warm-up that starts again without a restart: health answers report it before the registry entry
	// does.
	it('is throttled as soon as its health answer reports the warm-up', () => {
		const driver = new EngineDriver(configuration([0, 0]));
		const cold = serve(driver, 1000, identity => identity === 'identity-0' ? reportFor(3000) : full).filter(({identity}) => identity === 'identity-0');
		expect(maxWithinSecond(cold)).toEqual(rate);
	});

	// Guards against a warm-up that starts under load: answers to calls report the load, but not the warm-up.
	it('is throttled within a moment although answers to calls keep its load report fresh', () => {
		const driver = new EngineDriver(configuration([0]));
		let starts = 0;
		for (let call = 1; call <= 100; call++) {
			const effects = [...driver.handle(readOf(call))];
			effects.push(...answerLoadProbes(driver, loadProbesIn(effects), () => reportFor(driver.now < 500 ? 0 : 3000)));
			const start = startIn(effects);
			if (start !== undefined) {
				starts += driver.now >= 500 ? 1 : 0;
				driver.answer(start.attemptId, reportOf('p', {workTimeFactor: 1}));
			}

			driver.passTime(10);
		}

		expect(starts).toBeLessThanOrEqual(20 + rate);
	});

	it('is no longer throttled when its health answer reports that it is warm, despite its registry entry', () => {
		const driver = new EngineDriver(configuration([10_000, 10_000]));
		expect(maxWithinSecond(serve(driver, 1000, () => reportFor(0)))).toBeGreaterThan(2 * rate);
	});

	it('is not throttled by an old registry entry that is read again', () => {
		const driver = new EngineDriver(configuration([500, 0]));
		driver.passTime(600);
		driver.handle({type: 'configured', configuration: configuration([500, 0])});
		expect(maxWithinSecond(serve(driver, 1000, () => reportFor(0)).filter(({identity}) => identity === 'identity-0'))).toBeGreaterThan(rate);
	});

	// Guards against retries, which are placed separately from first attempts and reach the backend server as well.
	it('is throttled for retries too', () => {
		const driver = new EngineDriver(configuration([5000, 5000]));
		const warming = () => reportFor(5000);
		let starts = 0;
		for (let call = 1; call <= 30; call++) {
			const first = startIn(answerLoadProbes(driver, loadProbesIn(driver.handle(readOf(call))), warming));
			const retry = first === undefined ? undefined : startIn(answerLoadProbes(driver, loadProbesIn(driver.fail(first.attemptId, 'connection-refused')), warming));
			starts += (first === undefined ? 0 : 1) + (retry === undefined ? 0 : 1);
		}

		expect([driver.now, starts <= 2 * rate]).toEqual([0, true]);
	});

	it('is recorded in the grounds of a refusal', () => {
		const driver = new EngineDriver(configuration([5000]));
		serve(driver, 100, () => reportFor(5000));
		const effects = [...driver.handle(readOf(1)), ...driver.passTime(300)];
		const ended = effects.findLast(effect => effect.type === 'call-ended');
		expect([linesOf(effects).some(line => line.startsWith('refuse overloaded not-run')), ended?.type === 'call-ended' ? ended.summary.grounds?.warmingUp : undefined]).toEqual([true, 1]);
	});
});

describe('the return of an evacuated data centre', () => {
	function driverAfterEvacuation(): EngineDriver {
		const driver = new EngineDriver(configuration([0, 0], {}, ['north']));
		driver.passTime(5000);
		driver.handle({type: 'configured', configuration: configuration([0, 0])});
		return driver;
	}

	// Guards backend servers that became cold while they got no calls, and whose registry entries are older than that.
	it('treats its backend servers as cold until they report otherwise', () => {
		const driver = driverAfterEvacuation();
		const started = Array.from({length: 20}, (_, index) => startIn([...driver.handle(readOf(index)), ...driver.passTime(30)])).filter(start => start !== undefined);
		expect(started.length <= 2 * rate).toEqual(true);
	});

	it('probes them beyond the warm-up rate, so that their answer ends it', () => {
		const driver = driverAfterEvacuation();
		let probes = 0;
		for (let call = 1; call <= 60; call++) {
			const measures = [...loadProbesIn(driver.handle(readOf(call))), ...loadProbesIn(driver.passTime(20))];
			probes += measures.length;
			answerLoadProbes(driver, measures, () => undefined);
		}

		expect(probes).toBeGreaterThan(2 * rate);
	});

	it('uses them in full at once if they have stayed warm', () => {
		expect(maxWithinSecond(serve(driverAfterEvacuation(), 1000, () => reportFor(0)))).toBeGreaterThan(2 * rate);
	});
});

describe('a fleet whose backend servers turn cold under load', () => {
	const vmNames = Array.from({length: 6}, (_, index) => `10.0.0.${index}:80`);
	const coldAt = 10_000;
	const workMilliseconds = 50;

	/**
	 * Calls that the worst cold backend server gets in its worst second, at this many calls per second over all VMs; the
	 * first half of the backend servers turns cold.
	 */
	function worstSecond(serverCount: number, callsPerSecond: number, seed: number): number {
		const isCold = (identity: string) => Number(identity.split('-')[1]) < serverCount / 2;
		const random = seededRandom(seed);
		const declared = {...configuration(Array.from({length: serverCount}, () => 0)), warmUpLimits: new Map([['orders', {callsPerSecond: 6, milliseconds: 3000}]])};
		const drivers = vmNames.map((own, index) => {
			const driver = new EngineDriver(declared, {}, seed + index, {}, {rateQuota: new OwnerRateQuota(testHash)});
			driver.handle({
				type: 'shares', shares: {
					loadProbeFraction: 0, loadProbesFrom: 0, loadProbesUntil: 0, connectionFraction: 0.2, vmCount: vmNames.length, members: {own, byDataCentre: new Map([['north', vmNames]])},
				},
			});
			return driver;
		});
		const starts: Array<{readonly identity: string; readonly at: number}> = [];
		const running: Array<{readonly driver: EngineDriver; readonly identity: string; readonly attemptId: number; readonly endsAt: number}> = [];
		const report = (identity: string, now: number) => reportOf('p', {
			workTimeFactor: 1,
			slots: 24,
			inFlight: running.filter(one => one.identity === identity).length,
			warmUpLeftMilliseconds: now < coldAt || !isCold(identity) ? 0 : Math.max(0, coldAt + 3000 - now),
		});
		const apply = (driver: EngineDriver, effects: readonly CallEffect[]): void => {
			for (const effect of effects) {
				if (effect.type === 'start-attempt') {
					const {identity, attemptId} = effect;
					starts.push({identity, at: driver.now});
					running.push({
						driver, identity, attemptId, endsAt: driver.now + workMilliseconds,
					});
				}
			}

			const measures = loadProbesIn(effects);
			if (measures.length > 0) {
				apply(driver, answerLoadProbes(driver, measures, identity => report(identity, driver.now)));
			}
		};

		for (let now = 0; now < coldAt + 3000; now += 2) {
			for (const driver of drivers) {
				apply(driver, driver.passTime(2));
			}

			for (const {driver, identity, attemptId} of running.filter(({endsAt}) => endsAt <= now)) {
				const {warmUpLeftMilliseconds, ...load} = report(identity, now);
				apply(driver, driver.head(attemptId, {report: load}));
				apply(driver, driver.handle({type: 'attempt-done', attemptId}));
			}

			running.splice(0, running.length, ...running.filter(({endsAt}) => endsAt > now));
			if (random.next() < callsPerSecond * 0.002) {
				const driver = drivers[Math.floor(random.next() * drivers.length)]!;
				apply(driver, driver.handle(readOf(now + 100_000)));
			}
		}

		const cold = starts.filter(({identity, at}) => isCold(identity) && at >= coldAt);
		return Math.max(...cold.map(({identity}) => maxWithinSecond(cold.filter(one => one.identity === identity))));
	}

	// Guards a busy backend server: calls that reach it before the VMs have a report of the warm-up add to the planned
	// rate.
	for (const [servers, callsPerSecond] of [[1, 60], [4, 120], [8, 200]] as const) {
		it(`sends none of ${servers} more in any second than it can bear, at ${callsPerSecond} calls per second`, () => {
			expect(Math.max(...[1, 2, 3, 4].map(seed => worstSecond(servers, callsPerSecond, seed)))).toBeLessThanOrEqual(14);
		});
	}
});
