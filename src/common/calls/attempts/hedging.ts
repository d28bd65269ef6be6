/** Hedging: second attempts beside a first one that is slow. Plans when a hedge is due and decides whether it is sent. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {
	type Attempt, type Call, isBodiless, workEstimate,
} from '../call.ts';
import {type EngineContext} from '../engine-context.ts';

/**
 * Maximum attempts of one call, independent of the retry budget: three backend servers that fail the same call are no
 * coincidence.
 */
export const defaultAttemptLimit = 3;

/** Answers of a class that are required before its quantile is used for hedging. */
const minHedgeSamples = 50;

/**
 * A hedge is planned this many usual answer times before the objective: nine in ten answers of a quiet backend server
 * arrive within that time.
 */
const hedgeReserveFactor = 1.35;

/** Minimum delay of a hedge in usual answer times: three in four calls have been answered by then. */
const minHedgeDelayFactor = 1.25;

/**
 * Probability of an answer in time, given that none has come so far, above which a second attempt is not worth its slot.
 */
const sufficientProbability = 0.8;

/**
 * Fraction of attempts whose answer is missing for reasons outside the answer time model: lost connections, backend
 * servers that hang, neighbours that start during the call. It determines how soon a missing answer is attributed to such
 * a reason.
 */
const lostAnswerFraction = 0.03;

/** Interval of the checks of a postponed hedge: an eighth of the shortest usual answer time. */
const hedgeRecheckMilliseconds: Milliseconds = 20;

/**
 * Delay of a hedge in on-demand mode. There, slow phases affect a tenth of all calls and more, so that a high quantile is
 * itself the time of a slow call. The hedge is therefore sent while a usual answer still arrives within the objective.
 */
function hedgeDelay(call: Call, now: Instant): Milliseconds {
	const usualMilliseconds = workEstimate(call);
	return Math.max(call.objectiveAt - (usualMilliseconds * hedgeReserveFactor) - now, usualMilliseconds * minHedgeDelayFactor);
}

/** Decides on hedges; the attempt runner starts them. */
export class Hedging {
	private readonly _context: EngineContext;
	private readonly _start: (call: Call, now: Instant) => boolean;

	/** `start` starts a second attempt of the call; false = no backend server may get it now. */
	constructor(context: EngineContext, start: (call: Call, now: Instant) => boolean) {
		this._context = context;
		this._start = start;
	}

	/**
	 * Plans a hedge for an idempotent call without a body, for the case that the call is slower than nearly all of its
	 * class. Hedges help against single slow backend servers and lost connections. They are limited by the retry budget and
	 * not sent while calls are queued, since in a burst a second attempt takes the slot of another call's first one.
	 */
	plan(attempt: Attempt, now: Instant): void {
		const {call} = attempt;
		const {hedgeQuantile, minHedgeDelayMilliseconds} = this._context.tuning;
		const isRead = isBodiless(call.request);
		const times = call.class.answerTimes;
		const isOnDemand = call.serviceState.isMeasuredOnDemand;
		if (hedgeQuantile >= 1 || !isRead || !call.isIdempotent || !call.request.mayRetry || (!isOnDemand && times.count < minHedgeSamples)) {
			return;
		}

		const delay = isOnDemand ? hedgeDelay(call, now) : times.quantile(hedgeQuantile)!;
		const at = now + Math.max(delay, minHedgeDelayMilliseconds);
		if (at < call.deadline) {
			call.timers.push(this._context.timers.add(at, {type: 'hedge', attempt}));
		}
	}

	/**
	 * Called when a hedge is due. Postpones it while the first answer is still likely, else sends it to another backend
	 * server if the queue, the concurrency limit and the retry budget allow.
	 */
	tryNow(attempt: Attempt, now: Instant): void {
		const {call} = attempt;
		const service = call.serviceState;
		if (this._isFirstAnswerLikely(attempt, now)) {
			this._scheduleRecheck(attempt, now);
			return;
		}

		const hasRoom = service.queue.size === 0 && !service.limit.isCongested && service.inFlight < service.limit.value;
		const mayTry = call.probing === undefined && call.attemptCount < (call.request.rule?.attemptLimit ?? defaultAttemptLimit);
		if (hasRoom && mayTry && call.attempts.size === 1 && !this._context.poisonRequests.isQuarantined(call.request.fingerprint, now) && service.retryBudget.hasToken) {
			call.failedServers.add(attempt.server);
			if (this._start(call, now)) {
				service.retryBudget.tryTake();
			}
		}
	}

	/**
	 * Whether the first attempt is still likely to be answered in time. A call in the last slot of a backend server takes
	 * half as long again; a hedge after the usual time would take a slot from another call for an answer that is about to
	 * arrive.
	 */
	private _isFirstAnswerLikely({call, loadSnapshot, startedAt}: Attempt, now: Instant): boolean {
		if (!call.serviceState.isMeasuredOnDemand) {
			return false;
		}

		const {answerTimes} = call.serviceState;
		const byNow = answerTimes.probabilityWithin(workEstimate(call), loadSnapshot, now - startedAt);
		const withinObjective = answerTimes.probabilityWithin(workEstimate(call), loadSnapshot, call.objectiveAt - startedAt);
		return (1 - lostAnswerFraction) * (withinObjective - byNow) >= sufficientProbability * (((1 - lostAnswerFraction) * (1 - byNow)) + lostAnswerFraction);
	}

	private _scheduleRecheck(attempt: Attempt, now: Instant): void {
		const {call} = attempt;
		const at = now + hedgeRecheckMilliseconds;
		if (at < call.objectiveAt - workEstimate(call)) {
			call.timers.push(this._context.timers.add(at, {type: 'hedge', attempt}));
		}
	}
}
