import {expect} from 'earl';
import {testHash} from '../fleet/test-utilities.test.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {seededRandom} from '../random/random.ts';
import {
	answerMeasures, configurationOf, EngineDriver, measuresOf, reportOf, requestOf,
} from './engine-driver.test.ts';
import {type CallEffect, type CallEvent} from './types.ts';
import {OwnerWarmUpQuota} from './warm-up-quota.ts';

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

type Start = {readonly vm: number; readonly at: Instant};

const namedAt = 4000;
const endsAt = 14_000;
const stepMilliseconds = 5;

/** A fleet of engines, and the calls that reach the backend server that names a limit. */
class LimitedFleet {
	readonly starts: Start[] = [];
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
			const driver = new EngineDriver(declared, {}, (play.seed * 1000) + index, {}, new OwnerWarmUpQuota(testHash));
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
