/** Handles the timers of an engine when they are due. */
import {type Instant} from '../model/units.ts';
import {type Admission} from './admission/admission.ts';
import {type AttemptRunner} from './attempts/attempt-runner.ts';
import {type CallCompletion} from './call-completion.ts';
import {type EngineContext, type Timer} from './engine-context.ts';
import {type OutlierDetector} from './health/outlier-detector.ts';

/** The parts that due timers act on. */
export type TimerTargets = {
	readonly context: EngineContext;
	readonly admission: Admission;
	readonly completion: CallCompletion;
	readonly runner: AttemptRunner;
	readonly outlierDetector: OutlierDetector;
};

export class TimerActions {
	private readonly _context: EngineContext;
	private readonly _admission: Admission;
	private readonly _completion: CallCompletion;
	private readonly _runner: AttemptRunner;
	private readonly _outlierDetector: OutlierDetector;

	constructor({context, admission, completion, runner, outlierDetector}: TimerTargets) {
		this._context = context;
		this._admission = admission;
		this._completion = completion;
		this._runner = runner;
		this._outlierDetector = outlierDetector;
	}

	run(timer: Timer, now: Instant): void {
		switch (timer.type) {
			case 'deadline': {
				for (const attempt of timer.call.attempts) {
					this._outlierDetector.onAttemptAbandoned(attempt, now);
				}

				// While the claim is pending, an earlier request with the same key may have run.
				this._completion.refuse(timer.call, 'deadline-exceeded', now, timer.call.state === 'claiming' ? 'unknown' : undefined);
				break;
			}

			case 'latest-start': {
				this._admission.expire(timer.call, now);
				break;
			}

			case 'probing': {
				this._runner.prober.expire(timer.call, timer.probing, now);
				break;
			}

			case 'queue-check': {
				timer.service.isQueueCheckScheduled = false;
				this._context.servicesToDrain.add(timer.service);
				break;
			}

			case 'hedge': {
				this._runner.hedging.tryNow(timer.attempt, now);
				break;
			}

			case 'resume': {
				this._outlierDetector.onAttemptAbandoned(timer.attempt, now);
				this._completion.cancelAttempts(timer.attempt.call);
				this._completion.abortAnswer(timer.attempt.call, now);
				break;
			}
		}
	}
}
