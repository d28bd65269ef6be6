/** How many attempts a second this VM may start at a backend server that warms up. */
import {chooseByRank} from '../fleet/membership/rendezvous.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type BackendServerIdentity, type FleetMembers} from './types.ts';

/** VMs that share a warming backend server's rate: more than one, so that its warm-up survives the loss of a VM. */
const ownersOfServer = 3;

/**
 * A VM that has just started may know few of the others, and would take itself for the owner of all. Entries of a fleet
 * that starts together are known to all within this time.
 */
const settlingMilliseconds: Milliseconds = 3000;

/** The backend server in question. */
export type WarmingServer = {
	readonly identity: BackendServerIdentity;
	readonly dataCentre: string;
};

/** Divides a rate that all VMs share. */
export type WarmUpQuota = {
	/** Takes the VMs that are known to serve. */
	setMembers(members: FleetMembers, now: Instant): void;
	/** Attempts that this VM may start there in any second. `rate` = what all VMs together may start. */
	attemptsPerSecond(server: WarmingServer, rate: number, now: Instant): number;
};

/** For a VM that shares its backend servers with no other. */
export class WholeWarmUpQuota implements WarmUpQuota {
	setMembers(): void {
		// There are no others.
	}

	attemptsPerSecond(_server: WarmingServer, rate: number): number {
		return rate;
	}
}

/**
 * A few VMs of a backend server's data centre own its warm-up and share its rate; the others leave it. All choose the
 * same owners without a message, by rendezvous hashing. VMs whose lists differ choose others: each wrong list adds at
 * most an owner's share, where an even division of the rate over all VMs would leave each of them less than one call.
 */
export class OwnerWarmUpQuota implements WarmUpQuota {
	private readonly _hash: (text: string) => number;
	private _members: FleetMembers | undefined;
	private _knownSince: Instant | undefined;
	private _shares = new Map<string, number>();

	constructor(hash: (text: string) => number) {
		this._hash = hash;
	}

	setMembers(members: FleetMembers, now: Instant): void {
		this._members = members;
		this._knownSince ??= now;
		this._shares = new Map();
	}

	attemptsPerSecond(server: WarmingServer, rate: number, now: Instant): number {
		if (this._members === undefined || now - this._knownSince! < settlingMilliseconds) {
			return 0;
		}

		const key = `${server.identity} ${rate}`;
		const share = this._shares.get(key) ?? this._share(server, rate, this._members);
		this._shares.set(key, share);
		return share;
	}

	private _share({identity, dataCentre}: WarmingServer, rate: number, {own, byDataCentre}: FleetMembers): number {
		const near = byDataCentre.get(dataCentre) ?? [...byDataCentre.values()].flat();
		const whole = Math.floor(rate);
		const owners = chooseByRank(near, Math.min(ownersOfServer, whole), vm => this._hash(`${vm} ${identity}`));
		const place = owners.indexOf(own);
		return place === -1 ? 0 : Math.floor(whole / owners.length) + (place < whole % owners.length ? 1 : 0);
	}
}
