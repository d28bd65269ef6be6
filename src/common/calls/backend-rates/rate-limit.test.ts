import {expect} from 'earl';
import {testHash} from '../../fleet/test-utilities.test.ts';
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {seededRandom} from '../../random/random.ts';
import {countedMilliseconds, toleratedCalls} from '../../../stand-ins/rate-limit-rule.ts';
import {
	answerLoadProbes, configurationOf, EngineDriver, linesOf, loadProbesIn, reportOf, requestOf, type Start, startIn,
} from '../engine-driver.test.ts';
import {type CallEffect, type CallEvent, type RateLimitNotice} from '../types.ts';
import {OwnerRateQuota} from './rate-quota.ts';

const rule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 400, attemptLimit: 3, priority: 0,
};

function readOf(callId: number): CallEvent {
	return {
		type: 'call-arrived', request: requestOf(callId, {
			method: 'GET', bodyBytes: 0, timeoutMilliseconds: 1200, rule,
		}),
	};
}

/** The limit applies this long after it was first announced, and to each VM this long after the VM received it. */
const fleetGraceMilliseconds: Milliseconds = 3000;
const vmGraceMilliseconds: Milliseconds = 500;

type FleetScenario = {
	readonly vmCount: number;
	readonly serverCount: number;
	readonly callsPerSecond: number;
	/** Calls per second that the first backend server accepts from all VMs together. */
	readonly limit: number;
	readonly isAnnouncedByProbes: boolean;
	readonly seed: number;
};

type LimitedStart = {readonly vm: number; readonly at: Instant};

const limitStartsAt = 4000;
const endsAt = 14_000;
const stepMilliseconds = 5;

/** A fleet of engines, and the calls that reach the backend server with a rate limit. */
class LimitedFleet {
	readonly starts: LimitedStart[] = [];
	/** When each VM first received the limit, by its index. */
	readonly informedAt = new Map<number, Instant>();
	private readonly _scenario: FleetScenario;
	private readonly _drivers: EngineDriver[];
	private readonly _running: Array<{readonly vm: number; readonly identity: string; readonly attemptId: number; readonly endsAt: Instant}> = [];
	private readonly _workMilliseconds = 160;

	constructor(scenario: FleetScenario) {
		this._scenario = scenario;
		const names = Array.from({length: scenario.vmCount}, (_, index) => `10.0.0.${index}:80`);
		const declared = configurationOf(scenario.serverCount, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}});
		this._drivers = names.map((own, index) => {
			const driver = new EngineDriver(declared, {}, (scenario.seed * 1000) + index, {}, {rateQuota: new OwnerRateQuota(testHash)});
			driver.handle({
				type: 'shares', shares: {
					loadProbeFraction: 0, loadProbesFrom: 0, loadProbesUntil: 0, connectionFraction: 0.5, vmCount: names.length, members: {own, byDataCentre: new Map([['north', names]])},
				},
			});
			return driver;
		});
	}

	run(): this {
		const random = seededRandom(this._scenario.seed);
		const {callsPerSecond} = this._scenario;
		let callId = 1;
		for (let now = 0; now < endsAt; now += stepMilliseconds) {
			for (const [vm, driver] of this._drivers.entries()) {
				this._apply(vm, driver.passTime(stepMilliseconds));
			}

			this._answer(now);
			for (let due = callsPerSecond * stepMilliseconds / 1000; random.next() < due; due--) {
				callId++;
				const vm = Math.floor(random.next() * this._drivers.length);
				this._apply(vm, this._drivers[vm]!.handle(readOf(callId)));
			}
		}

		return this;
	}

	/** Calls of informed VMs in the worst span since the limit applies. */
	worstSpan(): number {
		const counted = this.starts.filter(({vm, at}) => at >= (this.informedAt.get(vm) ?? Infinity) + vmGraceMilliseconds);
		const isBound = (at: Instant) => at + countedMilliseconds >= limitStartsAt + fleetGraceMilliseconds;
		return Math.max(0, ...counted.map(({at}) => counted.filter(other => isBound(at) && other.at >= at && other.at < at + countedMilliseconds).length));
	}

	private _rateLimitOf(identity: string, now: Instant): {rateLimit?: number} {
		return identity === 'identity-0' && now >= limitStartsAt ? {rateLimit: this._scenario.limit} : {};
	}

	private _answer(now: Instant): void {
		for (const {vm, identity, attemptId} of this._running.filter(one => one.endsAt <= now)) {
			const driver = this._drivers[vm]!;
			const limit = this._rateLimitOf(identity, now);
			if (limit.rateLimit !== undefined && !this.informedAt.has(vm)) {
				this.informedAt.set(vm, now);
			}

			this._apply(vm, driver.head(attemptId, {report: this._report(identity, now, false), ...limit}));
			this._apply(vm, driver.handle({type: 'attempt-done', attemptId}));
		}

		this._running.splice(0, this._running.length, ...this._running.filter(one => one.endsAt > now));
	}

	private _report(identity: string, now: Instant, isProbe: boolean) {
		return reportOf('p', {
			workTimeFactor: 1,
			inFlight: this._running.filter(one => one.identity === identity).length,
			...(isProbe ? {warmUpLeftMilliseconds: 0} : {}),
			...(isProbe && this._scenario.isAnnouncedByProbes ? this._rateLimitOf(identity, now) : {}),
		});
	}

	private _apply(vm: number, effects: readonly CallEffect[]): void {
		const driver = this._drivers[vm]!;
		for (const effect of effects) {
			if (effect.type === 'start-attempt') {
				const {identity, attemptId} = effect;
				if (identity === 'identity-0') {
					this.starts.push({vm, at: driver.now});
				}

				this._running.push({
					vm, identity, attemptId, endsAt: driver.now + this._workMilliseconds,
				});
			}
		}

		const measures = loadProbesIn(effects);
		if (measures.length > 0) {
			this._apply(vm, answerLoadProbes(driver, measures, identity => this._report(identity, driver.now, true)));
		}
	}
}

describe('a backend server that announces a rate limit', function () {
	this.timeout(60_000);

	for (const isAnnouncedByProbes of [false, true]) {
		for (const limit of [0.3, 1.3, 2.8, 12]) {
			// Guards an overloaded backend server against the sum of the calls of all VMs, where each VM uses the whole limit
			// for itself, or none obeys it.
			it(`gets no more than its limit from all informed VMs: ${limit} calls per second, announced ${isAnnouncedByProbes ? 'in answers and load probes' : 'in answers only'}`, () => {
				const worst = [1, 2].map(seed => new LimitedFleet({
					vmCount: 16, serverCount: 6, callsPerSecond: 90, limit, isAnnouncedByProbes, seed,
				}).run().worstSpan());
				expect(Math.max(...worst)).toBeLessThanOrEqual(toleratedCalls(limit));
			});
		}
	}
});

/** A single engine with this many backend servers; all limits are announced in answers. */
function singleVmDriver(serverCount: number): EngineDriver {
	return new EngineDriver(configurationOf(serverCount, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}}));
}

/** Sends a call every 20 ms and answers each at once; returns the number of calls for each backend server. */
function serve(driver: EngineDriver, milliseconds: Milliseconds, limitOf: (identity: string) => {readonly rateLimit?: RateLimitNotice}, status = 200): Map<string, number> {
	const counts = new Map<string, number>();
	const apply = (effects: readonly CallEffect[]): void => {
		for (const effect of effects) {
			if (effect.type === 'start-attempt') {
				counts.set(effect.identity, (counts.get(effect.identity) ?? 0) + 1);
				apply(driver.head(effect.attemptId, {status, report: reportOf('p', {workTimeFactor: 1}), ...limitOf(effect.identity)}));
				apply(driver.handle({type: 'attempt-done', attemptId: effect.attemptId}));
			}
		}

		const measures = loadProbesIn(effects);
		if (measures.length > 0) {
			apply(answerLoadProbes(driver, measures, () => reportOf('p', {workTimeFactor: 1, warmUpLeftMilliseconds: 0})));
		}
	};

	for (const end = driver.now + milliseconds; driver.now < end;) {
		apply(driver.handle(readOf(driver.now + 1)));
		apply(driver.passTime(20));
	}

	return counts;
}

/** The configuration of `singleVmDriver(1)` with a backend server whose process started at this time. */
function startedAt(processStartedAt: number) {
	const all = configurationOf(1, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}});
	return {
		...all, version: processStartedAt, backendServers: new Map(Array.from(all.backendServers, ([identity, server]) => [identity, {...server, processStartedAt}])),
	};
}

/** A call arrives and its load probes are answered; returns the attempt that it starts. */
function begin(driver: EngineDriver, callId: number): Start {
	const effects = driver.handle(readOf(callId));
	return startIn([...effects, ...answerLoadProbes(driver, loadProbesIn(effects), () => reportOf('p', {workTimeFactor: 1}))])!;
}

const firstServerAnnounces = (rateLimit: RateLimitNotice) => (identity: string) => identity === 'identity-0' ? {rateLimit} : {};
const noneAnnounces = () => ({});

describe('a rate limit on one VM', () => {
	it('sends excess calls to other backend servers', () => {
		const driver = singleVmDriver(2);
		serve(driver, 500, firstServerAnnounces(2));
		const counts = serve(driver, 4000, firstServerAnnounces(2));
		expect([counts.get('identity-0')! <= 9, counts.get('identity-0')! >= 6, counts.get('identity-1')! >= 180]).toEqual([true, true, true]);
	});

	it('ends with an answer without a limit', () => {
		const driver = singleVmDriver(2);
		serve(driver, 500, firstServerAnnounces(2));
		serve(driver, 1500, noneAnnounces);
		expect(serve(driver, 1000, noneAnnounces).get('identity-0')!).toBeGreaterThan(10);
	});

	it('changes when the backend server announces another one', () => {
		const driver = singleVmDriver(2);
		serve(driver, 500, firstServerAnnounces(10));
		serve(driver, 1000, firstServerAnnounces(2));
		expect(serve(driver, 4000, firstServerAnnounces(2)).get('identity-0')!).toBeLessThanOrEqual(9);
	});

	// Guards a limit that was announced in an answer which overtook an earlier one.
	it('is not ended by the answer to an attempt that started before the announcement', () => {
		const driver = singleVmDriver(1);
		const starts = [1, 2].map(call => begin(driver, call));
		driver.passTime(10);
		driver.head(starts[0]!.attemptId, {rateLimit: 1});
		const effects = driver.head(starts[1]!.attemptId);
		expect(linesOf(effects).includes('rate-limit-changed')).toEqual(false);
	});

	// Guards a limit that was announced again after an end which the VM did not see.
	it('is not ended by the answer to an attempt that started before the last announcement', () => {
		const driver = singleVmDriver(1);
		const announce = (attemptId: number) => {
			driver.head(attemptId, {rateLimit: 50});
			driver.handle({type: 'attempt-done', attemptId});
			driver.passTime(100);
		};

		announce(begin(driver, 1).attemptId);
		const late = begin(driver, 2).attemptId;
		driver.passTime(100);
		announce(begin(driver, 3).attemptId);
		expect(linesOf(driver.head(late)).includes('rate-limit-changed')).toEqual(false);
	});

	for (const status of [404, 429, 500]) {
	// Guards a limit against errors, which a backend server in need writes without the headers of its answers.
		it(`is not ended by an error ${status}`, () => {
			const driver = singleVmDriver(1);
			const {attemptId} = begin(driver, 1);
			driver.head(attemptId, {rateLimit: 1});
			driver.handle({type: 'attempt-done', attemptId});
			driver.passTime(2000);
			const effects = driver.head(begin(driver, 2).attemptId, {status});
			expect(linesOf(effects).includes('rate-limit-changed')).toEqual(false);
		});
	}

	// Guards calls against a malformed header of a backend server.
	it('is not changed by an unreadable one, which is reported once', () => {
		const driver = singleVmDriver(1);
		const changes: CallEffect[] = [];
		for (let call = 1; call <= 5; call++) {
			const {attemptId} = begin(driver, call);
			changes.push(...driver.head(attemptId, {rateLimit: 'unreadable'}).filter(({type}) => type === 'rate-limit-changed'));
			driver.handle({type: 'attempt-done', attemptId});
		}

		expect(changes.map(effect => effect.type === 'rate-limit-changed' ? [effect.rateLimit, effect.limitedServers] : [])).toEqual([['unreadable', 0]]);
	});

	// Guards a backend server that takes no calls for a while against all of them.
	it('of 0 lets a call through every ten seconds, which shows when it ends', () => {
		const driver = singleVmDriver(1);
		serve(driver, 500, firstServerAnnounces(0));
		const counts = [10_000, 10_000].map(milliseconds => serve(driver, milliseconds, firstServerAnnounces(0)).get('identity-0'));
		serve(driver, 11_000, noneAnnounces);
		expect([counts, serve(driver, 1000, noneAnnounces).get('identity-0')! > 10]).toEqual([[1, 1], true]);
	});

	it('refuses a call at once if no backend server may get it in time, with a retry delay', () => {
		const driver = singleVmDriver(1);
		serve(driver, 1500, () => ({rateLimit: 0.5}));
		const refusal = driver.handle(readOf(1_000_000)).find(effect => effect.type === 'refuse');
		expect(refusal?.type === 'refuse' ? [refusal.reason, refusal.outcome, refusal.retryAfterMilliseconds! > 100] : refusal).toEqual(['overloaded', 'not-run', true]);
	});

	it('is recorded in the grounds of a refusal', () => {
		const driver = singleVmDriver(1);
		serve(driver, 1500, () => ({rateLimit: 0.5}));
		const ended = driver.handle(readOf(1_000_000)).find(effect => effect.type === 'call-ended');
		expect(ended?.type === 'call-ended' ? ended.summary.grounds?.rateLimited : undefined).toEqual(1);
	});

	// Guards against retries, which are placed separately from first attempts and reach the backend server as well.
	it('applies to retries', () => {
		const driver = singleVmDriver(1);
		serve(driver, 500, () => ({rateLimit: 2}));
		const counts = serve(driver, 4000, () => ({rateLimit: 2}), 503);
		expect(counts.get('identity-0')!).toBeLessThanOrEqual(9);
	});

	// Guards a backend server in need against VMs that each take themselves for nearly alone while no holder answers.
	it('is divided by the VMs of the last minute while no holder answers, also if the list is short', () => {
		const configuration = configurationOf(1, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}});
		const driver = new EngineDriver(configuration, {}, 1, {}, {rateLimits: 'granted'});
		const shareAmong = (vmCount: number) => driver.handle({
			type: 'shares', shares: {
				loadProbeFraction: 0, loadProbesFrom: 0, loadProbesUntil: 0, connectionFraction: 1, vmCount,
			},
		});
		shareAmong(1280);
		driver.passTime(4000);
		const {attemptId} = begin(driver, 1);
		driver.head(attemptId, {rateLimit: 480});
		driver.handle({type: 'attempt-done', attemptId});
		shareAmong(64);
		const startsIn = (milliseconds: Milliseconds) => Array.from({length: milliseconds / 100}, (_, index) => {
			const effects = [...driver.passTime(100), ...driver.handle(readOf(1000 + index))];
			const answers = effects.flatMap(effect => effect.type === 'server-tokens-wanted' ? [...driver.handle({type: 'server-tokens', server: effect.request.server, result: {kind: 'unavailable'}})] : []);
			const started = [...effects, ...answers];
			return [...started, ...answerLoadProbes(driver, loadProbesIn(started), () => reportOf('p', {workTimeFactor: 1}))].filter(({type}) => type === 'start-attempt').length;
		}).reduce((sum, count) => sum + count, 0);
		// 0.1 and, after a minute, 1.9 calls per second.
		expect([startsIn(50_000) <= 15, startsIn(80_000) >= 30]).toEqual([true, true]);
	});

	it('does not apply to a later process of the same identity', () => {
		const driver = singleVmDriver(1);
		driver.handle({type: 'configured', configuration: startedAt(4)});
		serve(driver, 500, () => ({rateLimit: 0.5}));
		driver.handle({type: 'configured', configuration: startedAt(5)});
		expect(serve(driver, 1000, noneAnnounces).get('identity-0')!).toBeGreaterThan(20);
	});

	// Guards a backend server in need against idleness: without requests for tokens it would get no call any more.
	it('is known to a service that is declared again', () => {
		const configuration = configurationOf(1, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}});
		const driver = new EngineDriver(configuration, {}, 1, {}, {rateLimits: 'granted'});
		const {attemptId} = begin(driver, 1);
		driver.head(attemptId, {rateLimit: 2});
		driver.handle({type: 'attempt-done', attemptId});
		driver.handle({type: 'configured', configuration: {...configuration, version: 2, services: new Map()}});
		driver.handle({type: 'configured', configuration: {...configuration, version: 3}});
		expect(linesOf(driver.handle(readOf(2))).includes('server-tokens-wanted')).toEqual(true);
	});

	// Guards a backend server in need against the first call of a VM that other VMs have told of its limit.
	it('is known from another VM, also before the entry of the backend server, and not to a later process', () => {
		const update = (process: string) => ({
			identity: 'identity-0', report: undefined, ageMilliseconds: 0, suspects: [], crash: undefined, rateLimit: {process, callsPerSecond: 0.001, sequence: 1},
		});
		const changes = [['identity-0@4', true], ['identity-0@4', false], ['identity-0@3', true]].map(([process, isDeclared]) => {
			const driver = singleVmDriver(1);
			driver.handle({type: 'configured', configuration: {...startedAt(4), ...(isDeclared === true ? {} : {backendServers: new Map()})}});
			const effects = [...driver.handle({type: 'peer-updates', updates: [update(String(process))]}), ...driver.handle({type: 'configured', configuration: {...startedAt(4), version: 5}})];
			return effects.flatMap(effect => effect.type === 'rate-limit-changed' ? [`${effect.source} ${String(effect.rateLimit)}`] : []);
		});
		expect(changes).toEqual([['peer 0.001'], ['peer 0.001'], []]);
	});

	for (const [name, startOfReturned, isKept] of [['the same process', 4, true], ['a later one', 5, false]] as const) {
		// Guards what a process has announced, and the count of its calls, against an entry that lapses while it lives on.
		it(`is ${isKept ? 'kept' : 'forgotten'} with the calls in flight if the entry is removed and comes back for ${name}`, () => {
			const driver = singleVmDriver(1);
			driver.handle({type: 'configured', configuration: startedAt(4)});
			const [answered] = [1, 2].map(call => begin(driver, call));
			driver.head(answered!.attemptId, {rateLimit: 2});
			driver.handle({type: 'attempt-done', attemptId: answered!.attemptId});
			driver.handle({type: 'configured', configuration: {...startedAt(4), backendServers: new Map()}});
			driver.passTime(500);
			const effects = driver.handle({type: 'configured', configuration: {...startedAt(startOfReturned), version: 6}});
			const changes = effects.map(effect => effect.type === 'rate-limit-changed' ? [effect.source, effect.rateLimit] : [effect.type]);
			expect([changes, driver.engine.status(driver.now).backendServers.map(({inFlight}) => inFlight)]).toEqual(isKept ? [[['entry-returned', 2]], [1]] : [[], [0]]);
		});
	}
});
