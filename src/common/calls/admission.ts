/** Decides whether a call starts, waits or is refused. */
import {type Instant} from '../model/units.ts';
import {type AttemptRunner} from './attempt-runner.ts';
import {type Call} from './call.ts';
import {type CallEndings} from './call-endings.ts';
import {type EngineContext} from './engine-context.ts';
import {type ServiceState} from './service-state.ts';

/**
 * Admits within the service's concurrency limit; beyond it calls wait here, where they can still be
 * refused, cancelled and placed by the latest news. A call is refused at the moment when it is known
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
	}

	admit(call: Call, now: Instant): void {
		const service = call.serviceState;
		call.state = 'queued';
		if (service.servers.every(server => server.isLeaving)) {
			this._endings.refuse(call, 'no-backend-server', now);
			return;
		}

		service.retryBudget.deposit(service.declared.retryShare);
		if (service.queue.size === 0 && service.inFlight < service.limit.value && this._runner.start(call, 'first', now)) {
			return;
		}

		this._enqueue(call, now);
	}

	/** Starts waiting calls as far as the limit allows. */
	drain(service: ServiceState, now: Instant): void {
		while (service.queue.size > 0 && service.inFlight < service.limit.value) {
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
		}
	}

	/** The latest start of a queued call has passed: it could only become work that nobody waits for. */
	expire(call: Call, now: Instant): void {
		this._endings.refuse(call, 'overloaded', now);
	}

	private _enqueue(call: Call, now: Instant): void {
		const service = call.serviceState;
		const remaining = call.deadline - now;
		const wait = service.waitFor(service.queue.aheadOf(call.request.caller) + 1);
		if (wait > this._acceptableWait(call, remaining, now)) {
			this._endings.refuse(call, 'overloaded', now);
			return;
		}

		service.queue.add(call);
		service.standingSince ??= now;
		if (service.queue.size > service.declared.queueLimit) {
			this._endings.refuse(service.queue.latestOfGreediest()!, 'queue-full', now);
		}

		if (call.state === 'queued') {
			call.timers.push(this._context.timers.add(Math.max(now, call.deadline - call.class.answerMean), {type: 'latest-start', call}));
		}
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
