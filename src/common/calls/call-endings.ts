/** Ends calls: each exactly once, with an outcome that is true. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {
	type Attempt, type Call, objectiveOf, outcomeSoFar,
} from './call.ts';
import {type EngineContext} from './engine-context.ts';
import {whenLimitsAllow} from './placer.ts';
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
	quarantined: 403,
	'not-ready': 503,
	stopping: 503,
};

/** Refusals for lack of room: the backlog says when to come back. */
const backlogReasons = new Set<RefusalReason>(['queue-full', 'overloaded']);

/** Refusals for a fault that others will mend. */
const faultReasons = new Set<RefusalReason>(['no-backend-server', 'key-unavailable', 'not-ready', 'stopping', 'backend-server-failed']);

/** Shortest time after which a refused caller is asked to come back: below it, refusing costs more than serving. */
const shortestRetryAfter: Milliseconds = 100;

/**
 * The same where backend servers with free slots turned the call away: the next attempt is as good as any, and its
 * caller still has time for an answer within its objective.
 */
const shedRetryAfter: Milliseconds = 5;

/** Time after which to come back when something is broken. */
const faultRetryAfter: Milliseconds = 1000;

/** Ends calls. */
export class CallEndings {
	private readonly _context: EngineContext;
	private readonly _calls: Map<CallId, Call>;
	private readonly _dropAttempt: (attempt: Attempt) => void;

	constructor(context: EngineContext, calls: Map<CallId, Call>, dropAttempt: (attempt: Attempt) => void) {
		this._context = context;
		this._calls = calls;
		this._dropAttempt = dropAttempt;
	}

	/** Refuses a call of which no record is kept. */
	refuseUnheard(request: CallRequest, reason: RefusalReason): void {
		this._context.effects.push({
			type: 'refuse',
			callId: request.callId,
			status: refusalStatus[reason],
			reason,
			outcome: 'not-run',
			retryAfterMilliseconds: faultReasons.has(reason) ? this._spread(faultRetryAfter) : undefined,
		}, {
			type: 'call-ended',
			callId: request.callId,
			summary: {
				service: request.service, outcome: 'not-run', reason, attempts: 0, milliseconds: 0, queuedMilliseconds: 0, isGood: false,
			},
		});
	}

	/** The final answer, at once. What still runs for the call is cancelled. */
	refuse(call: Call, reason: RefusalReason, now: Instant, outcome?: CallOutcome): void {
		this.cancelAttempts(call);
		const known = outcome ?? outcomeSoFar(call);
		this._releaseKey(call, known);
		this._context.effects.push({
			type: 'refuse',
			callId: call.request.callId,
			status: refusalStatus[reason],
			reason,
			outcome: known,
			retryAfterMilliseconds: this._retryAfter(call, reason, now),
		});
		this.end(call, known, reason, now);
	}

	/** A half-passed-on answer that cannot be completed: its caller must see that. */
	breakOff(call: Call, now: Instant): void {
		this._context.effects.push({type: 'break-off', callId: call.request.callId});
		this.end(call, outcomeSoFar(call), 'backend-server-failed', now);
	}

	/** The caller has gone: nothing is answered, and nothing goes on in vain. */
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
		const milliseconds = now - call.arrivedAt;
		const isWhole = outcome === 'ran' && reason === undefined;
		this._context.effects.push({
			type: 'call-ended',
			callId: call.request.callId,
			summary: {
				service: call.service.name,
				outcome,
				reason,
				attempts: call.attemptCount,
				milliseconds,
				queuedMilliseconds: (call.firstStartedAt ?? now) - call.arrivedAt,
				...(call.trail === undefined ? {} : {trail: call.trail}),
				...(call.grounds === undefined ? {} : {grounds: call.grounds}),
				isGood: isWhole && milliseconds <= objectiveOf(call),
			},
		});
	}

	/** Gives up all attempts but one, and says so to their backend servers. */
	cancelAttempts(call: Call, kept?: Attempt): void {
		for (const attempt of call.attempts) {
			if (attempt !== kept) {
				this._context.effects.push({type: 'cancel-attempt', attemptId: attempt.id});
				call.mayHaveRun ||= attempt.isSent;
				this._dropAttempt(attempt);
			}
		}
	}

	/** A key whose call did not run must be free for the caller's next sending. */
	private _releaseKey(call: Call, outcome: CallOutcome): void {
		const key = call.request.idempotencyKey;
		if (call.hasKey && outcome === 'not-run' && key !== undefined) {
			call.hasKey = false;
			this._context.effects.push({type: 'release-key', service: call.service.name, key});
		}
	}

	private _retryAfter(call: Call, reason: RefusalReason, now: Instant): Milliseconds | undefined {
		if (backlogReasons.has(reason)) {
			const service = call.serviceState;
			if (call.wasShedWithRoom && service.queue.size === 0) {
				return this._spread(shedRetryAfter);
			}

			const untilAllowed = Math.min(faultRetryAfter, whenLimitsAllow(this._context, service, now) - now);
			return this._spread(Math.max(shortestRetryAfter, untilAllowed, service.waitFor(service.queue.size + 1)));
		}

		return faultReasons.has(reason) ? this._spread(faultRetryAfter) : undefined;
	}

	/** Up to twice the time: callers refused together must not come back together. */
	private _spread(time: Milliseconds): Milliseconds {
		return time * (1 + this._context.random.next());
	}
}
