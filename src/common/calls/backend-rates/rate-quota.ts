/**
 * Divides a rate that all VMs share, on a backend server that warms up or announces a rate limit, and gives this VM's
 * share.
 */
import {chooseByRank} from '../../fleet/membership/rendezvous.ts';
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type BackendServerIdentity, type FleetMembers} from '../types.ts';

/**
 * Number of VMs that share a warming backend server's rate: more than one, so that the warm-up continues when a VM fails.
 */
const ownersPerServer = 3;

/**
 * A VM that has just started may know few of the others and would take itself for the owner of every backend server. When
 * a fleet starts together, all VMs have each other's entries within this time.
 */
const settlingMilliseconds: Milliseconds = 3000;

/** Minimum number of VMs that own an announced rate limit, so that it is used even while most of them have no calls. */
const minOwnersOfLimit = 3;

/** Calls per second of an announced limit for each owner. Each owner may start one attempt at once beyond its share. */
const callsPerSecondPerOwner = 1;

/**
 * Fraction of an announced limit for VMs that do not own it: with an occasional call they learn from its answer that the
 * limit has ended.
 */
const nonOwnerFraction = 0.1;

/** Number of values of a hash. */
const hashRange = 2 ** 32;

/** Maps a hash to a number from 0 to below 1. */
function hashFraction(hash: number): number {
	return (((hash % hashRange) + hashRange) % hashRange) / hashRange;
}

/** This VM's share of an announced limit. */
export type RateShare = {
	readonly callsPerSecond: number;
	/**
	 * Attempts that it may start at once when the limit is first announced to it. Below 1, the first attempt waits until a
	 * whole token has accumulated.
	 */
	readonly initialTokens: number;
};

/** The backend server whose rate is divided. */
export type SharedServer = {
	readonly identity: BackendServerIdentity;
	readonly dataCentre: string;
};

/** Divides a rate that all VMs share. */
export type RateQuota = {
	/** Sets the VMs that currently serve. */
	setMembers(members: FleetMembers, now: Instant): void;
	/** Attempts that this VM may start there in any second. `rate` = attempts per second of all VMs together. */
	attemptsPerSecond(server: SharedServer, rate: number, now: Instant): number;
	/**
	 * This VM's share of a limit that the backend server has announced. `rate` = calls per second from all VMs together.
	 */
	limitShareOf(server: SharedServer, rate: number, now: Instant): RateShare;
};

/** For a VM that shares its backend servers with no other. */
export class SingleVmRateQuota implements RateQuota {
	setMembers(): void {
		// There are no others.
	}

	attemptsPerSecond(_server: SharedServer, rate: number): number {
		return rate;
	}

	limitShareOf(_server: SharedServer, rate: number): RateShare {
		return {callsPerSecond: rate, initialTokens: 1};
	}
}

/**
 * A few VMs of a backend server's data centre own its rate and share it; the others use none or little of it. All VMs
 * compute the same owners without communication, by rendezvous hashing. A VM with a different member list computes
 * different owners, which adds at most one owner's share to the sum. An even division over all VMs would leave each less
 * than one call.
 */
export class OwnerRateQuota implements RateQuota {
	private readonly _hash: (text: string) => number;
	private _members: FleetMembers | undefined;
	private _membersSince: Instant | undefined;
	private _warmUpShares = new Map<string, number>();
	private _limitShares = new Map<string, RateShare>();

	constructor(hash: (text: string) => number) {
		this._hash = hash;
	}

	setMembers(members: FleetMembers, now: Instant): void {
		this._members = members;
		this._membersSince ??= now;
		this._warmUpShares = new Map();
		this._limitShares = new Map();
	}

	attemptsPerSecond(server: SharedServer, rate: number, now: Instant): number {
		if (this._members === undefined || now - this._membersSince! < settlingMilliseconds) {
			return 0;
		}

		const key = `${server.identity} ${rate}`;
		const share = this._warmUpShares.get(key) ?? this._warmUpShare(server, rate, this._members);
		this._warmUpShares.set(key, share);
		return share;
	}

	limitShareOf(server: SharedServer, rate: number, now: Instant): RateShare {
		if (this._members === undefined || now - this._membersSince! < settlingMilliseconds) {
			return {callsPerSecond: 0, initialTokens: 0};
		}

		const key = `${server.identity} ${rate}`;
		const share = this._limitShares.get(key) ?? this._limitShare(server, rate, this._members);
		this._limitShares.set(key, share);
		return share;
	}

	/** The number of owners grows with the limit: a few VMs of a large fleet could not use a large limit. */
	private _limitShare({identity, dataCentre}: SharedServer, rate: number, {own, byDataCentre}: FleetMembers): RateShare {
		const count = Math.max(minOwnersOfLimit, Math.ceil(rate / callsPerSecondPerOwner));
		const localVms = byDataCentre.get(dataCentre) ?? [];
		const all = [...byDataCentre.values()].flat();
		const owners = chooseByRank(localVms.length >= count ? localVms : all, count, vm => this._hash(`${vm} ${identity}`));
		const nonOwners = all.length - owners.length;
		if (owners.includes(own)) {
			return {callsPerSecond: (nonOwners > 0 ? 1 - nonOwnerFraction : 1) * rate / owners.length, initialTokens: 1};
		}

		return {callsPerSecond: nonOwnerFraction * rate / Math.max(1, nonOwners), initialTokens: hashFraction(this._hash(`${identity} ${own}`))};
	}

	private _warmUpShare({identity, dataCentre}: SharedServer, rate: number, {own, byDataCentre}: FleetMembers): number {
		const localVms = byDataCentre.get(dataCentre) ?? [...byDataCentre.values()].flat();
		const wholeCalls = Math.floor(rate);
		const owners = chooseByRank(localVms, Math.min(ownersPerServer, wholeCalls), vm => this._hash(`${vm} ${identity}`));
		const rank = owners.indexOf(own);
		return rank === -1 ? 0 : Math.floor(wholeCalls / owners.length) + (rank < wholeCalls % owners.length ? 1 : 0);
	}
}
