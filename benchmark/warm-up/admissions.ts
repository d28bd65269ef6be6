/** Strategies to divide the rate limit of a warming backend server among VMs that do not coordinate. */
import {type FleetMembers} from '../../src/common/calls/types.ts';
import {OwnerRateQuota, type SharedServer} from '../../src/common/calls/backend-rates/rate-quota.ts';
import {type Instant, type RandomSource} from '../../src/common/model/units.ts';

const millisecondsPerSecond = 1000;

/** Admission of attempts to warming backend servers at one VM. */
export type WarmUpAdmission = {
	/** Sets the VMs known to this VM, including itself. */
	setMembers(members: FleetMembers, now: Instant): void;
	/** Records a call that arrived at this VM. */
	recordCall(now: Instant): void;
	/** Whether an attempt may start at the backend server. */
	mayStart(server: SharedServer, now: Instant): boolean;
	/** Records the start of an attempt at the backend server. */
	recordStart(server: SharedServer, now: Instant): void;
};

function countOf(members: FleetMembers): number {
	return [...members.byDataCentre.values()].flat().length;
}

/** Admits every attempt. */
export class UnlimitedAdmission implements WarmUpAdmission {
	setMembers(): void {
		// Admission does not depend on other VMs.
	}

	recordCall(): void {
		// Admission does not depend on the rate of calls.
	}

	mayStart(): boolean {
		return true;
	}

	recordStart(): void {
		// Attempts are not counted.
	}
}

/** Each VM has a token bucket for each backend server, refilled at an even share of the rate. */
export class EvenAdmission implements WarmUpAdmission {
	private readonly _rate: number;
	private readonly _random: RandomSource;
	private readonly _buckets = new Map<string, {tokens: number; at: Instant}>();
	private _vmCount = 1;

	constructor(rate: number, random: RandomSource) {
		this._rate = rate;
		this._random = random;
	}

	setMembers(members: FleetMembers): void {
		this._vmCount = countOf(members);
	}

	recordCall(): void {
		// Admission does not depend on the rate of calls.
	}

	mayStart({identity}: SharedServer, now: Instant): boolean {
		const perMillisecond = this._rate / this._vmCount / millisecondsPerSecond;
		const bucket = this._buckets.get(identity) ?? {tokens: this._random.next() < this._rate / this._vmCount ? 1 : this._random.next(), at: now};
		bucket.tokens = Math.min(Math.max(1, this._rate / this._vmCount), bucket.tokens + ((now - bucket.at) * perMillisecond));
		bucket.at = now;
		this._buckets.set(identity, bucket);
		return bucket.tokens >= 1;
	}

	recordStart({identity}: SharedServer): void {
		this._buckets.get(identity)!.tokens -= 1;
	}
}

/** The strategy of the product: a few VMs own the rate of each backend server. */
export class OwnerAdmission implements WarmUpAdmission {
	private readonly _rate: number;
	private readonly _quota: OwnerRateQuota;
	private readonly _starts = new Map<string, Instant[]>();

	constructor(rate: number, hash: (text: string) => number) {
		this._rate = rate;
		this._quota = new OwnerRateQuota(hash);
	}

	setMembers(members: FleetMembers, now: Instant): void {
		this._quota.setMembers(members, now);
	}

	recordCall(): void {
		// Admission does not depend on the rate of calls.
	}

	mayStart(server: SharedServer, now: Instant): boolean {
		return this._recentStarts(server, now).length < this._quota.attemptsPerSecond(server, this._rate, now);
	}

	recordStart(server: SharedServer, now: Instant): void {
		this._starts.set(server.identity, [...this._recentStarts(server, now), now]);
	}

	private _recentStarts({identity}: SharedServer, now: Instant): Instant[] {
		return (this._starts.get(identity) ?? []).filter(at => now - at < millisecondsPerSecond);
	}
}

/** Each VM admits an attempt with the probability at which the attempts of all VMs add up to the rate, estimated from the VM's own calls. */
export class ThinnedAdmission implements WarmUpAdmission {
	private readonly _rate: number;
	private readonly _random: RandomSource;
	private readonly _serverCount: number;
	private _vmCount = 1;
	private _calls: Instant[] = [];

	constructor(rate: number, random: RandomSource, serverCount: number) {
		this._rate = rate;
		this._random = random;
		this._serverCount = serverCount;
	}

	setMembers(members: FleetMembers): void {
		this._vmCount = countOf(members);
	}

	recordCall(now: Instant): void {
		this._calls = [...this._calls.filter(at => now - at < millisecondsPerSecond), now];
	}

	mayStart(): boolean {
		const expected = this._calls.length * this._vmCount / this._serverCount;
		return this._random.next() < this._rate / Math.max(this._rate, expected);
	}

	recordStart(): void {
		// The probability does not depend on earlier attempts.
	}
}
