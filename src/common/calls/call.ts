/** What the engine keeps of a call and of its attempts while they live. */
import {type Service} from '../model/resources.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type Prospect} from './answer-time-model.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {type CallClass} from './call-classes.ts';
import {type PendingProbes} from './load-prober.ts';
import {type ServiceState} from './service-state.ts';
import {type TimerEntry} from './timer-queue.ts';
import {
	type AttemptId, type AttemptRecord, type CallOutcome, type CallRequest, type PlacingGrounds,
} from './types.ts';

/** Where a call stands. */
export type CallState = 'claiming' | 'queued' | 'running' | 'answering' | 'ended';

/** Why an attempt was started. */
export type AttemptPurpose = 'first' | 'retry' | 'hedge' | 'resume';

/** One attempt to run a call on one backend server. */
export type Attempt = {
	readonly id: AttemptId;
	readonly call: Call;
	readonly server: BackendServerState;
	readonly purpose: AttemptPurpose;
	readonly startedAt: Instant;
	/** Calls more than usual that were reported there when it was chosen. */
	readonly signal: number;
	/** What was known of the backend server when it was chosen. */
	readonly prospect: Prospect;
	/** Process of the backend server as known at the start: the crash it may die in. */
	readonly instance: string | undefined;
	/** The one call that a backend server in doubt gets. */
	readonly isExperiment: boolean;
	/** It may crash its backend server: nothing else is placed beside it. */
	readonly isSuspect: boolean;
	/** Its backend server was warming up when it started. */
	readonly isWarmUp: boolean;
	/** The first byte has left: from here on it may run. */
	isSent: boolean;
	hasHead: boolean;
};

/** The answer that is being passed on. */
export type Answering = {
	readonly attempt: Attempt;
	readonly status: number;
	readonly outcome: CallOutcome;
	readonly validator: string | undefined;
};

/** One call. */
export type Call = {
	readonly request: CallRequest;
	/** As declared when the call arrived: its rules hold to its end. */
	readonly service: Service;
	readonly serviceState: ServiceState;
	readonly class: CallClass;
	readonly arrivedAt: Instant;
	/** Until then its answer is worth most. A caller that comes back has used part of that time before. */
	readonly objectiveAt: Instant;
	/** After it nobody waits for the head of an answer. */
	readonly deadline: Instant;
	readonly isIdempotent: boolean;
	state: CallState;
	/** Everything that is to become due for it; taken out of the queue when it ends. */
	readonly timers: Array<TimerEntry<unknown>>;
	/** It holds a granted claim of its idempotency key. */
	hasKey: boolean;
	/** Attempts that have neither ended nor been given up. */
	readonly attempts: Set<Attempt>;
	attemptCount: number;
	/** An attempt that is over may have run: a call that is not idempotent must not start again. */
	mayHaveRun: boolean;
	answering: Answering | undefined;
	firstStartedAt: Instant | undefined;
	/** Backend servers that have failed this call. */
	readonly failedOn: Set<BackendServerState>;
	/** Its attempts and what decided on them; undefined where measuring is by the clock. */
	readonly trail: AttemptRecord[] | undefined;
	/** What the latest look for a place saw. */
	grounds: PlacingGrounds | undefined;
	/** Reports are being fetched for its next attempt. */
	probing: PendingProbes | undefined;
	/** A backend server that had a free slot turned it away: it fails, and is not full. */
	wasShedWithRoom: boolean;
	/** Attempts whose connection was reset after sending: a second one makes the call a suspect at two crashes. */
	resets: number;
};

/** A fresh record of a call. */
export function newCall(request: CallRequest, serviceState: ServiceState, now: Instant): Call {
	const {declared} = serviceState;
	const {rule} = request;
	const longest = rule?.timeoutMilliseconds ?? declared.timeoutMilliseconds;
	const timeout: Milliseconds = Math.min(request.timeoutMilliseconds ?? longest, longest);
	const objective: Milliseconds = rule?.objectiveMilliseconds ?? declared.objective.latencyMilliseconds;
	return {
		request,
		service: declared,
		serviceState,
		class: serviceState.classes.classOf(request),
		arrivedAt: now,
		objectiveAt: now + objective - serviceState.returning.spentOf(request.timeoutMilliseconds, rule),
		deadline: now + timeout,
		isIdempotent: rule?.isIdempotent ?? declared.idempotentMethods.includes(request.method),
		state: 'queued',
		timers: [],
		hasKey: false,
		attempts: new Set(),
		attemptCount: 0,
		mayHaveRun: false,
		answering: undefined,
		firstStartedAt: undefined,
		failedOn: new Set(),
		trail: serviceState.isMeasuredOnDemand ? [] : undefined,
		grounds: undefined,
		probing: undefined,
		wasShedWithRoom: false,
		resets: 0,
	};
}

/** What is known of whether a call ran, from attempts that are over and those that are not. */
export function outcomeSoFar(call: Call): CallOutcome {
	if (call.answering !== undefined) {
		return call.answering.outcome;
	}

	return call.mayHaveRun ? 'unknown' : 'not-run';
}

/** Time within which the answer of a call is worth most. */
export function objectiveOf(call: Call): Milliseconds {
	return call.request.rule?.objectiveMilliseconds ?? call.service.objective.latencyMilliseconds;
}

/** Part of its objective that a call's work is taken to need until an answer has told. */
const assumedWorkPart = 0.35;

/** Time that the work of a call takes at a backend server that nothing slows down. */
export function workEstimate(call: Call): Milliseconds {
	return call.class.hasWork ? call.class.workMean : assumedWorkPart * objectiveOf(call);
}

/** A call without a body to keep: it can be sent again as it is. */
export function isBodiless(request: CallRequest): boolean {
	return request.method === 'GET' || request.method === 'HEAD' || request.bodyBytes === 0;
}
