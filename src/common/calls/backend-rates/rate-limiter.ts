/** Decides when this VM may start attempts on backend servers that have announced a rate limit. */
import {type ServerTokenRequest, type ServerTokenResult} from '../../limits/types.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../../model/units.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {processIdentityOf} from '../health/process-identity.ts';
import {type RateQuota, type RateShare} from './rate-quota.ts';
import {RecentMaximum} from './recent-maximum.ts';

/** Fraction of a limit that all VMs use together while its holder does not answer: their lists of VMs, by which they share it, may differ. */
const unavailableFraction = 0.25;

/** Number of VMs by which it is divided at least: a short list must not let each VM use most of it. */
const minVmCount = 64;

/** Period over which the largest number of VMs counts. An outage of the store removes VMs from the lists when their leases end, and holders at the same time. */
const vmCountMilliseconds: Milliseconds = 60_000;

/** The lists of VMs of a fleet that starts together are complete after this time. */
const settlingMilliseconds: Milliseconds = 3000;

/** Maximum number of tokens in one request. */
const maxWanted = 8;

/** Limits the attempts on backend servers that have announced a rate limit; the methods take no others. */
export type RateLimiter = {
	/** Earliest start of the next attempt, as far as is known; `now` = it may start at once. */
	availableAt(server: BackendServerState, now: Instant): Instant;
	/** Whether an attempt may start now. */
	isAllowed(server: BackendServerState, now: Instant): boolean;
	/** Counts an attempt that starts. */
	take(server: BackendServerState, now: Instant): void;
	/** Sets the number of serving VMs in this VM's list, itself included. */
	setVmCount(count: number, now: Instant): void;
	/** Prepares for a call of a service with these limited backend servers; `waiting` = number of its queued calls. */
	request(servers: Iterable<BackendServerState>, waiting: number, now: Instant): void;
	/** Applies the outcome of a request for a process's tokens. Returns its backend server; undefined = nothing was requested. */
	onTokens(process: string, result: ServerTokenResult, now: Instant): BackendServerState | undefined;
};

/** Each VM has a share that follows from its list of VMs. For fleets without the store, whose VMs keep one list. */
export class DividedRateLimiter implements RateLimiter {
	private readonly _quota: RateQuota;

	constructor(quota: RateQuota) {
		this._quota = quota;
	}

	availableAt(server: BackendServerState, now: Instant): Instant {
		return server.rateLimit.share.availableAt(this._shareOf(server, now), now);
	}

	isAllowed(server: BackendServerState, now: Instant): boolean {
		return !server.rateLimit.share.isSpent(this._shareOf(server, now), now);
	}

	take(server: BackendServerState, now: Instant): void {
		server.rateLimit.share.take(this._shareOf(server, now), now);
	}

	setVmCount(): void {
		// Shares are computed from the members of the fleet.
	}

	request(): void {
		// A share needs no request.
	}

	onTokens(): undefined {
		return undefined;
	}

	private _shareOf({identity, rateLimit, declared: {dataCentre}}: BackendServerState, now: Instant): RateShare {
		return this._quota.limitShareOf({identity, dataCentre}, rateLimit.callsPerSecond!, now);
	}
}

export type GrantedRateLimiterOptions = {
	readonly random: RandomSource;
	readonly send: (request: ServerTokenRequest) => void;
};

/**
 * Each attempt needs a token of the holder of the limit, so that the sum over all VMs is bounded whichever VMs each of
 * them knows. While no holder answers, each VM starts attempts at random times, at a small part of the limit.
 */
export class GrantedRateLimiter implements RateLimiter {
	private readonly _options: GrantedRateLimiterOptions;
	/** Backend servers with a request in flight, by process. */
	private readonly _requested = new Map<string, BackendServerState>();
	private readonly _vmCount = new RecentMaximum(vmCountMilliseconds);
	/** When the list of VMs is complete. */
	private _settledAt: Instant = Infinity;

	constructor(options: GrantedRateLimiterOptions) {
		this._options = options;
	}

	setVmCount(count: number, now: Instant): void {
		this._vmCount.set(count, now);
		this._settledAt = Math.min(this._settledAt, now + settlingMilliseconds);
	}

	availableAt(server: BackendServerState, now: Instant): Instant {
		const {tokens} = server.rateLimit;
		return tokens.isUnavailable && !tokens.has(now) ? this._randomStartAt(server, now) : tokens.availableAt(now);
	}

	isAllowed(server: BackendServerState, now: Instant): boolean {
		const {tokens} = server.rateLimit;
		return tokens.has(now) || (tokens.isUnavailable && this._randomStartAt(server, now) <= now);
	}

	take(server: BackendServerState, now: Instant): void {
		const {rateLimit} = server;
		if (rateLimit.tokens.has(now)) {
			rateLimit.tokens.take();
		} else {
			rateLimit.randomStarts.take(this._unavailableRate(server, now), this._options.random, now);
		}
	}

	request(servers: Iterable<BackendServerState>, waiting: number, now: Instant): void {
		const open = [...servers].filter(({takesNewAttempts, rateLimit}) => takesNewAttempts && rateLimit.callsPerSecond !== undefined && rateLimit.tokens.mayRequest(now));
		const wanted = Math.max(1, Math.min(maxWanted, Math.ceil(waiting / Math.max(1, open.length))));
		for (let left = Math.max(1, waiting); left > 0 && open.length > 0; left -= wanted) {
			const [server] = open.splice(Math.floor(this._options.random.next() * open.length), 1);
			this._send(server!, wanted);
		}
	}

	onTokens(process: string, result: ServerTokenResult, now: Instant): BackendServerState | undefined {
		const server = this._requested.get(process);
		this._requested.delete(process);
		server?.rateLimit.tokens.onResult(result, now);
		return server;
	}

	private _send(server: BackendServerState, wanted: number): void {
		const {rateLimit} = server;
		const process = processIdentityOf(server, undefined);
		rateLimit.tokens.onRequested();
		this._requested.set(process, server);
		this._options.send({
			server: process, callsPerSecond: rateLimit.callsPerSecond!, announcedAt: rateLimit.announcedAt, wanted,
		});
	}

	/** Time of the next attempt while no holder answers. */
	private _randomStartAt(server: BackendServerState, now: Instant): Instant {
		return now < this._settledAt ? this._settledAt : server.rateLimit.randomStarts.nextAt(this._unavailableRate(server, now), this._options.random, now);
	}

	/** Calls per second of this VM while no holder answers. */
	private _unavailableRate({rateLimit}: BackendServerState, now: Instant): number {
		return unavailableFraction * rateLimit.callsPerSecond! / Math.max(minVmCount, this._vmCount.get(now) ?? 0);
	}
}
