/** Chooses the backend server for an attempt where probing is paced, and checks the limits that all placement obeys. */
import {type BackendServer} from '../../model/resources.ts';
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {type AttemptPurpose, type Call, isBodiless} from '../call.ts';
import {type EngineContext, vmCountOf} from '../engine-context.ts';
import {type ServiceState} from '../service-state.ts';

/** A chosen backend server. */
export type Placement = {
	readonly server: BackendServerState;
	/** It is the single trial call of a backend server in doubt. */
	readonly isTrial: boolean;
};

/** Placement policy. */
export type Placer = {
	/** Undefined = no backend server may get this call now. */
	place(call: Call, now: Instant, purpose?: AttemptPurpose): Placement | undefined;
};

/**
 * Width of the smooth transition between "a slot is free" and "the call waits", in calls: the load is only an estimate.
 */
const waitSmoothingCalls = 1.5;

/** Lower bound of the answer time in the cost. At 0 all costs would vanish, and the failure factor with them. */
const minAnswerMilliseconds: Milliseconds = 0.1;

/** Time after which any call, not only a repeatable one, may be the trial call of a backend server in doubt. */
const maxDoubtMilliseconds: Milliseconds = 5000;

/** Weight of a new value in the moving average of local load. */
const localLoadGain = 0.1;

/**
 * Connections that this VM may hold to the backend server. At least one: a small share of a small limit would otherwise
 * round down to none.
 */
export function connectionLimit(context: EngineContext, server: BackendServer): number {
	return Math.max(1, Math.floor((context.shares?.connectionFraction ?? 0) * server.connectionLimit));
}

/** Whether the warm-up rate or the rate limit of a backend server currently forbids another attempt of this VM. */
export function isThrottled(context: EngineContext, server: BackendServerState, call: Call, now: Instant): boolean {
	return isThrottledByWarmUp(context, server, call, now) || isRateLimited(context, server, now);
}

/** Whether the rate limit of a backend server forbids another attempt of this VM for now. */
export function isRateLimited({rateLimiter}: EngineContext, server: BackendServerState, now: Instant): boolean {
	return server.rateLimit.callsPerSecond !== undefined && !rateLimiter.isAllowed(server, now);
}

/**
 * Earliest time at which rate limits allow an attempt of this VM on one of the service's backend servers: now if one of
 * them has no rate limit, or its limit may allow one.
 */
export function nextAllowedAt({rateLimiter}: EngineContext, service: ServiceState, now: Instant): Instant {
	let earliest = Infinity;
	for (const server of service.servers) {
		if (server.takesNewAttempts) {
			earliest = Math.min(earliest, server.rateLimit.callsPerSecond === undefined ? now : rateLimiter.availableAt(server, now));
		}

		if (earliest <= now) {
			return now;
		}
	}

	return earliest;
}

/**
 * Whether a backend server is warming up and this VM has started its share of attempts there within the last second.
 * Without this limit every VM would send its calls to a cold backend server that looks idle, which crashes under more
 * calls per second than its service declares.
 */
export function isThrottledByWarmUp(context: EngineContext, server: BackendServerState, call: Call, now: Instant): boolean {
	const {warmUp} = call.serviceState;
	if (warmUp === undefined || !server.warmUp.isUnderWay(now)) {
		return false;
	}

	const {identity, declared: {dataCentre}} = server;
	return server.startsWithinSecond(now) >= context.rateQuota.attemptsPerSecond({identity, dataCentre}, warmUp.callsPerSecond, now);
}

/**
 * Places by expected answer time: the mean of the call's class and the wait for a slot, multiplied by the backend
 * server's slowness and failure factor. Made for loads that change within milliseconds while reports are old: the weight
 * of a report decays with its age. Without fresh data all backend servers cost the same and a random choice decides, so
 * that many VMs with the same old reports do not choose the same one.
 */
export class ExpectedTimePlacer implements Placer {
	private readonly _context: EngineContext;

	constructor(context: EngineContext) {
		this._context = context;
	}

	place(call: Call, now: Instant): Placement | undefined {
		const trialServer = this._trialServer(call, now);
		if (trialServer !== undefined) {
			return {server: trialServer, isTrial: true};
		}

		const server = this._cheapest(call, now, true) ?? this._cheapest(call, now, false);
		return server === undefined ? undefined : {server, isTrial: false};
	}

	/**
	 * A backend server in doubt gets one trial call at a time, and only one that can be sent again: the result shows
	 * whether a connection or the backend server was at fault, at the cost of one call. After `maxDoubtMilliseconds` any
	 * call will do, since a service without repeatable calls would otherwise never use that backend server again.
	 */
	private _trialServer(call: Call, now: Instant): BackendServerState | undefined {
		if (call.attemptCount > 0) {
			return undefined;
		}

		const isSafeToRepeat = call.isIdempotent && isBodiless(call.request) && call.request.mayRetry;
		for (const server of call.serviceState.servers) {
			const health = server.healthAt(now);
			const isInDoubt = (health === 'doubted' || health === 'probing') && server.attempts.size === 0 && server.takesNewAttempts && !isThrottled(this._context, server, call, now);
			if (isInDoubt && (isSafeToRepeat || server.healthAge(now) >= maxDoubtMilliseconds)) {
				return server;
			}
		}

		return undefined;
	}

	/**
	 * The second pass, when no backend server is healthy, ignores health: refusing all calls because of this VM's own
	 * health checks would turn a common cause into an outage.
	 */
	private _cheapest(call: Call, now: Instant, requiresHealthy: boolean): BackendServerState | undefined {
		const service = call.serviceState;
		const vmCount = vmCountOf(this._context);
		let best: BackendServerState | undefined;
		let minCost = Infinity;
		let localLoad = 0;
		let localCount = 0;
		const {servers} = service;
		// A random start, so that VMs without any data do not all choose the first one.
		const offset = Math.floor(this._context.random.next() * servers.length);
		for (let index = 0; index < servers.length; index++) {
			const server = servers[(index + offset) % servers.length]!;
			if (!this._isEligible(server, call, now, requiresHealthy)) {
				continue;
			}

			const load = service.loadOf(server, vmCount, now);
			const isLocal = server.declared.dataCentre === this._context.settings.dataCentre;
			if (isLocal) {
				localLoad += load / server.declared.slots;
				localCount++;
			}

			const cost = this._cost(server, call, now, load) + (isLocal ? 0 : this._remoteCost(call));
			if (cost < minCost) {
				minCost = cost;
				best = server;
			}
		}

		service.localLoad += ((localCount === 0 ? 1 : localLoad / localCount) - service.localLoad) * localLoadGain;
		return best;
	}

	private _isEligible(server: BackendServerState, call: Call, now: Instant, requiresHealthy: boolean): boolean {
		if (isThrottled(this._context, server, call, now)) {
			return false;
		}

		if (!server.takesNewAttempts || call.failedServers.has(server) || server.attempts.size >= connectionLimit(this._context, server.declared)) {
			return false;
		}

		// A harmless call beside one that may crash the backend server would be lost, and would become a suspect too.
		const hasSuspectInFlight = server.suspectsInFlight > 0;
		if (hasSuspectInFlight && (requiresHealthy || this._context.poisonRequests.isSuspect(call.request.fingerprint))) {
			return false;
		}

		const health = server.healthAt(now);
		return !requiresHealthy || health === 'active' || health === 'warming';
	}

	private _cost(server: BackendServerState, call: Call, now: Instant, load: number): number {
		const slots = server.slotsAt(now);
		const excess = load + 1 - slots;
		const wait = waitSmoothingCalls * Math.log1p(Math.exp(Math.min(50, excess / waitSmoothingCalls))) * call.serviceState.classes.all.holdMean / slots;
		const failureFactor = 1 + (this._context.tuning.failurePenalty * server.failureRateAt(now));
		return ((Math.max(minAnswerMilliseconds, call.class.answerMean) + wait) * server.slownessAt(now)) * failureFactor;
	}

	/**
	 * Cost of leaving the data centre: the round trip, and a penalty while local load is below the operator's `overflowAt`.
	 * Above it the penalty shrinks gradually with the load, and each VM uses its own load estimate, so that the calls of a
	 * data centre do not all move at once.
	 */
	private _remoteCost(call: Call): number {
		const {overflowAt} = call.serviceState.sharing;
		const excessLoad = (call.serviceState.localLoad - overflowAt) / Math.max(0.01, 1 - overflowAt);
		const penaltyFactor = 1 - Math.min(1, Math.max(0, excessLoad));
		const {remoteRoundTripMilliseconds, remotePenaltyFraction} = this._context.tuning;
		return remoteRoundTripMilliseconds + (penaltyFactor * remotePenaltyFraction * call.class.answerMean);
	}
}
