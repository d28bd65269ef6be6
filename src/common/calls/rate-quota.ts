/** How much of a rate that all VMs share this VM may use, at a backend server that warms up or names a rate limit. */
import {chooseByRank} from '../fleet/membership/rendezvous.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type BackendServerIdentity, type FleetMembers} from './types.ts';

/** VMs that share a warming backend server's rate: more than one, so that its warm-up survives the loss of a VM. */
const ownersPerServer = 3;

/**
 * A VM that has just started may know few of the others, and would take itself for the owner of all. Entries of a fleet
 * that starts together are known to all within this time.
 */
const settlingMilliseconds: Milliseconds = 3000;

/** VMs that own a named rate limit, at least: it is in use while most of them have no calls. */
const minOwnersOfLimit = 3;

/** Calls a second of a named limit for each owner. Each owner may start one attempt at once beyond its share. */
const callsPerSecondPerOwner = 1;

/**
 * Part of a named limit that is left to VMs which own nothing of it: with a call now and then they learn from its answer that
 * the limit has ended.
 */
const nonOwnerFraction = 0.1;

/** Values of a hash. */
const hashRange = 2 ** 32;

/** A hash as a number from 0 to below 1. */
function hashFraction(hash: number): number {
	return (((hash % hashRange) + hashRange) % hashRange) / hashRange;
}

/** This VM's share of a named limit. */
export type RateShare = {
	readonly callsPerSecond: number;
	/** Attempts that it may start at once when it learns of the limit; below 1, it waits until one has added up. */
	readonly firstTokens: number;
};

/** The backend server in question. */
export type SharedServer = {
	readonly identity: BackendServerIdentity;
	readonly dataCentre: string;
};

/** Divides a rate that all VMs share. */
export type RateQuota = {
	/** Takes the VMs that are known to serve. */
	setMembers(members: FleetMembers, now: Instant): void;
	/** Attempts that this VM may start there in any second. `rate` = what all VMs together may start. */
	attemptsPerSecond(server: SharedServer, rate: number, now: Instant): number;
	/** This VM's share of a limit that the backend server has named. `rate` = calls a second from all VMs together. */
	shareOfLimit(server: SharedServer, rate: number, now: Instant): RateShare;
};

/** For a VM that shares its backend servers with no other. */
export class WholeRateQuota implements RateQuota {
	setMembers(): void {
		// There are no others.
	}

	attemptsPerSecond(_server: SharedServer, rate: number): number {
		return rate;
	}

	shareOfLimit(_server: SharedServer, rate: number): RateShare {
		return {callsPerSecond: rate, firstTokens: 1};
	}
}

/**
 * A few VMs of a backend server's data centre own its rate and share it; the others leave it. All choose the
 * same owners without a message, by rendezvous hashing. VMs whose lists differ choose others: each wrong list adds at
 * most an owner's share, where an even division of the rate over all VMs would leave each of them less than one call.
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

	shareOfLimit(server: SharedServer, rate: number, now: Instant): RateShare {
		if (this._members === undefined || now - this._membersSince! < settlingMilliseconds) {
			return {callsPerSecond: 0, firstTokens: 0};
		}

		const key = `${server.identity} ${rate}`;
		const share = this._limitShares.get(key) ?? this._limitShare(server, rate, this._members);
		this._limitShares.set(key, share);
		return share;
	}

	/** More owners for a larger limit: a few VMs of a large fleet have no use for it. */
	private _limitShare({identity, dataCentre}: SharedServer, rate: number, {own, byDataCentre}: FleetMembers): RateShare {
		const count = Math.max(minOwnersOfLimit, Math.ceil(rate / callsPerSecondPerOwner));
		const localVms = byDataCentre.get(dataCentre) ?? [];
		const all = [...byDataCentre.values()].flat();
		const owners = chooseByRank(localVms.length >= count ? localVms : all, count, vm => this._hash(`${vm} ${identity}`));
		const nonOwners = all.length - owners.length;
		if (owners.includes(own)) {
			return {callsPerSecond: (nonOwners > 0 ? 1 - nonOwnerFraction : 1) * rate / owners.length, firstTokens: 1};
		}

		return {callsPerSecond: nonOwnerFraction * rate / Math.max(1, nonOwners), firstTokens: hashFraction(this._hash(`${identity} ${own}`))};
	}

	private _warmUpShare({identity, dataCentre}: SharedServer, rate: number, {own, byDataCentre}: FleetMembers): number {
		const localVms = byDataCentre.get(dataCentre) ?? [...byDataCentre.values()].flat();
		const wholeCalls = Math.floor(rate);
		const owners = chooseByRank(localVms, Math.min(ownersPerServer, wholeCalls), vm => this._hash(`${vm} ${identity}`));
		const rank = owners.indexOf(own);
		return rank === -1 ? 0 : Math.floor(wholeCalls / owners.length) + (rank < wholeCalls % owners.length ? 1 : 0);
	}
}
