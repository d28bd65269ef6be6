/** State that this VM keeps for one backend server: load, speed, failures and health. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type Attempt} from './call.ts';
import {
	type Health, type HealthEvent, initialHealth, nextHealth,
} from './health/health-chart.ts';
import {DemandAllowance} from './probing/demand-allowance.ts';
import {LoadProbeSchedule} from './probing/load-probe-schedule.ts';
import {ProcessHistory} from './health/process-history.ts';
import {type TimerEntry} from './timer-queue.ts';
import {type CallTuning} from './tuning.ts';
import {RateLimit} from './backend-rates/rate-limit.ts';
import {WarmUp} from './backend-rates/warm-up.ts';
import {type BackendServerIdentity, type BackendServerInForce, type LoadReport} from './types.ts';

/** Weight of a new answer time in the moving average: fluctuations are gone after a few calls. */
const slownessGain = 0.3;

/**
 * Weight of a new outcome in the failure rate. It is large, since the second failure may follow within a millisecond of
 * the first.
 */
const failureGain = 0.4;

/**
 * Lower bound of the slowness of a backend server that answered faster than the mean. Known fast ones are preferred to
 * unknown ones under low load, but none attracts all calls for ever.
 */
const minSlowness = 0.6;

/** Window in which attempts on a warming backend server are counted. */
const rateWindowMilliseconds: Milliseconds = 1000;

/** Effect of a load report. */
export type ReportEffect = {
	readonly isAccepted: boolean;
	/** Instance of the process that a new process has replaced. */
	readonly replacedInstance: string | undefined;
	/** It is the first sign that the backend server is leaving. */
	readonly beganToLeave: boolean;
};

const nothingChanged: ReportEffect = {isAccepted: false, replacedInstance: undefined, beganToLeave: false};

/** State of one backend server, kept across changes of its declared fields. */
export class BackendServerState {
	readonly identity: BackendServerIdentity;
	declared: BackendServerInForce;
	/** Its data centre is evacuated. */
	isEvacuated = false;
	/** No VM is known through which it can be reached. */
	isUnreachable = false;
	/** Attempts of this VM that have neither ended nor been cancelled. */
	readonly attempts = new Set<Attempt>();
	readonly loadProbeSchedule = new LoadProbeSchedule();
	/** Timer of its next check for a paced load probe. */
	loadProbeTimer: TimerEntry<BackendServerState> | undefined;
	/** Calls in flight here that may crash it. */
	suspectsInFlight = 0;
	/** Attempts of this VM in flight there whose call has probably crashed other backend servers. */
	likelyHarmfulInFlight = 0;
	report: LoadReport | undefined;
	reportedAt: Instant = -Infinity;
	lastAnswerAt: Instant = -Infinity;
	/** When the load probe in flight was sent; undefined = none is in flight. */
	probeSentAt: Instant | undefined;
	/** Consecutive load probes without a report. */
	unansweredProbes = 0;
	readonly warmUp: WarmUp;
	rateLimit = new RateLimit();
	readonly demandAllowance = new DemandAllowance();
	private readonly _tuning: CallTuning;
	private readonly _processes = new ProcessHistory();
	private _health: Health = initialHealth;
	private _healthSince: Instant;
	private _ownCallsAtReport = 0;
	private _slowness = 1;
	private _slownessUpdatedAt: Instant = 0;
	private _failureRate = 0;
	private _failureRateUpdatedAt: Instant = 0;
	private _shedRate = 0;
	private _shedRateUpdatedAt: Instant = 0;
	private _failuresInRow = 0;
	private _ejections = 0;
	private _ejectedUntil: Instant = 0;
	/** When recent attempts started, oldest first; kept only for the rate window. */
	private _recentStarts: Instant[] = [];

	/**
	 * `existedBefore` = it was in force before this VM began to serve, so it is not cold merely because it is new to this
	 * VM.
	 */
	constructor(identity: BackendServerIdentity, declared: BackendServerInForce, tuning: CallTuning, now: Instant, existedBefore = false) {
		this.identity = identity;
		this.declared = declared;
		this._tuning = tuning;
		this.warmUp = new WarmUp(declared.warmUntil);
		this._healthSince = existedBefore ? -Infinity : now;
	}

	get health(): Health {
		return this._health;
	}

	get isLeaving(): boolean {
		return this._health === 'leaving' || this.declared.isLeaving;
	}

	/** Whether it may get new attempts; those in flight finish in any case. */
	get takesNewAttempts(): boolean {
		return !this.isEvacuated && !this.isLeaving && !this.isUnreachable;
	}

	get failuresInRow(): number {
		return this._failuresInRow;
	}

	/** Time since its health last changed. */
	healthAge(now: Instant): Milliseconds {
		return now - this._healthSince;
	}

	/** Estimated calls there now: those of the latest report, and own calls sent since. */
	get reportedLoad(): number {
		return this.report === undefined
			? this.attempts.size
			: this.report.inFlight + this.report.queued + Math.max(0, this.attempts.size - this._ownCallsAtReport);
	}

	/** Applies health transitions that are due by now, and returns the health. */
	healthAt(now: Instant): Health {
		if (this._health === 'warming' && now - this._healthSince >= this._warmingMilliseconds) {
			this.applyHealthEvent('WARM', now);
		} else if (this._health === 'ejected' && now >= this._ejectedUntil) {
			this.applyHealthEvent('PROBE', now);
		}

		return this._health;
	}

	/** Slots that placement assumes: few for a cold backend server, growing to all as it warms up. */
	slotsAt(now: Instant): number {
		const {slots} = this.declared;
		if (this.healthAt(now) !== 'warming') {
			return slots;
		}

		const warmUpProgress = (now - this._healthSince) / this._warmingMilliseconds;
		return Math.max(1, slots * Math.min(1, Math.max(this._tuning.warmingStartFraction, warmUpProgress)));
	}

	/**
	 * Answer time relative to the mean of the class. It decays, so that a backend server that has recovered is tried again.
	 */
	slownessAt(now: Instant): number {
		const decay = Math.exp((this._slownessUpdatedAt - now) / this._tuning.slownessDecayMilliseconds);
		return Math.max(minSlowness, 1 + ((this._slowness - 1) * decay), this._overdueSlowness(now));
	}

	/** Decayed fraction of its recent calls that failed. */
	failureRateAt(now: Instant): number {
		return this._failureRate === 0 ? 0 : this._failureRate * Math.exp((this._failureRateUpdatedAt - now) / this._tuning.failureDecayMilliseconds);
	}

	/** Decayed fraction of its recent attempts that it shed without running them. */
	shedRateAt(now: Instant): number {
		return this._shedRate === 0 ? 0 : this._shedRate * Math.exp((this._shedRateUpdatedAt - now) / this._tuning.failureDecayMilliseconds);
	}

	/** Forgets failures that were those of the link to it. */
	forgetFailures(now: Instant): void {
		this.unansweredProbes = 0;
		this._failureRate = 0;
		this._failuresInRow = 0;
		this._slowness = 1;
		if (this._health === 'ejected') {
			this.applyHealthEvent('PROBE', now);
		}

		this.applyHealthEvent('ANSWERED', now);
	}

	/** Records the start of an attempt of this VM. */
	recordStart(now: Instant): void {
		this._recentStarts = this._recentStarts.filter(at => now - at < rateWindowMilliseconds);
		this._recentStarts.push(now);
	}

	/** Attempts of this VM that started within the last second. */
	startsWithinSecond(now: Instant): number {
		return this._recentStarts.filter(at => now - at < rateWindowMilliseconds).length;
	}

	/** Records whether the backend server accepted an attempt or shed it without running it. */
	recordAcceptance(isAccepted: boolean, now: Instant): void {
		const previous = this.shedRateAt(now);
		this._shedRate = previous + (((isAccepted ? 0 : 1) - previous) * slownessGain);
		this._shedRateUpdatedAt = now;
	}

	/**
	 * Calls of other VMs beyond the usual number, by the latest report. It decays to 0: after a mean answer time most of
	 * the reported calls have left, and a choice by the report would be right only by chance.
	 */
	reportedExcessAt(now: Instant, usualOthers: number, holdMean: Milliseconds): number {
		if (this.report === undefined || this._tuning.reportLifetimeFactor === 0) {
			return 0;
		}

		const others = Math.max(0, this.report.inFlight + this.report.queued - this._ownCallsAtReport);
		const lifetime = this._tuning.reportLifetimeFactor * holdMean * (1 + (this.report.queued / this.report.slots));
		return (others - usualOthers) * Math.exp((this.reportedAt - now) / lifetime);
	}

	/**
	 * Records the time of an attempt that was cancelled without an answer; the answer would have taken at least this long.
	 */
	onCancelled(time: Milliseconds, classMean: Milliseconds, now: Instant): void {
		const ratio = time / Math.max(classMean, 0.01);
		if (ratio > this._decayedSlowness(now)) {
			this._recordAnswerTimeRatio(ratio, now);
		}
	}

	/** Calls of other VMs in the latest report. */
	get reportedOtherCalls(): number | undefined {
		return this.report === undefined ? undefined : Math.max(0, this.report.inFlight + this.report.queued - this._ownCallsAtReport);
	}

	onAnswer(time: Milliseconds, classMean: Milliseconds, now: Instant): void {
		this._recordAnswerTimeRatio(time / Math.max(classMean, 0.01), now);
		this.lastAnswerAt = now;
		this._recordOutcome(0, now);
		this._failuresInRow = 0;
		this.applyHealthEvent('ANSWERED', now);
		if (this._health === 'active') {
			this._ejections = 0;
		}
	}

	/** Records an attempt that failed, or was answered with a server error, through the backend server's fault. */
	onFailure(now: Instant): void {
		this._failuresInRow++;
		this._recordOutcome(1, now);
	}

	/** Ejects the backend server for a time that doubles with each failed probe. */
	eject(event: 'FAILING' | 'SILENT', now: Instant): void {
		this.applyHealthEvent(event, now);
		if (this._health === 'ejected') {
			const time = this._tuning.baseEjectionMilliseconds * (2 ** this._ejections);
			this._ejectedUntil = now + Math.min(time, this._tuning.maxEjectionMilliseconds);
			this._ejections = Math.min(this._ejections + 1, 10);
		}
	}

	applyHealthEvent(event: HealthEvent, now: Instant): void {
		const next = nextHealth(this._health, event);
		if (next !== this._health || event === 'RETURN') {
			this._health = next;
			this._healthSince = now;
		}
	}

	/** Applies a signal that a process is leaving; one of a process that is gone does not affect the present one. */
	applyLeavingSign(instance: string | undefined, now: Instant): void {
		if (this._processes.applyLeavingSign(instance, now)) {
			this.applyHealthEvent('LEAVE', now);
		}
	}

	/**
	 * Applies a report made at `madeAt`. Reports that are older than the latest one, or of an earlier process, are dropped.
	 */
	applyReport(report: LoadReport, madeAt: Instant, now: Instant): ReportEffect {
		if (madeAt < this.reportedAt) {
			return nothingChanged;
		}

		const previousInstance = this._processes.currentInstance;
		const change = this._processes.applyReport(report.instance, madeAt);
		if (change === 'of-past') {
			return nothingChanged;
		}

		if (change !== 'present') {
			this._resetForNewProcess(now);
		}

		const beganToLeave = report.isLeaving && this._health !== 'leaving';
		if (report.isLeaving) {
			this.applyLeavingSign(report.instance, now);
		}

		if (report.warmUpLeftMilliseconds !== undefined) {
			this.warmUp.applyReport(report.warmUpLeftMilliseconds, madeAt);
		}

		this.report = report;
		this.reportedAt = madeAt;
		this._ownCallsAtReport = this.attempts.size;
		return {isAccepted: true, replacedInstance: change === 'replaced' ? previousInstance : undefined, beganToLeave};
	}

	/** Resets what was learnt from the previous process: its leaving, load and failures do not apply to the new one. */
	private _resetForNewProcess(now: Instant): void {
		this._slowness = 1;
		this._failureRate = 0;
		this._failuresInRow = 0;
		this.rateLimit = new RateLimit();
		this.applyHealthEvent('RETURN', now);
	}

	private get _warmingMilliseconds(): Milliseconds {
		return this.declared.warmingMilliseconds ?? this._tuning.warmingMilliseconds;
	}

	private _recordAnswerTimeRatio(ratio: number, now: Instant): void {
		const previous = this._decayedSlowness(now);
		this._slowness = previous + ((ratio - previous) * slownessGain);
		this._slownessUpdatedAt = now;
	}

	private _decayedSlowness(now: Instant): number {
		return 1 + ((this._slowness - 1) * Math.exp((this._slownessUpdatedAt - now) / this._tuning.slownessDecayMilliseconds));
	}

	private _recordOutcome(value: number, now: Instant): void {
		const previous = this.failureRateAt(now);
		this._failureRate = previous + ((value - previous) * failureGain);
		this._failureRateUpdatedAt = now;
	}

	/** The oldest attempt without an answer, if overdue, shows a slow phase before any answer can. */
	private _overdueSlowness(now: Instant): number {
		for (const attempt of this.attempts) {
			if (!attempt.hasHead) {
				const ratio = (now - attempt.startedAt) / Math.max(attempt.call.class.answerMean, 0.01);
				return ratio > this._tuning.overdueFactor ? ratio : 0;
			}
		}

		return 0;
	}
}
