/** Ends calls. Each call ends exactly once, with an outcome that is proven or `unknown`. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {
	type Attempt, type Call, canBeInTime, objectiveOf, outcomeSoFar,
} from './call.ts';
import {type EngineContext} from './engine-context.ts';
import {nextAllowedAt} from './placement/placer.ts';
import {
	type CallId, type CallOutcome, type CallRequest, type RefusalReason,
} from './types.ts';

/** HTTP status of each refusal. */
const refusalStatus: Readonly<Record<RefusalReason, number>> = {
	'unknown-service': 404,
	'no-backend-server': 503,
	'queue-full': 503,
	'deadline-exceeded': 504,
	overloaded: 503,
	'backend-server-failed': 502,
	'outcome-unknown': 502,
	'key-taken': 409,
	'key-unavailable': 503,
	// Callers repeat a call after most other statuses.
	quarantined: 400,
	suspected: 503,
	'not-ready': 503,
	stopping: 503,
	unauthorized: 401,
	'over-limit': 429,
	'limits-unavailable': 503,
};

/**
 * Status of a call that reached no backend server, where the reason alone would give 502 or 504: callers may repeat a
 * non-idempotent call only after a 503.
 */
const notRunStatus = 503;

/** Refusals whose status is `notRunStatus` if the call is proven not to have run. */
const failureReasons = new Set<RefusalReason>(['deadline-exceeded', 'backend-server-failed']);

/** Refusals for lack of capacity: the retry delay follows from the backlog. */
const backlogReasons = new Set<RefusalReason>(['queue-full', 'overloaded']);

/** Ends of calls that count as demand which was not served. */
const unservedReasons = new Set<RefusalReason>(['queue-full', 'overloaded', 'deadline-exceeded']);

/** Refusals for a fault outside the call: the caller can retry after a fixed delay. */
const faultReasons = new Set<RefusalReason>(['no-backend-server', 'key-unavailable', 'not-ready', 'stopping', 'backend-server-failed']);

/** Refusals of a call that may crash backend servers. */
const suspicionReasons = new Set<RefusalReason>(['quarantined', 'suspected']);

/** Minimum retry delay of a refused call. With a shorter one, refusals would cost more than answers. */
const minRetryAfterMilliseconds: Milliseconds = 100;

/**
 * Retry delay if a backend server with a free slot shed the call and no call is queued. Waiting longer would not improve
 * the chance of the retry, and the caller still has time for an answer within its objective.
 */
const shedRetryAfterMilliseconds: Milliseconds = 5;

/** Retry delay of a call that waits for the end of an earlier attempt that may have crashed a backend server. */
const suspectedRetryAfterMilliseconds: Milliseconds = 250;

/** Retry delay after a fault, and the maximum wait for a rate limit that is used up. */
const faultRetryAfterMilliseconds: Milliseconds = 1000;

export class CallCompletion {
	private readonly _context: EngineContext;
	private readonly _calls: Map<CallId, Call>;
	private readonly _removeAttempt: (attempt: Attempt) => void;

	constructor(context: EngineContext, calls: Map<CallId, Call>, removeAttempt: (attempt: Attempt) => void) {
		this._context = context;
		this._calls = calls;
		this._removeAttempt = removeAttempt;
	}

	/** Refuses a call that the engine has no record of. */
	refuseUnregistered(request: CallRequest, reason: RefusalReason): void {
		this._context.effects.push({
			type: 'refuse',
			callId: request.callId,
			status: refusalStatus[reason],
			reason,
			outcome: 'not-run',
			retryAfterMilliseconds: faultReasons.has(reason) ? this._addJitter(faultRetryAfterMilliseconds) : undefined,
		}, {
			type: 'call-ended',
			callId: request.callId,
			summary: {
				service: request.service, outcome: 'not-run', reason, attempts: 0, milliseconds: 0, queuedMilliseconds: 0, isGood: false,
			},
		});
	}

	/** Sends the final answer at once and cancels all attempts of the call. */
	refuse(call: Call, reason: RefusalReason, now: Instant, outcome?: CallOutcome): void {
		this.cancelAttempts(call);
		const finalOutcome = outcome ?? outcomeSoFar(call);
		this._releaseKey(call, finalOutcome);
		this._context.effects.push({
			type: 'refuse',
			callId: call.request.callId,
			status: failureReasons.has(reason) && finalOutcome === 'not-run' ? notRunStatus : refusalStatus[reason],
			reason,
			outcome: finalOutcome,
			retryAfterMilliseconds: this._retryAfter(call, reason, finalOutcome, now),
		});
		this.end(call, finalOutcome, reason, now);
	}

	/** Aborts a partly forwarded answer that cannot be completed, so that the caller detects the truncation. */
	abortAnswer(call: Call, now: Instant): void {
		this._context.effects.push({type: 'break-off', callId: call.request.callId});
		this.end(call, outcomeSoFar(call), 'backend-server-failed', now);
	}

	/** Ends a call whose caller has disconnected: cancels its attempts and sends no answer. */
	abandon(call: Call, now: Instant): void {
		this.cancelAttempts(call);
		this.end(call, outcomeSoFar(call), undefined, now);
	}

	end(call: Call, outcome: CallOutcome, reason: RefusalReason | undefined, now: Instant): void {
		if (call.state === 'queued') {
			call.serviceState.queue.remove(call);
		}

		call.state = 'ended';
		call.probing = undefined;
		for (const timer of call.timers) {
			this._context.timers.remove(timer);
		}

		call.timers.length = 0;
		this._calls.delete(call.request.callId);
		this._recordDemand(call, outcome, reason, now);
		const milliseconds = now - call.arrivedAt;
		const {fingerprint} = call.request;
		const isCompleteAnswer = outcome === 'ran' && reason === undefined;
		this._context.effects.push({
			type: 'call-ended',
			callId: call.request.callId,
			summary: {
				service: call.service.name,
				priority: call.priority,
				...(call.request.organisation === undefined ? {} : {organisation: call.request.organisation}),
				outcome,
				reason,
				attempts: call.attemptCount,
				milliseconds,
				queuedMilliseconds: (call.firstStartedAt ?? now) - call.arrivedAt,
				...(call.trail === undefined ? {} : {trail: call.trail}),
				...(call.grounds === undefined ? {} : {grounds: call.grounds}),
				...(call.sharing === undefined ? {} : {sharing: call.sharing}),
				...(reason !== undefined && suspicionReasons.has(reason) ? {suspicion: {fingerprint, crashes: this._context.poisonRequests.crashCount(fingerprint)}} : {}),
				isGood: isCompleteAnswer && milliseconds <= objectiveOf(call),
			},
		});
	}

	/** Counts the call in the demand of its service, unless it ended for another reason than an answer or lack of capacity. */
	private _recordDemand(call: Call, outcome: CallOutcome, reason: RefusalReason | undefined, now: Instant): void {
		const isServed = outcome === 'ran' && reason === undefined;
		// A call that arrived too late is refused whatever the capacity.
		if (isServed || (canBeInTime(call, call.arrivedAt) && reason !== undefined && unservedReasons.has(reason))) {
			call.serviceState.overload.recordEnd(call.priority, call.request.caller, isServed ? 'served' : (call.isWithheld ? 'withheld' : 'unserved'), now);
		}
	}

	/** Cancels all attempts except the winner, also on their backend servers. */
	cancelAttempts(call: Call, winner?: Attempt): void {
		for (const attempt of call.attempts) {
			if (attempt !== winner) {
				this._context.effects.push({type: 'cancel-attempt', attemptId: attempt.id});
				call.mayHaveRun ||= attempt.isSent;
				this._removeAttempt(attempt);
			}
		}
	}

	/** Frees the idempotency key of a call that did not run, so that the caller's next request can claim it. */
	private _releaseKey(call: Call, outcome: CallOutcome): void {
		const key = call.request.idempotencyKey;
		if (call.hasKey && outcome === 'not-run' && key !== undefined) {
			call.hasKey = false;
			this._context.effects.push({type: 'release-key', service: call.service.name, key});
		}
	}

	private _retryAfter(call: Call, reason: RefusalReason, outcome: CallOutcome, now: Instant): Milliseconds | undefined {
		const isExpired = reason === 'deadline-exceeded';
		if (isExpired && (outcome !== 'not-run' || hasUsedUpTime(call, now))) {
			return undefined;
		}

		if (isExpired || backlogReasons.has(reason)) {
			const service = call.serviceState;
			if (call.wasShedWithFreeSlot && service.queue.size === 0) {
				return this._addJitter(shedRetryAfterMilliseconds);
			}

			const untilLimitAllows = Math.min(faultRetryAfterMilliseconds, nextAllowedAt(this._context, service, now) - now);
			if (call.sharing !== undefined) {
				return this._addJitter(Math.max(untilLimitAllows, call.sharing.retryAfterMilliseconds));
			}

			return this._addJitter(Math.max(minRetryAfterMilliseconds, untilLimitAllows, service.estimateWait(service.queue.size + 1)));
		}

		if (reason === 'suspected') {
			return this._addJitter(suspectedRetryAfterMilliseconds);
		}

		return faultReasons.has(reason) ? this._addJitter(faultRetryAfterMilliseconds) : undefined;
	}

	/** Adds a random delay of up to 100 %, so that callers that are refused together do not retry together. */
	private _addJitter(time: Milliseconds): Milliseconds {
		return time * (1 + this._context.random.next());
	}
}

/** Whether the time that the caller has stated is over, so that a retry within it is impossible. */
function hasUsedUpTime({request: {timeoutMilliseconds}, arrivedAt}: Call, now: Instant): boolean {
	return timeoutMilliseconds !== undefined && now >= arrivedAt + timeoutMilliseconds;
}
