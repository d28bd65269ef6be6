/** Starts attempts and handles their results: retries, hedges and resumed downloads. */
import {type Instant} from '../../model/units.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {
	type Attempt, type AttemptPurpose, type Call, isBodiless, outcomeSoFar, resumeMilliseconds, timeLimitScope,
} from '../call.ts';
import {type CallCompletion} from '../call-completion.ts';
import {learnFromAnswer} from '../estimates/answer-learning.ts';
import {type AnswerRateLimit} from '../backend-rates/rate-limit.ts';
import {type EngineContext, vmCountOf} from '../engine-context.ts';
import {type OutlierDetector} from '../health/outlier-detector.ts';
import {type DemandPlacer} from '../placement/demand-placer.ts';
import {
	type Placement, type Placer, connectionLimit,
} from '../placement/placer.ts';
import {minServerErrorStatus} from '../outcomes.ts';
import {suspectReason} from '../poison-requests/suspect-reason.ts';
import {type ProcessEndJudge} from '../health/process-end.ts';
import {LoadProber, type PendingProbes} from '../probing/load-prober.ts';
import {
	type AttemptFailure, type AttemptId, type AttemptRecord, type CallEvent, type CallOutcome, type LoadReport, type RefusalReason,
} from '../types.ts';
import {Hedging, defaultAttemptLimit} from './hedging.ts';

/** Maximum number of attempts of one call that end in a connection reset. With more, one call could crash one backend server after another. */
const maxResets = 2;

/** Statuses for which the backend server is assumed to be at fault, and not the call. */
const retryableStatuses = new Set([502, 503, 504]);

/**
 * Other server errors are retried only while less than this fraction of the service's latest calls failed, or after two
 * failures in a row on the backend server. Otherwise the fault is assumed to be common to all backend servers.
 */
const maxServiceFailureRate = 0.3;

/** Status of an answer to a range request. */
const partialContentStatus = 206;

/** Failures that prove that the call did not run. */
const notRunFailures = new Set<AttemptFailure>(['connection-refused', 'unreachable', 'not-sent', 'no-relay']);

type HeadEvent = Extract<CallEvent, {type: 'attempt-head'}>;
type FailedEvent = Extract<CallEvent, {type: 'attempt-failed'}>;

/** Dependencies of the runner. */
export type AttemptRunnerOptions = {
	readonly context: EngineContext;
	readonly attempts: Map<AttemptId, Attempt>;
	readonly placer: Placer;
	readonly outlierDetector: OutlierDetector;
	/** Applies a load report and sends a changed process or the beginning of leaving to the other VMs. */
	readonly onReport: (server: BackendServerState, report: LoadReport, now: Instant) => void;
	/** Applies the rate limit in the answer to an attempt, or its absence. */
	readonly onRateLimit: (server: BackendServerState, answer: AnswerRateLimit, now: Instant) => void;
	/** Chooses backend servers for services with on-demand load probes. */
	readonly demandPlacer: DemandPlacer;
	/** Sends a load probe. */
	readonly startLoadProbe: (server: BackendServerState, now: Instant) => void;
	/** Finds out whether the process of a backend server has ended, after a reset there. */
	readonly verifyProcess: (server: BackendServerState, now: Instant) => void;
	readonly processEnds: ProcessEndJudge;
};

export class AttemptRunner {
	private readonly _context: EngineContext;
	private readonly _attempts: Map<AttemptId, Attempt>;
	private readonly _placer: Placer;
	private readonly _outlierDetector: OutlierDetector;
	private readonly _onReport: AttemptRunnerOptions['onReport'];
	private readonly _onRateLimit: AttemptRunnerOptions['onRateLimit'];
	private readonly _demandPlacer: DemandPlacer;
	private readonly _verifyProcess: AttemptRunnerOptions['verifyProcess'];
	private readonly _processEnds: ProcessEndJudge;
	/** Sends load probes before the attempts of services with on-demand load probes. */
	readonly prober: LoadProber;
	/** Starts a second attempt in parallel to a slow first one. */
	readonly hedging: Hedging;
	private _completion: CallCompletion | undefined;
	private _enqueueCall: ((call: Call, now: Instant) => void) | undefined;
	private _nextId = 1;

	constructor(options: AttemptRunnerOptions) {
		this._context = options.context;
		this._attempts = options.attempts;
		this._placer = options.placer;
		this._outlierDetector = options.outlierDetector;
		this._onReport = options.onReport;
		this._onRateLimit = options.onRateLimit;
		this._demandPlacer = options.demandPlacer;
		this._verifyProcess = options.verifyProcess;
		this._processEnds = options.processEnds;
		this.hedging = new Hedging(options.context, (call, now) => this.start(call, 'hedge', now));
		this.prober = new LoadProber({
			context: options.context,
			placer: options.demandPlacer,
			sendProbe: options.startLoadProbe,
			onReady: (call, probing, now) => {
				this._startProbed(call, probing, now);
			},
		});
	}

	/** Set after construction, since `CallCompletion` and `AttemptRunner` depend on each other. */
	setCompletion(completion: CallCompletion): void {
		this._completion = completion;
	}

	/** Sets the function that queues a call for which no backend server was found; `Admission` provides it. */
	setEnqueue(enqueueCall: (call: Call, now: Instant) => void): void {
		this._enqueueCall = enqueueCall;
	}

	/**
	 * Starts an attempt, or the load probes that precede it. Returns false if no backend server may take the call now.
	 * If none is found after the load probes, the call is refused with `reason`. A call that may crash backend servers is
	 * refused at once, which counts as handled.
	 */
	start(call: Call, purpose: AttemptPurpose, now: Instant, reason: RefusalReason = 'overloaded'): boolean {
		if (this._mustNotRun(call, now)) {
			return purpose !== 'hedge' && this._refuseSuspect(call, now);
		}

		if (!call.serviceState.isMeasuredOnDemand) {
			return this._launch(call, purpose, now);
		}

		if (call.probing !== undefined) {
			// The load probes were sent for a hedge; the first attempt has failed meanwhile, so they now serve this attempt.
			call.probing = {...call.probing, purpose, reason};
			return true;
		}

		call.state = call.state === 'queued' ? 'running' : call.state;
		this.prober.begin(call, {purpose, reason}, now);
		return true;
	}

	/** Records why no backend server can be chosen for a call that is about to be refused. */
	noteGrounds(call: Call, now: Instant): void {
		if (call.serviceState.isMeasuredOnDemand) {
			this._demandPlacer.recordGrounds(call, now);
		}
	}

	/** Starts the first attempt without new load probes; false = no backend server may take it now. */
	startUnprobed(call: Call, now: Instant): boolean {
		return this._mustNotRun(call, now) ? this._refuseSuspect(call, now) : this._launch(call, 'first', now);
	}

	private _startProbed(call: Call, {purpose, reason}: PendingProbes, now: Instant): void {
		const isAllowed = purpose === 'hedge' ? call.state === 'running' && call.attempts.size > 0 : call.state !== 'ended' && call.state !== 'answering';
		if (isAllowed && this._mustNotRun(call, now)) {
			if (purpose !== 'hedge') {
				this._refuseSuspect(call, now);
			}

			return;
		}

		if (!isAllowed || this._launch(call, purpose, now) || purpose === 'hedge') {
			return;
		}

		if (purpose === 'first') {
			this._enqueueCall!(call, now);
		} else {
			this._getEndings().refuse(call, reason, now);
		}
	}

	private _launch(call: Call, purpose: AttemptPurpose, now: Instant, resume?: {readonly offset: number; readonly validator: string}): boolean {
		const placer = call.serviceState.isMeasuredOnDemand ? this._demandPlacer : this._placer;
		const placement = this._context.isPlacingHeld ? undefined : placer.place(call, now, purpose);
		if (placement === undefined) {
			return false;
		}

		const attempt = this._recordAttempt(call, purpose, placement, now);
		const {server} = placement;
		this._context.effects.push({
			type: 'start-attempt',
			callId: call.request.callId,
			attemptId: attempt.id,
			identity: server.identity,
			address: server.declared.address,
			port: server.declared.port,
			processStartedAt: server.declared.processStartedAt,
			via: attempt.via,
			timeoutMilliseconds: purpose === 'resume' ? resumeMilliseconds(call, now) : Math.max(1, call.deadline - now),
			needsFreshConnection: server.health === 'doubted',
			connectionLimit: connectionLimit(this._context, server.declared),
			resume,
		});
		if (purpose === 'first') {
			this.hedging.plan(attempt, now);
		} else if (purpose === 'resume') {
			this._setResumeTimeout(attempt, now);
		}

		return true;
	}

	/** Removes an attempt that has ended or was cancelled. Does nothing if it was removed before. */
	remove(attempt: Attempt): void {
		if (!this._attempts.delete(attempt.id)) {
			return;
		}

		const {call, server} = attempt;
		call.attempts.delete(attempt);
		server.attempts.delete(attempt);
		server.suspectsInFlight -= attempt.isSuspect ? 1 : 0;
		server.likelyHarmfulInFlight -= attempt.isLikelyHarmful ? 1 : 0;
		this._context.poisonRequests.recordEnd(call.request.fingerprint);
		call.serviceState.recordAttemptEnd(call.request.caller);
		this._context.servicesToDrain.add(call.serviceState);
	}

	onHead(attempt: Attempt, event: HeadEvent, now: Instant): void {
		attempt.isSent = true;
		const {call, server} = attempt;
		this._processEnds.onResponse(server, attempt.startedAt, now);
		if (event.report !== undefined) {
			this._onReport(server, event.report, now);
		}

		// A response that sheds the call may lack the rate limit header of a regular answer, so its absence means nothing.
		if (event.rateLimit !== undefined || !event.isDeclaredNotRun) {
			this._onRateLimit(server, {notice: event.rateLimit, status: event.status, startedAt: attempt.startedAt}, now);
		}

		if (event.isDeclaredNotRun) {
			call.serviceState.limit.onShed();
			server.recordAcceptance(false, now);
			call.wasShedWithFreeSlot ||= attempt.loadSnapshot.load <= attempt.loadSnapshot.slots;
			this._cancelShedAttempt(attempt, event.isReplayable ?? isBodiless(call.request), 'overloaded', now);
			return;
		}

		if (attempt.purpose === 'resume') {
			this._onResumedHead(attempt, event, now);
			return;
		}

		const hasFailed = event.status >= minServerErrorStatus;
		this._recordAnswer(attempt, hasFailed, event.report, now);
		if (hasFailed && this._shouldRetryServerError(attempt, event)) {
			call.mayHaveRun = true;
			this._context.effects.push({type: 'cancel-attempt', attemptId: attempt.id});
			this.remove(attempt);
			call.failedServers.add(server);
			if (call.attempts.size > 0 || this.start(call, 'retry', now, 'backend-server-failed')) {
				return;
			}

			this._getEndings().refuse(call, 'backend-server-failed', now);
			return;
		}

		// The caller would read this status as "not run", which the backend server has not declared.
		if (this._context.settings.notRunStatuses?.has(event.status) === true) {
			call.mayHaveRun = true;
			this._getEndings().refuse(call, 'outcome-unknown', now);
			return;
		}

		this._forwardAnswer(attempt, event, hasFailed ? 'unknown' : 'ran', now);
	}

	onDone(attempt: Attempt, bytes: number, now: Instant): void {
		const {call} = attempt;
		call.class.addBytes(bytes);
		call.class.addHold(now - attempt.startedAt);
		call.serviceState.classes.all.addHold(now - attempt.startedAt);
		this.remove(attempt);
		if ((call.forwardedAnswer?.status ?? 0) < minServerErrorStatus) {
			this._context.poisonRequests.recordAnswer(call.request.fingerprint, now);
		}

		this._getEndings().end(call, outcomeSoFar(call), undefined, now);
	}

	onFailed(attempt: Attempt, event: FailedEvent, now: Instant): void {
		const {call} = attempt;
		if (attempt.record !== undefined) {
			attempt.record.failure = event.failure;
		}

		call.serviceState.recordAnswer(true);
		this._outlierDetector.onAttemptFailed(attempt, event.failure, now);
		this._verifyProcess(attempt.server, now);
		if (call.forwardedAnswer?.attempt === attempt || attempt.purpose === 'resume') {
			this.remove(attempt);
			call.failedServers.add(attempt.server);
			this._resumeOrBreakOff(call, event, now);
			return;
		}

		const isProvenNotRun = notRunFailures.has(event.failure);
		call.mayHaveRun ||= !isProvenNotRun;
		call.resetCount += event.failure === 'reset-after-sending' ? 1 : 0;
		this.remove(attempt);
		call.failedServers.add(attempt.server);
		this._retryOrRefuse(call, event.isReplayable, call.mayHaveRun ? 'outcome-unknown' : 'backend-server-failed', now);
	}

	/**
	 * Handles a backend server whose process was replaced under the same identity. The old process has lost its calls, and
	 * its connections may stay silent. Idempotent calls without a body are hedged at once. Calls that must not run twice wait
	 * for their answer or timeout: they may have run, or may be running in the new process.
	 */
	onReplaced(server: BackendServerState, now: Instant): void {
		for (const attempt of server.attempts) {
			const {call} = attempt;
			if (!attempt.hasHead && attempt.purpose !== 'resume' && call.isIdempotent && isBodiless(call.request) && call.request.mayRetry) {
				this.hedging.tryNow(attempt, now);
			}
		}
	}

	private _recordAttempt(call: Call, purpose: AttemptPurpose, placement: Placement, now: Instant): Attempt {
		const {server, isTrial} = placement;
		const {poisonRequests} = this._context;
		const {fingerprint} = call.request;
		const isSuspect = poisonRequests.isSuspect(fingerprint);
		const isLikelyHarmful = isSuspect && poisonRequests.isLikelyHarmful(fingerprint);
		const attempt: Attempt = {
			id: this._nextId++,
			call,
			server,
			purpose,
			startedAt: now,
			reportedExcess: server.reportedExcessAt(now, call.serviceState.meanCallsOfOtherVms(vmCountOf(this._context)), call.serviceState.classes.all.holdMean),
			loadSnapshot: this._demandPlacer.loadSnapshot(server, now),
			instance: server.report?.instance,
			via: this._context.links.pathTo(server.identity).via,
			isTrial,
			isSuspect,
			isLikelyHarmful,
			isWarmUp: server.warmUp.isUnderWay(now),
			isSent: false,
			hasHead: false,
		};
		const record: AttemptRecord = {
			backendServer: server.identity,
			purpose,
			via: attempt.via,
			atMilliseconds: now - call.arrivedAt,
			load: server.reportedLoad,
			slots: server.declared.slots,
			workTimeFactor: server.report?.workTimeFactor,
			reportAgeMilliseconds: server.report === undefined ? undefined : now - server.reportedAt,
			grounds: call.grounds,
		};
		if (call.trail !== undefined) {
			attempt.record = record;
			call.trail.push(record);
		}

		call.state = purpose === 'resume' ? 'answering' : 'running';
		call.attemptCount++;
		call.firstStartedAt ??= now;
		call.attempts.add(attempt);
		this._attempts.set(attempt.id, attempt);
		server.attempts.add(attempt);
		server.suspectsInFlight += isSuspect ? 1 : 0;
		server.likelyHarmfulInFlight += isLikelyHarmful ? 1 : 0;
		poisonRequests.recordStart(fingerprint);
		if (call.serviceState.warmUp !== undefined) {
			server.recordStart(now);
		}

		if (server.rateLimit.callsPerSecond !== undefined) {
			this._context.rateLimiter.take(server, now);
		}

		call.serviceState.recordAttemptStart(call.request.caller);
		return attempt;
	}

	/**
	 * Limits the wait for the head of a resumed download to the full timeout of a call. The call's deadline applied to its
	 * first head and has often passed, so the remaining time would be too short; without a limit, a dead connection could
	 * keep the call waiting forever.
	 */
	private _setResumeTimeout(attempt: Attempt, now: Instant): void {
		const {call} = attempt;
		call.timers.push(this._context.timers.add(now + resumeMilliseconds(call, now), {type: 'resume', attempt}));
	}

	private _recordAnswer(attempt: Attempt, hasFailed: boolean, report: LoadReport | undefined, now: Instant): void {
		attempt.call.serviceState.recordAnswer(hasFailed);
		if (hasFailed) {
			this._outlierDetector.onServerError(attempt, now);
		} else {
			learnFromAnswer(attempt, report, now);
		}
	}

	private _forwardAnswer(attempt: Attempt, event: HeadEvent, outcome: CallOutcome, now: Instant): void {
		const {call} = attempt;
		attempt.hasHead = true;
		this._outlierDetector.onAttemptsSuperseded(call, attempt, now);
		this._getEndings().cancelAttempts(call, attempt);
		call.state = 'answering';
		call.forwardedAnswer = {
			attempt, status: event.status, outcome, validator: event.validator,
		};
		this._context.effects.push({
			type: 'pass-on', callId: call.request.callId, attemptId: attempt.id, outcome, timeLeftMilliseconds: call.deadline - now, timeLimitScope: timeLimitScope(call),
		});
	}

	private _shouldRetryServerError(attempt: Attempt, event: HeadEvent): boolean {
		const {call, server} = attempt;
		const isServerFault = retryableStatuses.has(event.status) || server.failuresInRow >= 2 || call.serviceState.failureRate < maxServiceFailureRate;
		return isServerFault && call.isIdempotent && (call.attempts.size > 1 || this._mayRetry(call, event.isReplayable ?? isBodiless(call.request)));
	}

	/** Cancels an attempt that its backend server shed, which proves that the call did not run there, and retries the call. */
	private _cancelShedAttempt(attempt: Attempt, isReplayable: boolean, reason: RefusalReason, now: Instant): void {
		const {call} = attempt;
		this._context.effects.push({type: 'cancel-attempt', attemptId: attempt.id});
		this.remove(attempt);
		call.failedServers.add(attempt.server);
		if (attempt.purpose === 'resume') {
			this._getEndings().abortAnswer(call, now);
			return;
		}

		this._retryOrRefuse(call, isReplayable, reason, now);
	}

	private _retryOrRefuse(call: Call, isReplayable: boolean, reason: RefusalReason, now: Instant): void {
		if (call.attempts.size > 0) {
			return;
		}

		const isSafe = call.isIdempotent || !call.mayHaveRun;
		const isAllowed = isSafe && now < call.deadline && !this._isQuarantined(call, now) && this._mayRetry(call, isReplayable);
		if (isAllowed && this.start(call, 'retry', now, reason)) {
			return;
		}

		this._getEndings().refuse(call, this._isQuarantined(call, now) ? this._suspectReason(call, now) : reason, now);
	}

	/** Whether the call is quarantined, or held back until earlier attempts have shown whether it is harmful. */
	private _mustNotRun(call: Call, now: Instant): boolean {
		return this._isQuarantined(call, now) || this._context.poisonRequests.isHeld(call.request.fingerprint, now);
	}

	/** Refuses a call that must not run; always true. */
	private _refuseSuspect(call: Call, now: Instant): boolean {
		this._getEndings().refuse(call, this._suspectReason(call, now), now);
		return true;
	}

	private _suspectReason(call: Call, now: Instant): RefusalReason {
		return suspectReason(this._context.poisonRequests, call, now);
	}

	/** Whether the rules and the retry budget allow one more attempt; if so, takes a token from the budget. */
	private _mayRetry(call: Call, isReplayable: boolean): boolean {
		return isReplayable && call.request.mayRetry && call.attemptCount < Math.min(defaultAttemptLimit, call.request.rule?.attemptLimit ?? defaultAttemptLimit) && call.resetCount < maxResets
			&& call.serviceState.retryBudget.tryTake();
	}

	/**
	 * Resumes an interrupted download on another backend server if its answer has a strong validator. Only a partial answer
	 * with the same validator is accepted, since anything else could join parts of two versions.
	 */
	private _resumeOrBreakOff(call: Call, event: FailedEvent, now: Instant): void {
		const {forwardedAnswer} = call;
		const isResumable = forwardedAnswer?.status === 200 && forwardedAnswer.validator !== undefined && call.isIdempotent && call.request.method === 'GET';
		if (isResumable && resumeMilliseconds(call, now) > 0 && this._mayRetry(call, true)) {
			const resume = {offset: event.bytesPassedOn, validator: forwardedAnswer.validator};
			if (this._launch(call, 'resume', now, resume)) {
				return;
			}
		}

		this._getEndings().abortAnswer(call, now);
	}

	private _onResumedHead(attempt: Attempt, event: HeadEvent, now: Instant): void {
		const {call} = attempt;
		const forwarded = call.forwardedAnswer!;
		if (event.status !== partialContentStatus || event.validator !== forwarded.validator) {
			this._getEndings().cancelAttempts(call);
			this._getEndings().abortAnswer(call, now);
			return;
		}

		attempt.hasHead = true;
		attempt.server.lastAnswerAt = now;
		call.forwardedAnswer = {...forwarded, attempt};
		this._context.effects.push({
			type: 'pass-on',
			callId: call.request.callId,
			attemptId: attempt.id,
			outcome: forwarded.outcome,
			timeLeftMilliseconds: call.deadline - now,
			timeLimitScope: timeLimitScope(call),
		});
	}

	private _isQuarantined(call: Call, now: Instant): boolean {
		return this._context.poisonRequests.isQuarantined(call.request.fingerprint, now);
	}

	private _getEndings(): CallCompletion {
		return this._completion!;
	}
}
