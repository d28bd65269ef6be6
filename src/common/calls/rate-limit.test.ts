import {expect} from 'earl';
import {testHash} from '../fleet/test-utilities.test.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {seededRandom} from '../random/random.ts';
import {
	answerMeasures, configurationOf, EngineDriver, linesOf, measuresOf, reportOf, requestOf, type Start, startIn,
} from './engine-driver.test.ts';
import {type CallEffect, type CallEvent, type RateLimitNotice} from './types.ts';
import {OwnerRateQuota} from './rate-quota.ts';

const rule = {
	route: 'reads', isIdempotent: true, timeoutMilliseconds: 1200, objectiveMilliseconds: 400, mostAttempts: 3, priority: 0,
};

function readOf(callId: number): CallEvent {
	return {
		type: 'call-arrived', request: requestOf(callId, {
			method: 'GET', bodyBytes: 0, timeoutMilliseconds: 1200, rule,
		}),
	};
}

/** What a backend server allows: this often its rate over the span, and some calls more. */
const spanMilliseconds: Milliseconds = 4000;
const tolerance = 1.5;
const allowance = 5;

/** The limit binds this long after it was first named, and each VM this long after it was told. */
const contactMilliseconds: Milliseconds = 3000;
const toldMilliseconds: Milliseconds = 500;

type Play = {
	readonly vmCount: number;
	readonly serverCount: number;
	readonly callsPerSecond: number;
	/** Calls a second that the first backend server takes from all VMs. */
	readonly limit: number;
	readonly isNamedByProbes: boolean;
	readonly seed: number;
};

type LimitedStart = {readonly vm: number; readonly at: Instant};

const namedAt = 4000;
const endsAt = 14_000;
const stepMilliseconds = 5;

/** A fleet of engines, and the calls that reach the backend server that names a limit. */
class LimitedFleet {
	readonly starts: LimitedStart[] = [];
	/** When each VM was first told, by its place. */
	readonly toldAt = new Map<number, Instant>();
	private readonly _play: Play;
	private readonly _drivers: EngineDriver[];
	private readonly _running: Array<{readonly vm: number; readonly identity: string; readonly attemptId: number; readonly endsAt: Instant}> = [];
	private readonly _workMilliseconds = 160;

	constructor(play: Play) {
		this._play = play;
		const names = Array.from({length: play.vmCount}, (_, index) => `10.0.0.${index}:80`);
		const declared = configurationOf(play.serverCount, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}});
		this._drivers = names.map((own, index) => {
			const driver = new EngineDriver(declared, {}, (play.seed * 1000) + index, {}, new OwnerRateQuota(testHash));
			driver.handle({
				type: 'shares', shares: {
					measuringPart: 0, measuringFrom: 0, measuringUntil: 0, connectionPart: 0.5, vmCount: names.length, members: {own, byDataCentre: new Map([['north', names]])},
				},
			});
			return driver;
		});
	}

	run(): this {
		const random = seededRandom(this._play.seed);
		const {callsPerSecond} = this._play;
		let callId = 1;
		for (let now = 0; now < endsAt; now += stepMilliseconds) {
			for (const [vm, driver] of this._drivers.entries()) {
				this._take(vm, driver.passTime(stepMilliseconds));
			}

			this._answer(now);
			for (let due = callsPerSecond * stepMilliseconds / 1000; random.next() < due; due--) {
				callId++;
				const vm = Math.floor(random.next() * this._drivers.length);
				this._take(vm, this._drivers[vm]!.handle(readOf(callId)));
			}
		}

		return this;
	}

	/** Calls of VMs that had been told, in the span that has most, once the limit binds. */
	worstSpan(): number {
		const counted = this.starts.filter(({vm, at}) => at >= (this.toldAt.get(vm) ?? Infinity) + toldMilliseconds);
		const isBound = (at: Instant) => at + spanMilliseconds >= namedAt + contactMilliseconds;
		return Math.max(0, ...counted.map(({at}) => counted.filter(other => isBound(at) && other.at >= at && other.at < at + spanMilliseconds).length));
	}

	private _rateLimitOf(identity: string, now: Instant): {rateLimit?: number} {
		return identity === 'identity-0' && now >= namedAt ? {rateLimit: this._play.limit} : {};
	}

	private _answer(now: Instant): void {
		for (const {vm, identity, attemptId} of this._running.filter(one => one.endsAt <= now)) {
			const driver = this._drivers[vm]!;
			const limit = this._rateLimitOf(identity, now);
			if (limit.rateLimit !== undefined && !this.toldAt.has(vm)) {
				this.toldAt.set(vm, now);
			}

			this._take(vm, driver.head(attemptId, {report: this._report(identity, now, false), ...limit}));
			this._take(vm, driver.handle({type: 'attempt-done', attemptId}));
		}

		this._running.splice(0, this._running.length, ...this._running.filter(one => one.endsAt > now));
	}

	private _report(identity: string, now: Instant, isProbe: boolean) {
		return reportOf('p', {
			workTimeFactor: 1,
			inFlight: this._running.filter(one => one.identity === identity).length,
			...(isProbe ? {warmUpLeftMilliseconds: 0} : {}),
			...(isProbe && this._play.isNamedByProbes ? this._rateLimitOf(identity, now) : {}),
		});
	}

	private _take(vm: number, effects: readonly CallEffect[]): void {
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

		const measures = measuresOf(effects);
		if (measures.length > 0) {
			this._take(vm, answerMeasures(driver, measures, identity => this._report(identity, driver.now, true)));
		}
	}
}

describe('a backend server that names a rate limit', function () {
	this.timeout(60_000);

	for (const isNamedByProbes of [false, true]) {
		for (const limit of [0.3, 1.3, 2.8, 12]) {
			// Guards a backend server in need against the sum of what all VMs send it, where each keeps its limit for itself or none does.
			it(`gets no more than it allows from all VMs that it has told: ${limit} a second, ${isNamedByProbes ? 'in answers and load probes' : 'in answers alone'}`, () => {
				const worst = [1, 2].map(seed => new LimitedFleet({
					vmCount: 16, serverCount: 6, callsPerSecond: 90, limit, isNamedByProbes, seed,
				}).run().worstSpan());
				expect(Math.max(...worst)).toBeLessThanOrEqual((tolerance * limit * spanMilliseconds / 1000) + allowance);
			});
		}
	}
});

/** An engine alone with this many backend servers; all names of limits come with answers. */
function alone(serverCount: number): EngineDriver {
	return new EngineDriver(configurationOf(serverCount, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}}));
}

/** Sends a call each 20 ms and answers each at once; how many reached each backend server. */
function serve(driver: EngineDriver, milliseconds: Milliseconds, limitOf: (identity: string) => {readonly rateLimit?: RateLimitNotice}, status = 200): Map<string, number> {
	const counts = new Map<string, number>();
	const take = (effects: readonly CallEffect[]): void => {
		for (const effect of effects) {
			if (effect.type === 'start-attempt') {
				counts.set(effect.identity, (counts.get(effect.identity) ?? 0) + 1);
				take(driver.head(effect.attemptId, {status, report: reportOf('p', {workTimeFactor: 1}), ...limitOf(effect.identity)}));
				take(driver.handle({type: 'attempt-done', attemptId: effect.attemptId}));
			}
		}

		const measures = measuresOf(effects);
		if (measures.length > 0) {
			take(answerMeasures(driver, measures, () => reportOf('p', {workTimeFactor: 1, warmUpLeftMilliseconds: 0})));
		}
	};

	for (const end = driver.now + milliseconds; driver.now < end;) {
		take(driver.handle(readOf(driver.now + 1)));
		take(driver.passTime(20));
	}

	return counts;
}

/** A call arrives, and its load probes are answered; the attempt that it starts. */
function begin(driver: EngineDriver, callId: number): Start {
	const effects = driver.handle(readOf(callId));
	return startIn([...effects, ...answerMeasures(driver, measuresOf(effects), () => reportOf('p', {workTimeFactor: 1}))])!;
}

const firstNames = (rateLimit: RateLimitNotice) => (identity: string) => identity === 'identity-0' ? {rateLimit} : {};
const noneNames = () => ({});

describe('a rate limit on one VM', () => {
	it('sends what does not fit to other backend servers', () => {
		const driver = alone(2);
		serve(driver, 500, firstNames(2));
		const counts = serve(driver, 4000, firstNames(2));
		expect([counts.get('identity-0')! <= 9, counts.get('identity-0')! >= 6, counts.get('identity-1')! >= 180]).toEqual([true, true, true]);
	});

	it('ends with an answer that names none', () => {
		const driver = alone(2);
		serve(driver, 500, firstNames(2));
		serve(driver, 1500, noneNames);
		expect(serve(driver, 1000, noneNames).get('identity-0')!).toBeGreaterThan(10);
	});

	it('follows the backend server when it names another one', () => {
		const driver = alone(2);
		serve(driver, 500, firstNames(10));
		serve(driver, 1000, firstNames(2));
		expect(serve(driver, 4000, firstNames(2)).get('identity-0')!).toBeLessThanOrEqual(9);
	});

	// Guards a limit that was named in an answer which overtook an earlier one.
	it('is not ended by the answer to an attempt that started before it was named', () => {
		const driver = alone(1);
		const starts = [1, 2].map(call => begin(driver, call));
		driver.passTime(10);
		driver.head(starts[0]!.attemptId, {rateLimit: 1});
		const effects = driver.head(starts[1]!.attemptId);
		expect(linesOf(effects).includes('rate-limit-changed')).toEqual(false);
	});

	// Guards a call against a header that no backend server should send.
	it('is not changed by one that cannot be read, which is told once', () => {
		const driver = alone(1);
		const told: CallEffect[] = [];
		for (let call = 1; call <= 5; call++) {
			const {attemptId} = begin(driver, call);
			told.push(...driver.head(attemptId, {rateLimit: 'unreadable'}).filter(({type}) => type === 'rate-limit-changed'));
			driver.handle({type: 'attempt-done', attemptId});
		}

		expect(told.map(effect => effect.type === 'rate-limit-changed' ? [effect.rateLimit, effect.limitedServers] : [])).toEqual([['unreadable', 0]]);
	});

	it('refuses at once what no backend server may take in time, and says when one may', () => {
		const driver = alone(1);
		serve(driver, 1500, () => ({rateLimit: 0.5}));
		const refusal = driver.handle(readOf(1_000_000)).find(effect => effect.type === 'refuse');
		expect(refusal?.type === 'refuse' ? [refusal.reason, refusal.outcome, refusal.retryAfterMilliseconds! > 100] : refusal).toEqual(['overloaded', 'not-run', true]);
	});

	it('is a ground of a refusal', () => {
		const driver = alone(1);
		serve(driver, 1500, () => ({rateLimit: 0.5}));
		const ended = driver.handle(readOf(1_000_000)).find(effect => effect.type === 'call-ended');
		expect(ended?.type === 'call-ended' ? ended.summary.grounds?.rateLimited : undefined).toEqual(1);
	});

	// Guards against retries, which are placed apart from first attempts and reach it as well.
	it('counts retries', () => {
		const driver = alone(1);
		serve(driver, 500, () => ({rateLimit: 2}));
		const counts = serve(driver, 4000, () => ({rateLimit: 2}), 503);
		expect(counts.get('identity-0')!).toBeLessThanOrEqual(9);
	});

	it('binds no later process of the same identity', () => {
		const driver = alone(1);
		const all = configurationOf(1, {retryShare: 1, measuring: {mode: 'on-demand', callsPerWindow: 10_000}});
		const startedAt = (processStartedAt: number) => ({
			...all, version: processStartedAt, backendServers: new Map(Array.from(all.backendServers, ([identity, server]) => [identity, {...server, processStartedAt}])),
		});
		driver.handle({type: 'configured', configuration: startedAt(4)});
		serve(driver, 500, () => ({rateLimit: 0.5}));
		driver.handle({type: 'configured', configuration: startedAt(5)});
		expect(serve(driver, 1000, noneNames).get('identity-0')!).toBeGreaterThan(20);
	});
});
