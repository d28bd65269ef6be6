/** Chooses the backend server for an attempt. */
import {type BackendServer} from '../model/resources.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {type AttemptPurpose, type Call, isBodiless} from './call.ts';
import {type EngineContext, vmCountOf} from './engine-context.ts';
import {type ServiceState} from './service-state.ts';
import {type RateShare} from './rate-quota.ts';

/** A choice. */
export type Placement = {
	readonly server: BackendServerState;
	/** The one call that a backend server in doubt gets. */
	readonly isExperiment: boolean;
};

/** Chooses backend servers. */
export type Placer = {
	/** Undefined = no backend server may take this call now. */
	place(call: Call, now: Instant, purpose?: AttemptPurpose): Placement | undefined;
};

/** Width of the bend between "a slot is free" and "it waits", in calls: the load is only estimated. */
const waitSmoothingCalls = 1.5;

/** Answers faster than the clock can tell would make all costs nothing, and failures with them. */
const minAnswerMilliseconds: Milliseconds = 0.1;

/** Time after which any call may tell whether a backend server in doubt works. */
const maxDoubtMilliseconds: Milliseconds = 5000;

/** Part of a new value in the estimate of local load. */
const localLoadGain = 0.1;

/** At least one, else a small part of a small limit would leave the backend server without calls. */
export function connectionLimit(context: EngineContext, server: BackendServer): number {
	return Math.max(1, Math.floor((context.shares?.connectionPart ?? 0) * server.connectionLimit));
}

/** Whether a backend server may get no attempt of this VM now, as it warms up or names a rate limit. */
export function isSpared(context: EngineContext, server: BackendServerState, call: Call, now: Instant): boolean {
	return isSparedForWarmUp(context, server, call, now) || isRateLimited(context, server, now);
}

/** This VM's share of the rate limit that a backend server has named; undefined = it has named none. */
export function shareOfLimit({rateLimit, identity, declared: {dataCentre}}: BackendServerState, context: EngineContext, now: Instant): RateShare | undefined {
	return rateLimit.callsPerSecond === undefined ? undefined : context.rateQuota.shareOfLimit({identity, dataCentre}, rateLimit.callsPerSecond, now);
}

/** Whether this VM's share of the backend server's rate limit is spent for now. */
export function isRateLimited(context: EngineContext, server: BackendServerState, now: Instant): boolean {
	const share = shareOfLimit(server, context, now);
	return share !== undefined && server.rateLimit.isSpent(share, now);
}

/**
 * When the service's backend servers may next get an attempt of this VM: now while one of them names no rate limit or its
 * share is not spent.
 */
export function whenLimitsAllow(context: EngineContext, service: ServiceState, now: Instant): Instant {
	let earliest = Infinity;
	for (const server of service.servers) {
		const share = server.takesNewAttempts ? shareOfLimit(server, context, now) : undefined;
		if (server.takesNewAttempts && share === undefined) {
			return now;
		}

		earliest = Math.min(earliest, share === undefined ? Infinity : server.rateLimit.availableAt(share, now));
	}

	return earliest;
}

/**
 * Whether a backend server warms up and this VM has started as many attempts there in the last second as it may. Guards
 * a cold backend server that looks idle to every VM at once: it crashes under more calls a second than its service declares.
 */
export function isSparedForWarmUp(context: EngineContext, server: BackendServerState, call: Call, now: Instant): boolean {
	const {warmUp} = call.serviceState;
	if (warmUp === undefined || !server.warmUp.isUnderWay(now)) {
		return false;
	}

	const {identity, declared: {dataCentre}} = server;
	return server.startsWithinSecond(now) >= context.rateQuota.attemptsPerSecond({identity, dataCentre}, warmUp.callsPerSecond, now);
}

/**
 * Places by the time that the answer is expected to take: the class's mean, times the backend server's
 * slowness and failures, and the wait for a slot. Made for loads that change within milliseconds under
 * reports that are old: what is known fades with its age, and when nothing fresh is known all look alike
 * and chance decides, so that many VMs with the same old reports do not choose the same backend server.
 */
export class ExpectedTimePlacer implements Placer {
	private readonly _context: EngineContext;

	constructor(context: EngineContext) {
		this._context = context;
	}

	place(call: Call, now: Instant): Placement | undefined {
		const trialServer = this._trialServer(call, now);
		if (trialServer !== undefined) {
			return {server: trialServer, isExperiment: true};
		}

		const server = this._cheapest(call, now, true) ?? this._cheapest(call, now, false);
		return server === undefined ? undefined : {server, isExperiment: false};
	}

	/**
	 * A backend server in doubt gets one call at a time, and only one that can be sent again: its answer
	 * tells whether a connection or the backend server was at fault, at the price of one call. Where a
	 * service has no such calls it gets any one after a while, or it would never come back.
	 */
	private _trialServer(call: Call, now: Instant): BackendServerState | undefined {
		if (call.attemptCount > 0) {
			return undefined;
		}

		const isSafeToRepeat = call.isIdempotent && isBodiless(call.request) && call.request.mayRetry;
		for (const server of call.serviceState.servers) {
			const health = server.healthAt(now);
			const isInDoubt = (health === 'doubted' || health === 'probing') && server.attempts.size === 0 && server.takesNewAttempts && !isSpared(this._context, server, call, now);
			if (isInDoubt && (isSafeToRepeat || server.healthAge(now) >= maxDoubtMilliseconds)) {
				return server;
			}
		}

		return undefined;
	}

	/**
	 * The second pass, for the case that all look bad, lets health aside: refusing everything because of
	 * suspicions of its own would turn a common cause into an outage.
	 */
	private _cheapest(call: Call, now: Instant, requiresHealthy: boolean): BackendServerState | undefined {
		const service = call.serviceState;
		const vmCount = vmCountOf(this._context);
		let best: BackendServerState | undefined;
		let minCost = Infinity;
		let localLoad = 0;
		let localCount = 0;
		const {servers} = service;
		// Begun anywhere, so that VMs that know nothing yet do not all choose the first.
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
		if (isSpared(this._context, server, call, now)) {
			return false;
		}

		if (!server.takesNewAttempts || call.failedOn.has(server) || server.attempts.size >= connectionLimit(this._context, server.declared)) {
			return false;
		}

		// Beside a call that may crash it, an innocent one would be lost and look guilty too.
		const hasSuspectInFlight = server.suspectsInFlight > 0;
		if (hasSuspectInFlight && (requiresHealthy || this._context.suspects.isSuspect(call.request.fingerprint))) {
			return false;
		}

		const health = server.healthAt(now);
		return !requiresHealthy || health === 'active' || health === 'warming';
	}

	private _cost(server: BackendServerState, call: Call, now: Instant, load: number): number {
		const slots = server.slotsAt(now);
		const excess = load + 1 - slots;
		const wait = waitSmoothingCalls * Math.log1p(Math.exp(Math.min(50, excess / waitSmoothingCalls))) * call.serviceState.classes.all.holdMean / slots;
		const failureFactor = 1 + (this._context.tuning.failurePenalty * server.failingAt(now));
		return ((Math.max(minAnswerMilliseconds, call.class.answerMean) + wait) * server.slownessAt(now)) * failureFactor;
	}

	/**
	 * Local first: another data centre costs the way, and looks dearer still while local load is below the
	 * operator's mark. Above it the reluctance shrinks with the load and not at a stroke, and each VM
	 * goes by its own estimate, so that not all calls of a data centre move at once.
	 */
	private _remoteCost(call: Call): number {
		const {overflowAt} = call.serviceState.sharing;
		const excessLoad = (call.serviceState.localLoad - overflowAt) / Math.max(0.01, 1 - overflowAt);
		const penaltyFactor = 1 - Math.min(1, Math.max(0, excessLoad));
		const {remoteMilliseconds, remoteReluctance} = this._context.tuning;
		return remoteMilliseconds + (penaltyFactor * remoteReluctance * call.class.answerMean);
	}
}
