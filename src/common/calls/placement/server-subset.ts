/**
 * Subset of the backend servers of one service and data centre that one VM uses first, so that its few calls keep a few
 * connections in use instead of opening one to every backend server. docs/design/subsets.md has the design.
 */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type BackendServerIdentity, type FleetMembers} from '../types.ts';

/** Minimum size: enough backend servers to probe that a third of them may be slow and some full. */
const minServers = 6;

/** Up to this many backend servers in a data centre all are used: a subset would hardly be smaller. */
const maxServersWithoutSubset = 9;

/**
 * Time for which a connection is expected to stay open while it is idle. Backend servers state 10 s, and the HTTP client
 * closes idle connections 2 s earlier, so that it sends nothing on a connection that is being closed.
 */
const reuseMilliseconds: Milliseconds = 8000;

/**
 * Expected uses of a connection within that time. Some of them coincide with calls that are still running, and a call that
 * leaves the subset opens further connections.
 */
const usesPerReuseTime = 8;

/** Time constant of the estimate of the rate of uses: longer than the waves of demand (17 s), so that the size does not follow them. */
const rateMilliseconds: Milliseconds = 20_000;

/** Lower bound of the observed time, so that the first calls do not count as a high rate. */
const minObservedMilliseconds: Milliseconds = 2000;

/** Added to the size when it changes, as a fraction, so that a slightly higher rate does not change it again. */
const sizeReserve = 0.2;

/** The size is reduced when less than this fraction of it is needed. */
const shrinkFraction = 0.6;

/** All backend servers are used from this fraction of them. */
const allFraction = 0.8;

/** Minimum length of a ranking: while the rate of uses becomes known, the subset grows without a new one. */
const minRankedServers = 32;

/** Minimum interval between two rankings for changed members: when a fleet starts, its members change many times a second. */
const rankingMilliseconds: Milliseconds = 3000;

/**
 * Maximum difference in the number of VMs whose subsets contain a backend server. With 1, a VM that joins changes 10 to 22
 * percent of the choices, with 2, 5 to 19 percent (43 VMs, 26 to 97 backend servers, subsets of 6 to 20).
 */
const maxTakenSpread = 2;

type RankedServer = {readonly identity: BackendServerIdentity; readonly takesNewAttempts: boolean};

/** A backend server in the preference order of one VM. */
type Preference = {readonly index: number; readonly rank: number};

/**
 * Orders the backend servers for the VM `own` by rendezvous hashing, the first `count` of them. All VMs in `members` compute
 * each other's choices: in each round every VM takes its highest-ranked backend server among those that are not taken much
 * more often than others. So prefixes of equal length cover all backend servers about equally often, while plain rendezvous
 * hashing would leave some without any VM and give others twice the mean.
 */
export function balancedOrder(own: string, members: readonly string[], servers: readonly string[], {count, hash}: {readonly count: number; readonly hash: (text: string) => number}): string[] {
	const sortedServers = servers.toSorted();
	const vms = [...new Set([...members, own])].toSorted().map(name => ({
		name,
		preferences: sortedServers.map((server, index): Preference => ({index, rank: hash(`${name} ${server}`)})).toSorted((one, other) => other.rank - one.rank || one.index - other.index),
	}));
	const taken = sortedServers.map(() => 0);
	/** Lowest value in `taken`, and the number of backend servers that have it. */
	let least = 0;
	let leastCount = taken.length;
	const order: string[] = [];
	for (let round = 1; round <= Math.min(count, servers.length); round++) {
		const maxTaken = Math.ceil(vms.length * round / servers.length);
		for (const {name, preferences} of vms) {
			const limit = Math.min(maxTaken, least + maxTakenSpread);
			const preferred = preferences.findIndex(({index}) => taken[index]! < limit);
			const [choice] = preferences.splice(Math.max(0, preferred), 1);
			if (taken[choice!.index]!++ === least && --leastCount === 0) {
				least++;
				leastCount = countOf(taken, least);
			}

			if (name === own) {
				order.push(sortedServers[choice!.index]!);
			}
		}
	}

	return order;
}

function countOf(values: readonly number[], value: number): number {
	return values.filter(one => one === value).length;
}

/** Chooses the subset and its size by the VM's recent rate of uses. */
export class ServerSubset<Server extends RankedServer> {
	private readonly _hash: (text: string) => number;
	private _uses = 0;
	private _usesAt: Instant | undefined;
	private _firstUseAt: Instant = 0;
	private _size = minServers;
	private _isAll = false;
	private _servers: readonly Server[] | undefined;
	private _members: FleetMembers | undefined;
	private _rankedAt: Instant = -Infinity;
	private _rankedFor = '';
	/** The ranking is for earlier members or backend servers, since the one before it is too recent. */
	private _isRankingPostponed = false;
	private _order: string[] = [];
	private _subset: ReadonlySet<Server> | undefined;

	/** `hash` maps a text to 32 bits; all VMs use the same function. */
	constructor(hash: (text: string) => number) {
		this._hash = hash;
	}

	/** Records that `count` backend servers were chosen to be probed for a call. */
	recordUses(count: number, now: Instant): void {
		if (this._usesAt === undefined) {
			this._firstUseAt = now;
		}

		this._uses = (this._uses * Math.exp(((this._usesAt ?? now) - now) / rateMilliseconds)) + count;
		this._usesAt = now;
	}

	/**
	 * The backend servers to use first, among `servers` of the data centre `dataCentre`; undefined = all of them.
	 * `members` undefined = the VM knows no others.
	 */
	select(servers: readonly Server[], members: FleetMembers | undefined, dataCentre: string, now: Instant): ReadonlySet<Server> | undefined {
		this._updateSize(servers.length, now);
		if (members === undefined || servers.length <= maxServersWithoutSubset || this._isAll) {
			this._subset = undefined;
			return undefined;
		}

		const isRanked = this._order.length >= Math.min(this._size, servers.length);
		const isRankingDue = this._isRankingPostponed && now - this._rankedAt >= rankingMilliseconds;
		if (this._subset !== undefined && isRanked && !isRankingDue && this._servers === servers && this._members === members && this._subset.size === this._size) {
			return this._subset;
		}

		this._updateOrder(servers, members, dataCentre, now);
		const byIdentity = new Map(servers.map(server => [server.identity, server]));
		const chosen = this._order.map(identity => byIdentity.get(identity)).filter(server => server !== undefined).slice(0, this._size);
		this._subset = new Set(chosen);
		this._servers = servers;
		this._members = members;
		return this._subset;
	}

	/** Whether the backend server is in the latest subset; undefined = there is none. */
	includes(server: Server): boolean | undefined {
		return this._subset?.has(server);
	}

	/** Fraction of the backend servers of the data centre that are in the latest subset. */
	get fraction(): number {
		return this._subset === undefined || this._servers === undefined ? 1 : this._subset.size / Math.max(1, this._servers.length);
	}

	private _updateSize(serverCount: number, now: Instant): void {
		const observed = Math.max(minObservedMilliseconds, now - this._firstUseAt);
		const uses = this._uses * Math.exp(((this._usesAt ?? now) - now) / rateMilliseconds);
		const usesPerMillisecond = uses / (rateMilliseconds * (1 - Math.exp(-observed / rateMilliseconds)));
		const needed = Math.max(minServers, Math.ceil(usesPerMillisecond * reuseMilliseconds / usesPerReuseTime));
		if (needed > this._size || needed < shrinkFraction * this._size) {
			this._size = Math.max(minServers, Math.ceil(needed * (1 + sizeReserve)));
		}

		const fraction = this._size / Math.max(1, serverCount);
		this._isAll = fraction >= (this._isAll ? shrinkFraction : allFraction);
	}

	private _updateOrder(servers: readonly Server[], members: FleetMembers, dataCentre: string, now: Instant): void {
		const names = members.byDataCentre.get(dataCentre) ?? [];
		const identities = servers.map(({identity}) => identity);
		const inputs = JSON.stringify([names, identities]);
		const isLongEnough = this._order.length >= Math.min(this._size, servers.length);
		this._isRankingPostponed = isLongEnough && inputs !== this._rankedFor && now - this._rankedAt < rankingMilliseconds;
		if (this._isRankingPostponed || (isLongEnough && inputs === this._rankedFor)) {
			return;
		}

		this._order = balancedOrder(members.own, names, identities, {count: Math.max(minRankedServers, this._size * 2), hash: this._hash});
		this._rankedFor = inputs;
		this._rankedAt = now;
	}
}
