/** Ways to share a warming backend server's rate among VMs that do not talk about it. */
import {type FleetMembers} from '../../src/common/calls/types.ts';
import {OwnerRateQuota, type SharedServer} from '../../src/common/calls/rate-quota.ts';
import {type Instant, type RandomSource} from '../../src/common/model/units.ts';

const secondMilliseconds = 1000;

/** What one VM does about warming backend servers. */
export type WarmUpAdmission = {
	/** The VMs that this one knows, itself among them. */
	setMembers(members: FleetMembers, now: Instant): void;
	/** A call has come to this VM. */
	noteCall(now: Instant): void;
	/** Whether an attempt may start there. */
	mayStart(server: SharedServer, now: Instant): boolean;
	/** An attempt starts there. */
	noteStart(server: SharedServer, now: Instant): void;
};

function countOf(members: FleetMembers): number {
	return [...members.byDataCentre.values()].flat().length;
}

/** Nothing is held back. */
export class UnlimitedAdmission implements WarmUpAdmission {
	setMembers(): void {
		// Others do not matter.
	}

	noteCall(): void {
		// The own rate does not matter.
	}

	mayStart(): boolean {
		return true;
	}

	noteStart(): void {
		// Nothing is counted.
	}
}

/** Each VM has a token bucket for each backend server, filled at an even part of the rate. */
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

	noteCall(): void {
		// The own rate does not matter.
	}

	mayStart({identity}: SharedServer, now: Instant): boolean {
		const perMillisecond = this._rate / this._vmCount / secondMilliseconds;
		const bucket = this._buckets.get(identity) ?? {tokens: this._random.next() < this._rate / this._vmCount ? 1 : this._random.next(), at: now};
		bucket.tokens = Math.min(Math.max(1, this._rate / this._vmCount), bucket.tokens + ((now - bucket.at) * perMillisecond));
		bucket.at = now;
		this._buckets.set(identity, bucket);
		return bucket.tokens >= 1;
	}

	noteStart({identity}: SharedServer): void {
		this._buckets.get(identity)!.tokens -= 1;
	}
}

/** The product's way: a few VMs own the backend server's rate. */
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

	noteCall(): void {
		// The own rate does not matter.
	}

	mayStart(server: SharedServer, now: Instant): boolean {
		return this._within(server, now).length < this._quota.attemptsPerSecond(server, this._rate, now);
	}

	noteStart(server: SharedServer, now: Instant): void {
		this._starts.set(server.identity, [...this._within(server, now), now]);
	}

	private _within({identity}: SharedServer, now: Instant): Instant[] {
		return (this._starts.get(identity) ?? []).filter(at => now - at < secondMilliseconds);
	}
}

/** Each VM lets an attempt through with the chance at which all VMs together come to the rate, as far as it can estimate. */
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

	noteCall(now: Instant): void {
		this._calls = [...this._calls.filter(at => now - at < secondMilliseconds), now];
	}

	mayStart(): boolean {
		const expected = this._calls.length * this._vmCount / this._serverCount;
		return this._random.next() < this._rate / Math.max(this._rate, expected);
	}

	noteStart(): void {
		// The chance does not go by what was sent.
	}
}
