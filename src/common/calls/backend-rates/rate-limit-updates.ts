/** Applies what answers, load probes and the registry say of rate limits, and reports each change. */
import {type Instant} from '../../model/units.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {type EngineContext} from '../engine-context.ts';
import {type ServiceState} from '../service-state.ts';
import {processIdentityOf} from '../health/process-identity.ts';
import {
	type BackendServerIdentity, type CallEvent, type LoadUpdate, type RateLimitNotice, type RateLimitSource, type RateLimitAdvertisement,
} from '../types.ts';
import {type AnswerRateLimit, type RateLimitChange} from './rate-limit.ts';
import {supersedes} from './advertised-rate-limit.ts';

/** The services and backend servers in force. */
export type LimitedServices = {
	service(name: string): ServiceState | undefined;
	server(identity: BackendServerIdentity): BackendServerState | undefined;
	allServers(): Iterable<BackendServerState>;
};

/** What changed a rate limit; `status` = of the answer. */
type RateLimitCause = {readonly source: RateLimitSource; readonly status?: number; readonly rateLimit: RateLimitNotice | undefined};

/** Maximum number of processes whose rate limits are kept until they are in the configuration. */
const maxAdvertisements = 4096;

export class RateLimitUpdates {
	private readonly _context: EngineContext;
	private readonly _services: LimitedServices;
	/** Rate limits that other VMs have sent, by process, the oldest first. */
	private readonly _advertisements = new Map<string, {readonly advertisement: RateLimitAdvertisement; readonly at: Instant}>();

	constructor(context: EngineContext, services: LimitedServices) {
		this._context = context;
		this._services = services;
	}

	/** Applies the rate limit in the answer to an attempt, or its absence. */
	applyAnswer(server: BackendServerState, answer: AnswerRateLimit, now: Instant): void {
		const {status, notice: rateLimit} = answer;
		this._report(server, server.rateLimit.applyAnswer(answer, now), {source: 'answer', status, rateLimit});
		this._tellPeers(server, now);
	}

	/** Applies the rate limit in the response to a load probe that was sent at `sentAt`, or its absence. */
	applyProbe(server: BackendServerState, rateLimit: RateLimitNotice | undefined, sentAt: Instant, now: Instant): void {
		this._report(server, server.rateLimit.applyProbe(rateLimit, sentAt, now), {source: 'load-probe', rateLimit});
		this._tellPeers(server, now);
	}

	/** Applies a rate limit that another VM has sent. */
	applyPeerUpdate({identity, rateLimit: advertisement, ageMilliseconds}: LoadUpdate, now: Instant): void {
		if (advertisement === undefined) {
			return;
		}

		const at = now - Math.max(0, ageMilliseconds);
		const known = this._advertisements.get(advertisement.process)?.advertisement;
		if (known === undefined || supersedes(advertisement, known)) {
			this._keepAdvertisement(advertisement, at);
		}

		const server = this._services.server(identity);
		if (server !== undefined && processIdentityOf(server, undefined) === advertisement.process) {
			this._applyAdvertisement(server, advertisement, at);
		}
	}

	/** Applies the rate limit that other VMs sent before this backend server was in the configuration. */
	onRegistered(server: BackendServerState): void {
		const known = this._advertisements.get(processIdentityOf(server, undefined));
		if (known !== undefined) {
			this._applyAdvertisement(server, known.advertisement, known.at);
		}
	}

	/** Applies the outcome of a request for tokens of a backend server's limit; waiting calls may start, or be refused. */
	applyTokens({server: process, result}: CallEvent & {type: 'server-tokens'}, now: Instant): void {
		const server = this._context.rateLimiter.onTokens(process, result, now);
		const service = server === undefined ? undefined : this._services.service(server.declared.service);
		if (service !== undefined) {
			this._context.servicesToDrain.add(service);
		}
	}

	/** The entry of a backend server was removed; its limit is kept with its process. */
	onRemoved(server: BackendServerState): void {
		if (server.rateLimit.callsPerSecond !== undefined) {
			this._report(server, 'ended', {source: 'entry-removed', rateLimit: undefined});
		}
	}

	/** The entry of a process came back. */
	onReturned(server: BackendServerState): void {
		const {callsPerSecond} = server.rateLimit;
		if (callsPerSecond !== undefined) {
			this._report(server, 'named', {source: 'entry-returned', rateLimit: callsPerSecond});
		}
	}

	private _applyAdvertisement(server: BackendServerState, advertisement: RateLimitAdvertisement, at: Instant): void {
		this._report(server, server.rateLimit.applyAdvertisement(advertisement, at), {source: 'peer', rateLimit: advertisement.callsPerSecond});
	}

	private _keepAdvertisement(advertisement: RateLimitAdvertisement, at: Instant): void {
		this._advertisements.delete(advertisement.process);
		this._advertisements.set(advertisement.process, {advertisement, at});
		if (this._advertisements.size > maxAdvertisements) {
			this._advertisements.delete(this._advertisements.keys().next().value!);
		}
	}

	/** Sends a new, changed or ended rate limit to the other VMs. */
	private _tellPeers(server: BackendServerState, now: Instant): void {
		const advertisement = server.rateLimit.takeAdvertisement(now);
		if (advertisement !== undefined) {
			this._context.effects.push({
				type: 'tell-peers',
				update: {
					identity: server.identity, report: undefined, ageMilliseconds: 0, suspects: [], crash: undefined, rateLimit: {process: processIdentityOf(server, undefined), ...advertisement},
				},
			});
		}
	}

	private _report(server: BackendServerState, change: RateLimitChange, cause: RateLimitCause): void {
		if (change === 'none') {
			return;
		}

		const {service} = server.declared;
		this._services.service(service)?.updateLimitedServers();
		this._context.effects.push({
			type: 'rate-limit-changed',
			identity: server.identity,
			service,
			...cause,
			limitedServers: [...this._services.allServers()].filter(one => one.rateLimit.callsPerSecond !== undefined).length,
		});
	}
}
