/** State that the parts of one engine share. */
import {type Instant, type RandomSource} from '../model/units.ts';
import {type BackendLinks} from '../links/backend-links.ts';
import {type DemandReports} from './admission/demand-reports.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {type Attempt, type Call} from './call.ts';
import {type PoisonRequestDetector} from './poison-requests/poison-request-detector.ts';
import {type PendingProbes} from './probing/load-prober.ts';
import {type ServiceState} from './service-state.ts';
import {type TimerQueue} from './timer-queue.ts';
import {type CallTuning} from './tuning.ts';
import {type RateLimiter} from './backend-rates/rate-limiter.ts';
import {type RateQuota} from './backend-rates/rate-quota.ts';
import {type CallEffect, type FleetShares} from './types.ts';

/** Settings of the engine that are not part of the declared resources. */
export type CallEngineSettings = {
	/** Data centre of this VM. Calls stay in it while its backend servers have capacity. */
	readonly dataCentre: string;
	/**
	 * Statuses that callers interpret as "has not run and never will". A backend server's answer with such a status does not
	 * prove that, so it is not forwarded. Empty if callers read the outcome from its own header.
	 */
	readonly notRunStatuses?: ReadonlySet<number>;
	/**
	 * Retries and hedges per service that all VMs together may start at once beyond the service's retry share; undefined =
	 * every VM has the default token limit of `RetryBudget`.
	 */
	readonly retryBurst?: number | undefined;
};

/** A timer of the engine. */
export type Timer
	= | {readonly type: 'deadline'; readonly call: Call}
	/** Latest start of a queued call; an attempt that starts later would not be answered in time. */
		| {readonly type: 'latest-start'; readonly call: Call}
		| {readonly type: 'hedge'; readonly attempt: Attempt}
	/** End of the wait for load probes. */
		| {readonly type: 'probing'; readonly call: Call; readonly probing: PendingProbes}
	/** Next check of the queue: backend servers may have regained capacity without an event on this VM. */
		| {readonly type: 'queue-check'; readonly service: ServiceState}
	/** Time limit for the head of a resumed download. */
		| {readonly type: 'resume'; readonly attempt: Attempt};

export type EngineContext = {
	readonly random: RandomSource;
	readonly tuning: CallTuning;
	readonly settings: CallEngineSettings;
	readonly timers: TimerQueue<Timer>;
	readonly poisonRequests: PoisonRequestDetector;
	/** Services whose queued calls are started or refused at the end of this event, since capacity or servers changed. */
	readonly servicesToDrain: Set<ServiceState>;
	/** Records of processes that were replaced by a new one in this event; their attempts are still open. */
	readonly replacedServers: BackendServerState[];
	readonly rateQuota: RateQuota;
	readonly rateLimiter: RateLimiter;
	/** Hash function that all VMs share; undefined = this VM uses all backend servers of its data centre. */
	readonly memberHash?: ((text: string) => number) | undefined;
	readonly demandReports: DemandReports;
	/** Paths to the backend servers. */
	readonly links: BackendLinks;
	shares: FleetShares | undefined;
	/** True while no attempt may start, since the state may be outdated after a pause of the VM. */
	isPlacingHeld: boolean;
	effects: CallEffect[];
};

/** Whether a timer still applies to its call, attempt or service. */
export function isTimerLive(timer: Timer): boolean {
	switch (timer.type) {
		case 'deadline': {
			return timer.call.state !== 'ended' && timer.call.state !== 'answering';
		}

		case 'latest-start': {
			return timer.call.state === 'queued';
		}

		case 'probing': {
			return timer.call.probing === timer.probing;
		}

		case 'queue-check': {
			return true;
		}

		case 'hedge':
		case 'resume': {
			return timer.attempt.call.attempts.has(timer.attempt) && !timer.attempt.hasHead;
		}
	}
}

/** Estimated number of VMs that serve calls; at least 1. */
export function vmCountOf(context: EngineContext): number {
	return Math.max(1, context.shares?.vmCount ?? 1);
}

/** Time at which something of this age was made; a negative age counts as 0. */
export function instantBefore(now: Instant, age: number): Instant {
	return now - Math.max(0, age);
}
