/** Decides whether a call starts, waits or is refused. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type AttemptRunner} from './attempt-runner.ts';
import {type Call, objectiveOf} from './call.ts';
import {type CallEndings} from './call-endings.ts';
import {isImpatient} from './demand-placer.ts';
import {type EngineContext} from './engine-context.ts';
import {whenLimitsAllow} from './placer.ts';
import {type ServiceState} from './service-state.ts';

/**
 * Part of its objective that a call waits at most where measuring is on demand. A caller that is told to come back within
 * a third of its objective can still be answered in time; one that is held longer cannot.
 */
const maxWaitFraction = 0.33;

/** Calls that one look for room may take out of the queue: each asks several backend servers. */
const callsPerQueueCheck = 2;

/** Pause between two looks for room: an eighth of the shortest usual answer, and ten measuring calls at most. */
const queueCheckMilliseconds: Milliseconds = 20;

/**
 * Admits within the service's concurrency limit; beyond it calls wait here, where they can still be
 * refused, cancelled and placed by the latest load reports. A call is refused at the moment when it is known
 * that it would not be answered in time: at once where the backlog says so, else when its latest start
 * has passed. Made for rushes (which wait) and for lasting overload (in which a long queue would only
 * make every answer late, so that after a while only short waits are accepted).
 */
export class Admission {
	private readonly _context: EngineContext;
	private readonly _runner: AttemptRunner;
	private readonly _endings: CallEndings;

	constructor(context: EngineContext, runner: AttemptRunner, endings: CallEndings) {
		this._context = context;
		this._runner = runner;
		this._endings = endings;
		runner.setQueue((call, now) => {
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

		service.retryBudget.deposit(service.declared.retryShare);
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

		let remainingStarts = service.isMeasuredOnDemand ? callsPerQueueCheck : Infinity;
		while (service.queue.size > 0 && hasFreeConcurrency(service) && remainingStarts > 0) {
			remainingStarts--;
			const call = service.queue.take(caller => this._mayStart(service, caller)) ?? service.queue.take(() => true);
			if (call === undefined) {
				break;
			}

			if (!this._runner.start(call, 'first', now)) {
				service.queue.add(call);
				break;
			}
		}

		if (service.queue.size === 0) {
			service.standingSince = undefined;
		} else {
			this._scheduleQueueCheck(service, now);
		}
	}

	/** No backend server is left that may be used: waiting for one would only cost callers their time. */
	private _refuseAll(service: ServiceState, now: Instant): void {
		for (let call = service.queue.take(() => true); call !== undefined; call = service.queue.take(() => true)) {
			this._refuseUnserved(call, now);
		}
	}

	private _refuseUnserved(call: Call, now: Instant): void {
		this._runner.noteGrounds(call, now);
		this._endings.refuse(call, 'no-backend-server', now);
	}

	/** The latest start of a queued call has passed: it could only become work that nobody waits for. */
	expire(call: Call, now: Instant): void {
		if (call.serviceState.isMeasuredOnDemand) {
			call.serviceState.queue.remove(call);
			if (this._runner.startUnprobed(call, now)) {
				return;
			}
		}

		this._endings.refuse(call, 'overloaded', now);
	}

	private _enqueue(call: Call, now: Instant): void {
		const service = call.serviceState;
		if (!service.hasUsableServer) {
			this._refuseUnserved(call, now);
			return;
		}

		// Waiting for a share that is not there before the latest start would only cost its caller the time.
		if (whenLimitsAllow(this._context, service, now) > Math.max(now, latestStart(call))) {
			this._runner.noteGrounds(call, now);
			this._endings.refuse(call, 'overloaded', now);
			return;
		}

		if (service.isMeasuredOnDemand && isImpatient(call, now)) {
			this._endings.refuse(call, 'overloaded', now);
			return;
		}

		if (this._isBacklogTooLong(call, now)) {
			this._endings.refuse(call, 'overloaded', now);
			return;
		}

		call.state = 'queued';
		service.queue.add(call);
		service.standingSince ??= now;
		this._scheduleQueueCheck(service, now);
		if (service.queue.size > service.declared.queueLimit) {
			this._endings.refuse(service.queue.latestOfGreediest()!, 'queue-full', now);
		}

		if (call.state === 'queued') {
			call.timers.push(this._context.timers.add(Math.max(now, latestStart(call)), {type: 'latest-start', call}));
		}
	}

	/** Room at backend servers that other VMs share comes without an event here: it is looked for by the clock. */
	private _scheduleQueueCheck(service: ServiceState, now: Instant): void {
		if (service.isMeasuredOnDemand && !service.isLookPlanned) {
			service.isLookPlanned = true;
			this._context.timers.add(now + queueCheckMilliseconds, {type: 'queue-look', service});
		}
	}

	/** Whether the backlog says that a call's turn would come too late. */
	private _isBacklogTooLong(call: Call, now: Instant): boolean {
		const service = call.serviceState;
		if (service.isMeasuredOnDemand) {
			return service.queue.size >= callsPerQueueCheck * (latestStart(call) - now) / queueCheckMilliseconds;
		}

		const wait = service.waitFor(service.queue.aheadOf(call.request.caller) + 1);
		return wait > this._acceptableWait(call, call.deadline - now, now);
	}

	private _acceptableWait(call: Call, remaining: number, now: Instant): number {
		const {standingSince} = call.serviceState;
		const {standingMilliseconds, standingWaitPart} = this._context.tuning;
		const isStanding = standingSince !== undefined && now - standingSince > standingMilliseconds;
		return (remaining - call.class.answerMean) * (isStanding ? standingWaitPart : 1);
	}

	/** While others wait, one caller may not hold more than its share of the concurrency. */
	private _mayStart(service: ServiceState, caller: string): boolean {
		return service.callerInFlight(caller) < Math.max(1, service.sharing.callerShare * service.limit.value);
	}
}

/**
 * Where measuring is on demand, the reports of the backend servers themselves say whether there is room: the limit that
 * is learnt from their queues would only know it later.
 */
function hasFreeConcurrency(service: ServiceState): boolean {
	return service.isMeasuredOnDemand || service.inFlight < service.limit.value;
}

/** Started later, a call would not be answered in time; where measuring is on demand, it would miss its objective. */
function latestStart(call: Call): Instant {
	return call.serviceState.isMeasuredOnDemand ? call.arrivedAt + (maxWaitFraction * objectiveOf(call)) : call.deadline - call.class.answerMean;
}
