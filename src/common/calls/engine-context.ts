/** What the parts of the engine share while they handle an event. */
import {type Instant, type RandomSource} from '../model/units.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {type Attempt, type Call} from './call.ts';
import {type CrashSuspects} from './crash-suspects.ts';
import {type PendingProbes} from './load-prober.ts';
import {type ServiceState} from './service-state.ts';
import {type TimerQueue} from './timer-queue.ts';
import {type CallTuning} from './tuning.ts';
import {type RateQuota} from './rate-quota.ts';
import {type CallEffect, type FleetShares} from './types.ts';

/** Settings of the engine that no resource declares. */
export type CallEngineSettings = {
	/** This VM's data centre: calls stay in it while it can carry them. */
	readonly dataCentre: string;
	/**
	 * Statuses that callers read as "has not run and never will". A backend server's bare answer with one of them
	 * proves nothing, so it is not passed on. Empty where callers are told the outcome in a header of its own.
	 */
	readonly notRunStatuses?: ReadonlySet<number>;
	/**
	 * Second attempts of a service's calls that all VMs together may make at once beyond the service's share; undefined =
	 * each VM saves up a few of its own.
	 */
	readonly retryBurst?: number | undefined;
};

/** Something that becomes due. */
export type Timer
	= | {readonly type: 'deadline'; readonly call: Call}
	/** Started later than this, a queued call would not be answered in time. */
		| {readonly type: 'latest-start'; readonly call: Call}
		| {readonly type: 'hedge'; readonly attempt: Attempt}
	/** Reports that have not come by then are not waited for. */
		| {readonly type: 'probing'; readonly call: Call; readonly probing: PendingProbes}
	/** Backend servers may have room again, which no event of this VM would tell. */
		| {readonly type: 'queue-look'; readonly service: ServiceState}
	/** A resumed download whose head has not come by then comes to nothing. */
		| {readonly type: 'resume'; readonly attempt: Attempt};

/** Shared by the parts of one engine. */
export type EngineContext = {
	readonly random: RandomSource;
	readonly tuning: CallTuning;
	readonly settings: CallEngineSettings;
	readonly timers: TimerQueue<Timer>;
	readonly suspects: CrashSuspects;
	/** Services whose concurrency has become free in this event. */
	readonly freed: Set<ServiceState>;
	/** Records of processes that another one has replaced in this event; their attempts are still open. */
	readonly replaced: BackendServerState[];
	readonly rateQuota: RateQuota;
	shares: FleetShares | undefined;
	/** Nothing is placed now: what is known may be as old as a pause. */
	isPlacingHeld: boolean;
	effects: CallEffect[];
};

/** Whether a timer still means something. */
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

		case 'queue-look': {
			return true;
		}

		case 'hedge':
		case 'resume': {
			return timer.attempt.call.attempts.has(timer.attempt) && !timer.attempt.hasHead;
		}
	}
}

/** VMs believed to serve. */
export function vmCountOf(context: EngineContext): number {
	return Math.max(1, context.shares?.vmCount ?? 1);
}

/** An instant on the way: when a peer's update was made, by its age. */
export function instantBefore(now: Instant, age: number): Instant {
	return now - Math.max(0, age);
}
