/** What this VM knows of one backend server: its load, its speed, its failures, its health. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type Attempt} from './call.ts';
import {
	type Health, type HealthEvent, initialHealth, nextHealth,
} from './health-chart.ts';
import {DemandAllowance} from './demand-allowance.ts';
import {MeasuringSchedule} from './measuring-schedule.ts';
import {ProcessHistory} from './process-history.ts';
import {type TimerEntry} from './timer-queue.ts';
import {type CallTuning} from './tuning.ts';
import {RateLimit} from './rate-limit.ts';
import {WarmUp} from './warm-up.ts';
import {type BackendServerIdentity, type BackendServerInForce, type LoadReport} from './types.ts';

/** Part of a new answer time in the mean of the latest ones: swings are over after a few calls. */
const slownessGain = 0.3;

/** The same for failures: the first one must show, since the second may follow within the millisecond. */
const failureGain = 0.4;

/**
 * A backend server that answered faster than the mean looks this much shorter at best: proven ones are
 * preferred to unknown ones while there is little load, but none draws all calls for ever.
 */
const minSlowness = 0.6;

/** Span over which attempts at a warming backend server are counted. */
const rateWindowMilliseconds: Milliseconds = 1000;

/** What a report changed. */
export type ReportEffect = {
	readonly isTaken: boolean;
	/** A new process answers: the one named here is gone. */
	readonly goneInstance: string | undefined;
	/** First sign of leaving. */
	readonly beganToLeave: boolean;
};

const nothingChanged: ReportEffect = {isTaken: false, goneInstance: undefined, beganToLeave: false};

/** Knowledge of one backend server, kept across changes of its declared fields. */
export class BackendServerState {
	readonly identity: BackendServerIdentity;
	declared: BackendServerInForce;
	/** Its data centre is evacuated. */
	isEvacuated = false;
	/** Attempts of this VM that have neither ended nor been given up. */
	readonly attempts = new Set<Attempt>();
	readonly schedule = new MeasuringSchedule();
	/** When it is next looked at for measuring. */
	look: TimerEntry<BackendServerState> | undefined;
	/** Calls placed here that may crash it. */
	suspectsInFlight = 0;
	report: LoadReport | undefined;
	reportedAt: Instant = -Infinity;
	lastAnswerAt: Instant = -Infinity;
	/** A measuring call on demand is under way since then. */
	measuringSince: Instant | undefined;
	/** Measuring calls on demand in a row that brought no report. */
	unansweredMeasurings = 0;
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
	/** When the latest attempts started, oldest first; kept only while they may count against a rate. */
	private _recentStarts: Instant[] = [];

	/** `isKnown` = it was there before this VM began to serve, so that it is not cold for being new here. */
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

	/** Whether it may get any new attempt; what runs there finishes. */
	get takesNewAttempts(): boolean {
		return !this.isEvacuated && !this.isLeaving;
	}

	get failuresInRow(): number {
		return this._failuresInRow;
	}

	/** Names its process as well as is known: by what reports say, and by its start; undefined = neither is known. */
	get process(): string | undefined {
		const {processStartedAt} = this.declared;
		const instance = this.report?.instance;
		return processStartedAt === undefined ? instance : `${instance ?? ''}@${processStartedAt}`;
	}

	/** Time since its health last changed. */
	healthAge(now: Instant): Milliseconds {
		return now - this._healthSince;
	}

	/** Calls believed to be there now: those of the latest report, and own ones sent since. */
	get reportedLoad(): number {
		return this.report === undefined
			? this.attempts.size
			: this.report.inFlight + this.report.queued + Math.max(0, this.attempts.size - this._ownCallsAtReport);
	}

	/** Brings the health up to the present and gives it. */
	healthAt(now: Instant): Health {
		if (this._health === 'warming' && now - this._healthSince >= this._warmingMilliseconds) {
			this.move('WARM', now);
		} else if (this._health === 'ejected' && now >= this._ejectedUntil) {
			this.move('PROBE', now);
		}

		return this._health;
	}

	/** Slots it may be counted on for: a cold one gets few calls at first, more as it warms up. */
	slotsAt(now: Instant): number {
		const {slots} = this.declared;
		if (this.healthAt(now) !== 'warming') {
			return slots;
		}

		const warmUpProgress = (now - this._healthSince) / this._warmingMilliseconds;
		return Math.max(1, slots * Math.min(1, Math.max(this._tuning.warmingStart, warmUpProgress)));
	}

	/** Answer time against the mean of the class; remembered less and less, so that a recovered one is tried again. */
	slownessAt(now: Instant): number {
		const decay = Math.exp((this._slownessUpdatedAt - now) / this._tuning.slownessMemoryMilliseconds);
		return Math.max(minSlowness, 1 + ((this._slowness - 1) * decay), this._overdueSlowness(now));
	}

	/** Part of its latest calls that it failed. */
	failingAt(now: Instant): number {
		return this._failureRate === 0 ? 0 : this._failureRate * Math.exp((this._failureRateUpdatedAt - now) / this._tuning.failureMemoryMilliseconds);
	}

	/** Part of its latest attempts that it turned away unrun. */
	sheddingAt(now: Instant): number {
		return this._shedRate === 0 ? 0 : this._shedRate * Math.exp((this._shedRateUpdatedAt - now) / this._tuning.failureMemoryMilliseconds);
	}

	/** An attempt of this VM starts. */
	noteStart(now: Instant): void {
		this._recentStarts = this._recentStarts.filter(at => now - at < rateWindowMilliseconds);
		this._recentStarts.push(now);
	}

	/** Attempts of this VM that started within the last second. */
	startsWithinSecond(now: Instant): number {
		return this._recentStarts.filter(at => now - at < rateWindowMilliseconds).length;
	}

	/** It took an attempt, or turned it away unrun. */
	noteTaken(isTaken: boolean, now: Instant): void {
		const previous = this.sheddingAt(now);
		this._shedRate = previous + (((isTaken ? 0 : 1) - previous) * slownessGain);
		this._shedRateUpdatedAt = now;
	}

	/**
	 * Calls of other VMs there beyond the usual number, by the latest report. It fades into the usual:
	 * after a mean answer time most of what it counted has left, and only chance would make a choice by
	 * it right.
	 */
	signalAt(now: Instant, usual: number, holdMean: Milliseconds): number {
		if (this.report === undefined || this._tuning.reportTrust === 0) {
			return 0;
		}

		const others = Math.max(0, this.report.inFlight + this.report.queued - this._ownCallsAtReport);
		const lifetime = this._tuning.reportTrust * holdMean * (1 + (this.report.queued / this.report.slots));
		return (others - usual) * Math.exp((this.reportedAt - now) / lifetime);
	}

	/** An attempt was given up unanswered: it would have taken at least this long. */
	onGivenUp(time: Milliseconds, classMean: Milliseconds, now: Instant): void {
		const ratio = time / Math.max(classMean, 0.01);
		if (ratio > this._decayedSlowness(now)) {
			this._recordAnswerTimeRatio(ratio, now);
		}
	}

	/** Calls of other VMs that the latest report counted. */
	get reportedOthers(): number | undefined {
		return this.report === undefined ? undefined : Math.max(0, this.report.inFlight + this.report.queued - this._ownCallsAtReport);
	}

	onAnswer(time: Milliseconds, classMean: Milliseconds, now: Instant): void {
		this._recordAnswerTimeRatio(time / Math.max(classMean, 0.01), now);
		this.lastAnswerAt = now;
		this._recordOutcome(0, now);
		this._failuresInRow = 0;
		this.move('ANSWERED', now);
		if (this._health === 'active') {
			this._ejections = 0;
		}
	}

	/** An attempt failed, or was answered with a server error, through the backend server's fault. */
	onFailure(now: Instant): void {
		this._failuresInRow++;
		this._recordOutcome(1, now);
	}

	/** Takes it out for a while; the time doubles with each probe that fails. */
	eject(event: 'FAILING' | 'SILENT', now: Instant): void {
		this.move(event, now);
		if (this._health === 'ejected') {
			const time = this._tuning.ejectionMilliseconds * (2 ** this._ejections);
			this._ejectedUntil = now + Math.min(time, this._tuning.longestEjectionMilliseconds);
			this._ejections = Math.min(this._ejections + 1, 10);
		}
	}

	move(event: HealthEvent, now: Instant): void {
		const next = nextHealth(this._health, event);
		if (next !== this._health || event === 'RETURN') {
			this._health = next;
			this._healthSince = now;
		}
	}

	/** Takes a sign of leaving; one of a process that is gone says nothing of the present one. */
	takeLeaving(instance: string | undefined, now: Instant): void {
		if (this._processes.takeSign(instance, now)) {
			this.move('LEAVE', now);
		}
	}

	/** Takes in a report made at `madeAt`. Older ones and those of an earlier process are dropped. */
	takeReport(report: LoadReport, madeAt: Instant, now: Instant): ReportEffect {
		if (madeAt < this.reportedAt) {
			return nothingChanged;
		}

		const previousInstance = this._processes.present;
		const change = this._processes.takeReport(report.instance, madeAt);
		if (change === 'of-past') {
			return nothingChanged;
		}

		if (change !== 'present') {
			this._resetForNewProcess(now);
		}

		const beganToLeave = report.isLeaving && this._health !== 'leaving';
		if (report.isLeaving) {
			this.takeLeaving(report.instance, now);
		}

		if (report.warmUpLeftMilliseconds !== undefined) {
			this.warmUp.note(report.warmUpLeftMilliseconds, madeAt);
		}

		this.report = report;
		this.reportedAt = madeAt;
		this._ownCallsAtReport = this.attempts.size;
		return {isTaken: true, goneInstance: change === 'replaced' ? previousInstance : undefined, beganToLeave};
	}

	/** What was learnt of a process that is gone binds nothing of the new one: not its leaving, load or failures. */
	private _resetForNewProcess(now: Instant): void {
		this._slowness = 1;
		this._failureRate = 0;
		this._failuresInRow = 0;
		this.rateLimit = new RateLimit();
		this.move('RETURN', now);
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
		return 1 + ((this._slowness - 1) * Math.exp((this._slownessUpdatedAt - now) / this._tuning.slownessMemoryMilliseconds));
	}

	private _recordOutcome(value: number, now: Instant): void {
		const previous = this.failingAt(now);
		this._failureRate = previous + ((value - previous) * failureGain);
		this._failureRateUpdatedAt = now;
	}

	/** The oldest attempt without an answer tells of a slow phase before any answer can. */
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
