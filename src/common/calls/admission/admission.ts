/** Decides whether a call starts, waits or is refused. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type AttemptRunner} from '../attempts/attempt-runner.ts';
import {
	type Call, canBeInTime, objectiveOf, workEstimate,
} from '../call.ts';
import {type CallCompletion} from '../call-completion.ts';
import {isWaitOver} from '../placement/placing-rules.ts';
import {type EngineContext} from '../engine-context.ts';
import {nextAllowedAt} from '../placement/placer.ts';
import {type ServiceState} from '../service-state.ts';

/**
 * On-demand probing: maximum wait as a fraction of the call's objective. A caller that is refused within a third of its
 * objective can still be answered in time on a retry; one that is held longer cannot.
 */
const maxWaitFraction = 0.33;

/** Queued calls that one queue check may start: each of them probes several backend servers. */
const callsPerQueueCheck = 2;

/** Interval of queue checks: an eighth of the shortest usual answer time, and ten load probes at most. */
const queueCheckMilliseconds: Milliseconds = 20;

/**
 * Admits calls within the service's concurrency limit. Calls beyond it wait in a queue on this VM, where they can still
 * be refused, cancelled and placed by the latest load reports. A call is refused as soon as it is clear that it would not
 * be answered in time: at once if the backlog is too long, else when its latest start has passed. Made for bursts, whose
 * calls wait, and for lasting overload, in which a long queue would only make every answer late, so that after a while
 * only short waits are accepted.
 */
export class Admission {
	private readonly _context: EngineContext;
	private readonly _runner: AttemptRunner;
	private readonly _completion: CallCompletion;

	constructor(context: EngineContext, runner: AttemptRunner, completion: CallCompletion) {
		this._context = context;
		this._runner = runner;
		this._completion = completion;
		runner.setEnqueue((call, now) => {
			this._enqueue(call, now);
		});
	}

	admit(call: Call, now: Instant): void {
		const service = call.serviceState;
		call.state = 'queued';
		if (!service.hasUsableServer) {
			this._refuseUnserved(call, now);
			return;
		}

		// With scheduled probes the learnt concurrency limit shows the capacity, and the order of the queue is enough.
		call.sharing = service.isMeasuredOnDemand ? service.overload.decide(call.priority, call.request.caller, now) : undefined;
		if (call.sharing !== undefined && call.sharing.admittedFraction < 1 && this._context.random.next() >= call.sharing.admittedFraction) {
			call.isWithheld = true;
			this._completion.refuse(call, 'overloaded', now);
			return;
		}

		service.retryBudget.deposit(service.declared.retryShare);
		this._requestTokens(service, now);
		if (service.queue.size === 0 && hasFreeConcurrency(service) && this._runner.start(call, 'first', now)) {
			return;
		}

		this._enqueue(call, now);
	}

	/** Starts waiting calls as far as the limit allows. */
	drain(service: ServiceState, now: Instant): void {
		if (!service.hasUsableServer) {
			this._refuseAll(service, now);
		}

		this._refuseThrottled(service, now);
		let remainingStarts = service.isMeasuredOnDemand ? callsPerQueueCheck : Infinity;
		while (service.queue.size > 0 && hasFreeConcurrency(service) && remainingStarts > 0) {
			remainingStarts--;
			const call = service.queue.take(caller => this._mayStart(service, caller));
			if (call === undefined) {
				break;
			}

			if (service.isMeasuredOnDemand && this._mustGiveWay(call, now)) {
				this._completion.refuse(call, 'overloaded', now);
				remainingStarts++;
				continue;
			}

			if (!this._runner.start(call, 'first', now)) {
				service.queue.add(call);
				break;
			}
		}

		if (service.queue.size === 0) {
			service.queueNonEmptySince = undefined;
		} else {
			this._requestTokens(service, now);
			this._scheduleQueueCheck(service, now);
		}
	}

	/** Refuses the waiting calls that no rate limit allows to start in time; a holder may have said so only now. */
	private _refuseThrottled(service: ServiceState, now: Instant): void {
		if (service.queue.size === 0 || service.limitedServers.size === 0) {
			return;
		}

		const allowedAt = nextAllowedAt(this._context, service, now);
		const throttled: Call[] = [];
		for (const call of allowedAt > now ? service.queue.calls() : []) {
			if (latestStart(call) < allowedAt) {
				throttled.push(call);
			}
		}

		for (const call of throttled) {
			service.queue.remove(call);
			this._refuseAsThrottled(call, now);
		}
	}

	private _refuseAsThrottled(call: Call, now: Instant): void {
		this._runner.noteGrounds(call, now);
		this._completion.refuse(call, 'overloaded', now);
	}

	/** Requests tokens of limited backend servers, of other data centres only if calls wait or none is local. */
	private _requestTokens(service: ServiceState, now: Instant): void {
		const {limitedServers, queue} = service;
		if (limitedServers.size === 0) {
			return;
		}

		const {dataCentre} = this._context.settings;
		const isWide = queue.size > 0 || service.serversIn(dataCentre).length === 0;
		this._context.rateLimiter.request(isWide ? limitedServers : [...limitedServers].filter(({declared}) => declared.dataCentre === dataCentre), queue.size, now);
	}

	/** No usable backend server is left, so waiting would only cost callers their time. */
	private _refuseAll(service: ServiceState, now: Instant): void {
		for (let call = service.queue.take(() => true); call !== undefined; call = service.queue.take(() => true)) {
			this._refuseUnserved(call, now);
		}
	}

	private _refuseUnserved(call: Call, now: Instant): void {
		this._runner.noteGrounds(call, now);
		this._completion.refuse(call, 'no-backend-server', now);
	}

	/**
	 * Called when the latest start of a queued call has passed, or in on-demand mode when it can no longer be in time. It is
	 * refused if a call that can still be in time waits too. Otherwise, in on-demand mode, it may still start without a probe
	 * at its latest start; else it is refused, since its answer would come too late.
	 */
	expire(call: Call, now: Instant): void {
		if (call.serviceState.isMeasuredOnDemand) {
			if (this._mustGiveWay(call, now)) {
				this._completion.refuse(call, 'overloaded', now);
				return;
			}

			if (now < latestStart(call)) {
				return;
			}

			call.serviceState.queue.remove(call);
			if (this._runner.startUnprobed(call, now)) {
				return;
			}
		}

		this._completion.refuse(call, 'overloaded', now);
	}

	private _enqueue(call: Call, now: Instant): void {
		const service = call.serviceState;
		if (!service.hasUsableServer) {
			this._refuseUnserved(call, now);
			return;
		}

		// A call that is too late shows nothing about the capacity.
		if (canBeInTime(call, now)) {
			service.overload.recordShortage(now);
			this._context.demandReports.include(service);
		}

		// The rate limits allow no attempt before the latest start, so waiting would only cost the caller time.
		if (nextAllowedAt(this._context, service, now) > Math.max(now, latestStart(call))) {
			this._refuseAsThrottled(call, now);
			return;
		}

		if (service.isMeasuredOnDemand && isWaitOver(call, now)) {
			this._completion.refuse(call, 'overloaded', now);
			return;
		}

		if (this._isBacklogTooLong(call, now)) {
			this._completion.refuse(call, 'overloaded', now);
			return;
		}

		call.state = 'queued';
		service.queue.add(call);
		service.queueNonEmptySince ??= now;
		this._scheduleQueueCheck(service, now);
		if (service.queue.size > service.declared.queueLimit) {
			this._completion.refuse(service.queue.newestOfLeastUrgent()!, 'queue-full', now);
		}

		if (call.state === 'queued') {
			call.timers.push(this._context.timers.add(Math.max(now, latestStart(call)), {type: 'latest-start', call}));
			const lateAt = call.objectiveAt - workEstimate(call);
			if (service.isMeasuredOnDemand && lateAt < latestStart(call)) {
				// A call that starts exactly then is still in time.
				call.timers.push(this._context.timers.add(Math.max(now, lateAt) + 1, {type: 'latest-start', call}));
			}
		}
	}

	/** Room on backend servers that other VMs use too appears without an event on this VM, so a timer checks for it. */
	private _scheduleQueueCheck(service: ServiceState, now: Instant): void {
		if (service.isMeasuredOnDemand && !service.isQueueCheckScheduled) {
			service.isQueueCheckScheduled = true;
			this._context.timers.add(now + queueCheckMilliseconds, {type: 'queue-check', service});
		}
	}

	/** Whether the calls ahead would delay the start too long. */
	private _isBacklogTooLong(call: Call, now: Instant): boolean {
		const service = call.serviceState;
		if (service.isMeasuredOnDemand) {
			// Less urgent calls that wait don't delay this one.
			return service.queue.sizeUpTo(call.priority) >= callsPerQueueCheck * (latestStart(call) - now) / queueCheckMilliseconds;
		}

		const wait = service.estimateWait(service.queue.aheadOf(call.priority, call.request.caller) + 1);
		return wait > this._acceptableWait(call, call.deadline - now, now);
	}

	private _acceptableWait(call: Call, remaining: number, now: Instant): number {
		const {queueNonEmptySince} = call.serviceState;
		const {standingQueueMilliseconds, standingQueueWaitFraction} = this._context.tuning;
		const isStanding = queueNonEmptySince !== undefined && now - queueNonEmptySince > standingQueueMilliseconds;
		return (remaining - call.class.answerMean) * (isStanding ? standingQueueWaitFraction : 1);
	}

	/** Whether a call can no longer be in time while another one that waits can. */
	private _mustGiveWay(call: Call, now: Instant): boolean {
		return !canBeInTime(call, now) && call.serviceState.queue.some(other => other !== call && canBeInTime(other, now));
	}

	/** While other callers wait, one caller may not hold more than its share of the concurrency limit. */
	private _mayStart(service: ServiceState, caller: string): boolean {
		return service.callerInFlight(caller) < Math.max(1, service.sharing.callerShare * service.limit.value);
	}
}

/**
 * In on-demand mode the load reports of the backend servers show whether there is room; the limit that is learnt from
 * their queues would adapt too late.
 */
function hasFreeConcurrency(service: ServiceState): boolean {
	return service.isMeasuredOnDemand || service.inFlight < service.limit.value;
}

/** Latest start with which a call can still be answered in time; in on-demand mode, within its objective. */
function latestStart(call: Call): Instant {
	return call.serviceState.isMeasuredOnDemand ? call.arrivedAt + (maxWaitFraction * objectiveOf(call)) : call.deadline - call.class.answerMean;
}
