/** What the parts of the engine share while they handle an event. */
import {type Instant, type RandomSource} from '../model/units.ts';
import {type Attempt, type Call} from './call.ts';
import {type CrashSuspects} from './crash-suspects.ts';
import {type ServiceState} from './service-state.ts';
import {type TimerQueue} from './timer-queue.ts';
import {type CallTuning} from './tuning.ts';
import {type CallEffect, type FleetShares} from './types.ts';

/** Settings of the engine that no resource declares. */
export type CallEngineSettings = {
	/** This VM's data centre: calls stay in it while it can carry them. */
	readonly dataCentre: string;
};

/** Something that becomes due. */
export type Timer
	= | {readonly type: 'deadline'; readonly call: Call}
	/** Started later than this, a queued call would not be answered in time. */
		| {readonly type: 'latest-start'; readonly call: Call}
		| {readonly type: 'hedge'; readonly attempt: Attempt}
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

/** An instant on the way: tells a peer's news by its age. */
export function instantBefore(now: Instant, age: number): Instant {
	return now - Math.max(0, age);
}
