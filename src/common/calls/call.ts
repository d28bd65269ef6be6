/** The records of a call and its attempts, kept until they end. */
import {type RelayAddress} from '../links/types.ts';
import {type Service} from '../model/resources.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type LoadSnapshot} from './estimates/answer-time-model.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {type CallClass} from './estimates/call-classes.ts';
import {type SharingDecision} from './admission/service-overload.ts';
import {type PendingProbes} from './probing/load-prober.ts';
import {type ServiceState} from './service-state.ts';
import {type TimerEntry} from './timer-queue.ts';
import {
	type AttemptId, type AttemptRecord, type CallOutcome, type CallRequest, type PlacingGrounds,
} from './types.ts';

/** State of a call. */
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
	/** Reported calls of other VMs above their usual number when the backend server was chosen, weighted by the report's age. */
	readonly reportedExcess: number;
	/** Estimates for the backend server when it was chosen. */
	readonly loadSnapshot: LoadSnapshot;
	/** Reported instance of the backend server at the start of the attempt; a crash is attributed to this process. */
	readonly instance: string | undefined;
	/** VM through which the connection goes; undefined = direct. */
	readonly via: RelayAddress | undefined;
	/** True for the single trial call that a backend server in state `doubted` or `probing` gets. */
	readonly isTrial: boolean;
	/** True if the call may crash its backend server: other suspects avoid that server meanwhile. */
	readonly isSuspect: boolean;
	/** True if the call has probably crashed backend servers: all other calls avoid its backend server meanwhile. */
	readonly isLikelyHarmful: boolean;
	/** True if the backend server was warming up when the attempt started. */
	readonly isWarmUp: boolean;
	/** Its entry in the log line of the call; undefined unless load probes are on demand. */
	record?: AttemptRecord;
	/** True once the first byte was sent; from then on the call may run. */
	isSent: boolean;
	hasHead: boolean;
};

/** The answer that is being forwarded to the caller. */
export type ForwardedAnswer = {
	readonly attempt: Attempt;
	readonly status: number;
	readonly outcome: CallOutcome;
	readonly validator: string | undefined;
};

/** One call. */
export type Call = {
	readonly request: CallRequest;
	/** The service as declared when the call arrived; these rules apply until the call ends. */
	readonly service: Service;
	readonly serviceState: ServiceState;
	readonly class: CallClass;
	readonly arrivedAt: Instant;
	/** Time until which an answer meets the latency objective; earlier if the caller is retrying and has spent part of the time. */
	readonly objectiveAt: Instant;
	/** Time at which the call is refused if no head of an answer has arrived. */
	readonly deadline: Instant;
	readonly isIdempotent: boolean;
	/** Priority among the calls of the service; 0 = most urgent. */
	readonly priority: number;
	state: CallState;
	/** Pending timers of the call, removed from the timer queue when it ends. */
	readonly timers: Array<TimerEntry<unknown>>;
	/** True while the call holds its idempotency key. */
	hasKey: boolean;
	/** Attempts that have neither ended nor been cancelled. */
	readonly attempts: Set<Attempt>;
	attemptCount: number;
	/** True if an ended attempt may have run; a non-idempotent call is not attempted again then. */
	mayHaveRun: boolean;
	forwardedAnswer: ForwardedAnswer | undefined;
	firstStartedAt: Instant | undefined;
	/** Backend servers on which an attempt of this call failed. */
	readonly failedServers: Set<BackendServerState>;
	/** Records of its attempts and the reasons for each choice; undefined unless load probes are on demand. */
	readonly trail: AttemptRecord[] | undefined;
	/** Data behind the latest choice of a backend server. */
	grounds: PlacingGrounds | undefined;
	/** Share of the capacity that such calls had when this one arrived; undefined = the service was not short of capacity. */
	sharing: SharingDecision | undefined;
	/** True if the call was refused by the sharing of capacity. */
	isWithheld: boolean;
	/** Pending load probes for its next attempt. */
	probing: PendingProbes | undefined;
	/** True if a backend server with a free slot shed the call, which indicates a fault and not a full server. */
	wasShedWithFreeSlot: boolean;
	/** Attempts whose connection was reset after sending. A second one makes the call a suspect in two crashes. */
	resetCount: number;
};

/** Priority of a call whose organisation and route have none; the platform's documents have the same default for routes. */
const defaultPriority = 0;

/** What the time limit of a call applies to once its answer is forwarded: a route limits the whole answer, a service the wait for more of it. */
export function timeLimitScope({request}: Pick<Call, 'request'>): 'whole' | 'progress' {
	return request.rule === undefined ? 'progress' : 'whole';
}

/** Time that a resumed download has to get its head; not positive if the time limit forbids it. */
export function resumeMilliseconds(call: Call, now: Instant): Milliseconds {
	return call.deadline - (timeLimitScope(call) === 'whole' ? now : call.arrivedAt);
}

/** Creates the record of a new call. */
export function newCall(request: CallRequest, serviceState: ServiceState, now: Instant): Call {
	const {declared} = serviceState;
	const {rule} = request;
	const maxTimeout = rule?.timeoutMilliseconds ?? declared.timeoutMilliseconds;
	const timeout: Milliseconds = Math.min(request.timeoutMilliseconds ?? maxTimeout, maxTimeout);
	const objective: Milliseconds = rule?.objectiveMilliseconds ?? declared.objective.latencyMilliseconds;
	return {
		request,
		service: declared,
		serviceState,
		class: serviceState.classes.classOf(request),
		arrivedAt: now,
		objectiveAt: now + objective - serviceState.retryingCallers.timeSpentBefore(request.timeoutMilliseconds, rule),
		deadline: now + timeout,
		isIdempotent: rule?.isIdempotent ?? declared.idempotentMethods.includes(request.method),
		priority: request.priority ?? rule?.priority ?? defaultPriority,
		state: 'queued',
		timers: [],
		hasKey: false,
		attempts: new Set(),
		attemptCount: 0,
		mayHaveRun: false,
		forwardedAnswer: undefined,
		firstStartedAt: undefined,
		failedServers: new Set(),
		trail: serviceState.isMeasuredOnDemand ? [] : undefined,
		grounds: undefined,
		sharing: undefined,
		isWithheld: false,
		probing: undefined,
		wasShedWithFreeSlot: false,
		resetCount: 0,
	};
}

/** Whether the call ran, from its ended attempts and the answer that is being forwarded. */
export function outcomeSoFar(call: Call): CallOutcome {
	if (call.forwardedAnswer !== undefined) {
		return call.forwardedAnswer.outcome;
	}

	return call.mayHaveRun ? 'unknown' : 'not-run';
}

/** Latency objective of a call: of its route, else of its service. */
export function objectiveOf(call: Call): Milliseconds {
	return call.request.rule?.objectiveMilliseconds ?? call.service.objective.latencyMilliseconds;
}

/** Work time as a fraction of the objective, assumed until the first answer of the call's class. */
const assumedWorkFraction = 0.35;

/**
 * Highest work time that is assumed, as a fraction of the objective. A few calls in a hundred may take several times as long
 * as usual. One of them among the first samples of a class would make all its calls look too long for their objective, so
 * that they were refused beside idle backend servers and nothing more was learnt.
 */
const maxWorkFraction = 0.7;

/** Estimated work time of a call on a backend server that is not slowed down. */
export function workEstimate(call: Call): Milliseconds {
	const objective = objectiveOf(call);
	return call.class.hasWork ? Math.min(call.class.workMean, maxWorkFraction * objective) : assumedWorkFraction * objective;
}

/** Whether a call that started at this time could still be answered within its objective. */
export function canBeInTime(call: Call, startedAt: Instant): boolean {
	return startedAt + workEstimate(call) <= call.objectiveAt;
}

/** Whether a call has no body that needs buffering for a retry. */
export function isBodiless(request: CallRequest): boolean {
	return request.method === 'GET' || request.method === 'HEAD' || request.bodyBytes === 0;
}
