/** Second attempts beside a first one that is slow: when one is planned, and whether it is made. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {
	type Attempt, type Call, isBodiless, workEstimate,
} from './call.ts';
import {type EngineContext} from './engine-context.ts';

/** Most attempts of one call, whatever the budget says: three backend servers that fail it are no accident. */
export const mostAttempts = 3;

/** Answers of a class before its quantile is good enough to hedge by. */
const minHedgeSamples = 50;

/** Usual answer times that a hedge is given before the objective: nine in ten answers of a quiet backend server fit. */
const hedgeReserveFactor = 1.35;

/** No hedge before this many usual answer times: three in four calls have been answered by then. */
const minHedgeDelayFactor = 1.25;

/** Chance of an answer in time, among attempts without one so far, above which a second attempt is not worth its slot. */
const sufficientProbability = 0.8;

/**
 * Part of attempts whose answer does not come for reasons that no answer time tells: lost connections, backend servers
 * that hang, neighbours that come in the middle. It decides how soon silence counts as such.
 */
const lostAnswerFraction = 0.03;

/** Pause until a hedge that was not worth it is looked at again: an eighth of the shortest usual answer. */
const hedgeRecheckMilliseconds: Milliseconds = 20;

/**
 * Where measuring is on demand, slow phases hit a tenth of all calls and more, so that a high quantile is itself the time
 * of a slow one. A call is then tried again as long as a usual answer still comes within its objective.
 */
function hedgeDelay(call: Call, now: Instant): Milliseconds {
	const usualMilliseconds = workEstimate(call);
	return Math.max(call.objectiveAt - (usualMilliseconds * hedgeReserveFactor) - now, usualMilliseconds * minHedgeDelayFactor);
}

/** Hedges: the runner starts them, this decides on them. */
export class Hedging {
	private readonly _context: EngineContext;
	private readonly _start: (call: Call, now: Instant) => boolean;

	/** `start` begins a second attempt of the call; false = no backend server may take it now. */
	constructor(context: EngineContext, start: (call: Call, now: Instant) => boolean) {
		this._context = context;
		this._start = start;
	}

	/**
	 * Hedging is for single slow backend servers and lost connections; its limit is the retry budget, and
	 * it rests while calls wait, since in a rush a second attempt takes the slot of somebody's first.
	 */
	plan(attempt: Attempt, now: Instant): void {
		const {call} = attempt;
		const {hedgeQuantile, hedgeFloorMilliseconds} = this._context.tuning;
		const isRead = isBodiless(call.request);
		const times = call.class.answerTimes;
		const isOnDemand = call.serviceState.isMeasuredOnDemand;
		if (hedgeQuantile >= 1 || !isRead || !call.isIdempotent || !call.request.mayRetry || (!isOnDemand && times.count < minHedgeSamples)) {
			return;
		}

		const delay = isOnDemand ? hedgeDelay(call, now) : times.quantile(hedgeQuantile)!;
		const at = now + Math.max(delay, hedgeFloorMilliseconds);
		if (at < call.deadline) {
			call.timers.push(this._context.timers.add(at, {type: 'hedge', attempt}));
		}
	}

	/** A read that is slower than nearly all of its class gets a second chance elsewhere. */
	tryNow(attempt: Attempt, now: Instant): void {
		const {call} = attempt;
		const service = call.serviceState;
		if (this._isFirstAnswerLikely(attempt, now)) {
			this._scheduleRecheck(attempt, now);
			return;
		}

		const hasRoom = service.queue.size === 0 && !service.limit.isCongested && service.inFlight < service.limit.value;
		const mayTry = call.probing === undefined && call.attemptCount < (call.request.rule?.mostAttempts ?? mostAttempts);
		if (hasRoom && mayTry && call.attempts.size === 1 && !this._context.suspects.isQuarantined(call.request.fingerprint, now) && service.retryBudget.isOpen) {
			call.failedOn.add(attempt.server);
			if (this._start(call, now)) {
				service.retryBudget.tryTake();
			}
		}
	}

	/**
	 * Guards slots in a rush: a call in the last slot of a backend server takes half as long again, and a second attempt
	 * after the usual time would take a slot from somebody else for an answer that is on its way.
	 */
	private _isFirstAnswerLikely({call, prospect, startedAt}: Attempt, now: Instant): boolean {
		if (!call.serviceState.isMeasuredOnDemand) {
			return false;
		}

		const {answerTimes} = call.serviceState;
		const byNow = answerTimes.chance(workEstimate(call), prospect, now - startedAt);
		const withinObjective = answerTimes.chance(workEstimate(call), prospect, call.objectiveAt - startedAt);
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
