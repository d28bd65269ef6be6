/** Starts attempts and follows them to their end: retries, hedges, resumed downloads. */
import {type Instant} from '../model/units.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {
	type Attempt, type AttemptPurpose, type Call, isBodiless, outcomeSoFar,
} from './call.ts';
import {type CallEndings} from './call-endings.ts';
import {learnFromAnswer} from './answer-learning.ts';
import {type EngineContext, vmCountOf} from './engine-context.ts';
import {type HealthJudge} from './health-judge.ts';
import {Hedging, mostAttempts} from './hedging.ts';
import {type DemandPlacer} from './demand-placer.ts';
import {
	type Placement, type Placer, connectionLimit, shareOfLimit,
} from './placer.ts';
import {LoadProber, type PendingProbes} from './load-prober.ts';
import {
	type AttemptFailure, type AttemptId, type CallEvent, type CallOutcome, type LoadReport, type RateLimitNotice, type RefusalReason,
} from './types.ts';

/** Most attempts that may end in a reset connection: more would let one call crash one backend server after another. */
const mostResets = 2;

/** From this status on an answer does not say whether the call ran. */
const firstServerError = 500;

/** Errors that say that this backend server, and not the call, is at fault. */
const retryableStatuses = new Set([502, 503, 504]);

/** An internal error is retried only where this part of the backend server's latest calls failed. */
const failingEnough = 0.3;

/** Answer to a range of a download. */
const partialContent = 206;

/** Failures that prove that nothing ran. */
const notRunFailures = new Set<AttemptFailure>(['connection-refused', 'not-sent']);

type HeadEvent = Extract<CallEvent, {type: 'attempt-head'}>;
type FailedEvent = Extract<CallEvent, {type: 'attempt-failed'}>;

/** What the runner needs from its surroundings. */
export type AttemptRunnerOptions = {
	readonly context: EngineContext;
	readonly attempts: Map<AttemptId, Attempt>;
	readonly placer: Placer;
	readonly health: HealthJudge;
	/** Takes a report in and tells peers what is worth telling. */
	readonly onReport: (server: BackendServerState, report: LoadReport, now: Instant) => void;
	/** Takes what the answer to an attempt says of a rate limit. */
	readonly onRateLimit: (attempt: Attempt, rateLimit: RateLimitNotice | undefined, now: Instant) => void;
	/** Chooses where measuring is on demand. */
	readonly demandPlacer: DemandPlacer;
	/** Sends a measuring call. */
	readonly measure: (server: BackendServerState) => void;
};

/** Runs attempts. */
export class AttemptRunner {
	private readonly _context: EngineContext;
	private readonly _attempts: Map<AttemptId, Attempt>;
	private readonly _placer: Placer;
	private readonly _health: HealthJudge;
	private readonly _onReport: AttemptRunnerOptions['onReport'];
	private readonly _onRateLimit: AttemptRunnerOptions['onRateLimit'];
	private readonly _demandPlacer: DemandPlacer;
	/** Fetches reports before attempts of services that are measured on demand. */
	readonly prober: LoadProber;
	/** Decides on second attempts beside slow first ones. */
	readonly hedging: Hedging;
	private _endings: CallEndings | undefined;
	private _queueCall: ((call: Call, now: Instant) => void) | undefined;
	private _nextId = 1;

	constructor(options: AttemptRunnerOptions) {
		this._context = options.context;
		this._attempts = options.attempts;
		this._placer = options.placer;
		this._health = options.health;
		this._onReport = options.onReport;
		this._onRateLimit = options.onRateLimit;
		this._demandPlacer = options.demandPlacer;
		this.hedging = new Hedging(options.context, (call, now) => this.start(call, 'hedge', now));
		this.prober = new LoadProber({
			context: options.context,
			placer: options.demandPlacer,
			measure: options.measure,
			onReady: (call, probing, now) => {
				this._startProbed(call, probing, now);
			},
		});
	}

	/** Endings cancel attempts, and attempts end calls: the second of the two is handed over later. */
	setEndings(endings: CallEndings): void {
		this._endings = endings;
	}

	/** Calls for which no backend server was found wait in the queue: the admission hands that over. */
	setQueue(queueCall: (call: Call, now: Instant) => void): void {
		this._queueCall = queueCall;
	}

	/**
	 * Starts an attempt, or the fetching of reports for it; false = no backend server may take it now. `reason`
	 * is what the call is refused with if no backend server is found once the reports are there.
	 */
	start(call: Call, purpose: AttemptPurpose, now: Instant, reason: RefusalReason = 'overloaded'): boolean {
		if (!call.serviceState.isMeasuredOnDemand) {
			return this._launch(call, purpose, now);
		}

		if (call.probing !== undefined) {
			// A hedge was being prepared: it takes the place of the attempt that has failed meanwhile.
			call.probing = {...call.probing, purpose, reason};
			return true;
		}

		call.state = call.state === 'queued' ? 'running' : call.state;
		this.prober.begin(call, {purpose, reason}, now);
		return true;
	}

	/** Records why no place can be found for a call that is about to be refused. */
	noteGrounds(call: Call, now: Instant): void {
		if (call.serviceState.isMeasuredOnDemand) {
			this._demandPlacer.noteGrounds(call, now);
		}
	}

	/** Starts the first attempt by what is known already; false = no backend server may take it now. */
	startUnprobed(call: Call, now: Instant): boolean {
		return this._launch(call, 'first', now);
	}

	private _startProbed(call: Call, {purpose, reason}: PendingProbes, now: Instant): void {
		const isWanted = purpose === 'hedge' ? call.state === 'running' && call.attempts.size > 0 : call.state !== 'ended' && call.state !== 'answering';
		if (!isWanted || this._launch(call, purpose, now) || purpose === 'hedge') {
			return;
		}

		if (purpose === 'first') {
			this._queueCall!(call, now);
		} else {
			this._end().refuse(call, reason, now);
		}
	}

	private _launch(call: Call, purpose: AttemptPurpose, now: Instant, resume?: {readonly offset: number; readonly validator: string}): boolean {
		const placer = call.serviceState.isMeasuredOnDemand ? this._demandPlacer : this._placer;
		const placement = this._context.isPlacingHeld ? undefined : placer.place(call, now, purpose);
		if (placement === undefined) {
			return false;
		}

		const attempt = this._record(call, purpose, placement, now);
		const {server} = placement;
		this._context.effects.push({
			type: 'start-attempt',
			callId: call.request.callId,
			attemptId: attempt.id,
			identity: server.identity,
			address: server.declared.address,
			port: server.declared.port,
			processStartedAt: server.declared.processStartedAt,
			timeoutMilliseconds: purpose === 'resume' ? call.deadline - call.arrivedAt : Math.max(1, call.deadline - now),
			needsFreshConnection: server.health === 'doubted',
			connectionLimit: connectionLimit(this._context, server.declared),
			resume,
		});
		if (purpose === 'first') {
			this.hedging.plan(attempt, now);
		} else if (purpose === 'resume') {
			this._limitResume(attempt, now);
		}

		return true;
	}

	/** Forgets an attempt that has ended or is given up. */
	drop(attempt: Attempt): void {
		if (!this._attempts.delete(attempt.id)) {
			return;
		}

		const {call, server} = attempt;
		call.attempts.delete(attempt);
		server.attempts.delete(attempt);
		server.suspectsInFlight -= attempt.isSuspect ? 1 : 0;
		call.serviceState.noteEnded(call.request.caller);
		this._context.freed.add(call.serviceState);
	}

	onHead(attempt: Attempt, event: HeadEvent, now: Instant): void {
		attempt.isSent = true;
		const {call, server} = attempt;
		if (event.report !== undefined) {
			this._onReport(server, event.report, now);
		}

		// A response that turns the call away may come without the headers of those that ran.
		if (event.rateLimit !== undefined || !event.isDeclaredNotRun) {
			this._onRateLimit(attempt, event.rateLimit, now);
		}

		if (event.isDeclaredNotRun) {
			call.serviceState.limit.onShed();
			server.noteTaken(false, now);
			call.wasShedWithRoom ||= attempt.prospect.load <= attempt.prospect.slots;
			this._giveUp(attempt, event.isReplayable ?? isBodiless(call.request), 'overloaded', now);
			return;
		}

		if (attempt.purpose === 'resume') {
			this._continueDownload(attempt, event, now);
			return;
		}

		const hasFailed = event.status >= firstServerError;
		this._learn(attempt, hasFailed, event.report, now);
		if (hasFailed && this._isWorthAnother(attempt, event)) {
			call.mayHaveRun = true;
			this._context.effects.push({type: 'cancel-attempt', attemptId: attempt.id});
			this.drop(attempt);
			call.failedOn.add(server);
			if (call.attempts.size > 0 || this.start(call, 'retry', now, 'backend-server-failed')) {
				return;
			}

			this._end().refuse(call, 'backend-server-failed', now);
			return;
		}

		// Guards the caller against a promise that nobody made: it would take the bare status for "not run".
		if (this._context.settings.notRunStatuses?.has(event.status) === true) {
			call.mayHaveRun = true;
			this._end().refuse(call, 'outcome-unknown', now);
			return;
		}

		this._passOn(attempt, event, hasFailed ? 'unknown' : 'ran', now);
	}

	onDone(attempt: Attempt, bytes: number, now: Instant): void {
		const {call} = attempt;
		call.class.addBytes(bytes);
		call.class.addHold(now - attempt.startedAt);
		call.serviceState.classes.all.addHold(now - attempt.startedAt);
		this.drop(attempt);
		this._context.suspects.clear(call.request.fingerprint, now);
		this._end().end(call, outcomeSoFar(call), undefined, now);
	}

	onFailed(attempt: Attempt, event: FailedEvent, now: Instant): void {
		const {call} = attempt;
		call.serviceState.noteAnswer(true);
		this._health.onAttemptFailed(attempt, event.failure, now);
		if (call.answering?.attempt === attempt || attempt.purpose === 'resume') {
			this.drop(attempt);
			call.failedOn.add(attempt.server);
			this._resumeOrBreakOff(call, event, now);
			return;
		}

		const hasProof = notRunFailures.has(event.failure);
		call.mayHaveRun ||= !hasProof;
		call.resets += event.failure === 'reset-after-sending' ? 1 : 0;
		this.drop(attempt);
		call.failedOn.add(attempt.server);
		this._retryOrRefuse(call, event.isReplayable, call.mayHaveRun ? 'outcome-unknown' : 'backend-server-failed', now);
	}

	/**
	 * Another process has taken the backend server's identity: the one that had these calls has lost them, and its
	 * connections may be silent for good. Reads go elsewhere at once. What may not run twice waits for its answer or its
	 * timeout: it may have run, or may be running in the new process.
	 */
	onReplaced(server: BackendServerState, now: Instant): void {
		for (const attempt of server.attempts) {
			const {call} = attempt;
			if (!attempt.hasHead && attempt.purpose !== 'resume' && call.isIdempotent && isBodiless(call.request) && call.request.mayRetry) {
				this.hedging.tryNow(attempt, now);
			}
		}
	}

	private _record(call: Call, purpose: AttemptPurpose, placement: Placement, now: Instant): Attempt {
		const {server, isExperiment} = placement;
		const isSuspect = this._context.suspects.isSuspect(call.request.fingerprint);
		const attempt: Attempt = {
			id: this._nextId++,
			call,
			server,
			purpose,
			startedAt: now,
			signal: server.signalAt(now, call.serviceState.usualOthers(vmCountOf(this._context)), call.serviceState.classes.all.holdMean),
			prospect: this._demandPlacer.prospect(server, now),
			instance: server.process,
			isExperiment,
			isSuspect,
			isWarmUp: server.warmUp.isUnderWay(now),
			isSent: false,
			hasHead: false,
		};
		call.trail?.push({
			backendServer: server.identity,
			purpose,
			atMilliseconds: now - call.arrivedAt,
			load: server.reportedLoad,
			slots: server.declared.slots,
			workTimeFactor: server.report?.workTimeFactor,
			reportAgeMilliseconds: server.report === undefined ? undefined : now - server.reportedAt,
			grounds: call.grounds,
		});
		call.state = purpose === 'resume' ? 'answering' : 'running';
		call.attemptCount++;
		call.firstStartedAt ??= now;
		call.attempts.add(attempt);
		this._attempts.set(attempt.id, attempt);
		server.attempts.add(attempt);
		server.suspectsInFlight += isSuspect ? 1 : 0;
		if (call.serviceState.warmUp !== undefined) {
			server.noteStart(now);
		}

		const share = shareOfLimit(server, this._context, now);
		if (share !== undefined) {
			server.rateLimit.take(share, now);
		}

		call.serviceState.noteStarted(call.request.caller);
		return attempt;
	}

	/**
	 * Guard: the call's deadline ended with its first head, often long ago. Given what was left of it, a resumed
	 * download would get no time; given no limit, it could wait for its head without end on a connection that
	 * was lost track of. So it has the time of a call again.
	 */
	private _limitResume(attempt: Attempt, now: Instant): void {
		const {call} = attempt;
		call.timers.push(this._context.timers.add(now + call.deadline - call.arrivedAt, {type: 'resume', attempt}));
	}

	private _learn(attempt: Attempt, hasFailed: boolean, report: LoadReport | undefined, now: Instant): void {
		attempt.call.serviceState.noteAnswer(hasFailed);
		if (hasFailed) {
			this._health.onServerError(attempt, now);
		} else {
			learnFromAnswer(attempt, report, now);
		}
	}

	private _passOn(attempt: Attempt, event: HeadEvent, outcome: CallOutcome, now: Instant): void {
		const {call} = attempt;
		attempt.hasHead = true;
		this._health.beforeCancel(call, attempt, now);
		this._end().cancelAttempts(call, attempt);
		call.state = 'answering';
		call.answering = {
			attempt, status: event.status, outcome, validator: event.validator,
		};
		this._context.effects.push({
			type: 'pass-on', callId: call.request.callId, attemptId: attempt.id, outcome,
		});
	}

	private _isWorthAnother(attempt: Attempt, event: HeadEvent): boolean {
		const {call, server} = attempt;
		const isServersFault = retryableStatuses.has(event.status) || server.failuresInRow >= 2 || call.serviceState.failing < failingEnough;
		return isServersFault && call.isIdempotent && (call.attempts.size > 1 || this._mayRetry(call, event.isReplayable ?? isBodiless(call.request)));
	}

	/** A shed attempt is proof that nothing ran there. */
	private _giveUp(attempt: Attempt, isReplayable: boolean, reason: RefusalReason, now: Instant): void {
		const {call} = attempt;
		this._context.effects.push({type: 'cancel-attempt', attemptId: attempt.id});
		this.drop(attempt);
		call.failedOn.add(attempt.server);
		if (attempt.purpose === 'resume') {
			this._end().breakOff(call, now);
			return;
		}

		this._retryOrRefuse(call, isReplayable, reason, now);
	}

	private _retryOrRefuse(call: Call, isReplayable: boolean, reason: RefusalReason, now: Instant): void {
		if (call.attempts.size > 0) {
			return;
		}

		const isSafe = call.isIdempotent || !call.mayHaveRun;
		const isWanted = isSafe && now < call.deadline && !this._isQuarantined(call, now) && this._mayRetry(call, isReplayable);
		if (isWanted && this.start(call, 'retry', now, reason)) {
			return;
		}

		this._end().refuse(call, this._isQuarantined(call, now) ? 'quarantined' : reason, now);
	}

	/** Whether rules and budget allow one more attempt; takes it off the budget. */
	private _mayRetry(call: Call, isReplayable: boolean): boolean {
		return isReplayable && call.request.mayRetry && call.attemptCount < Math.min(mostAttempts, call.request.rule?.mostAttempts ?? mostAttempts) && call.resets < mostResets
			&& call.serviceState.retryBudget.tryTake();
	}

	/**
	 * A download that broke off goes on at another backend server only if that has the same version: a
	 * strong validator and a partial answer prove it. Anything else would join halves of two files.
	 */
	private _resumeOrBreakOff(call: Call, event: FailedEvent, now: Instant): void {
		const {answering} = call;
		const isResumable = answering?.status === 200 && answering.validator !== undefined && call.isIdempotent && call.request.method === 'GET';
		if (isResumable && this._mayRetry(call, true)) {
			const resume = {offset: event.bytesPassedOn, validator: answering.validator};
			if (this._launch(call, 'resume', now, resume)) {
				return;
			}
		}

		this._end().breakOff(call, now);
	}

	private _continueDownload(attempt: Attempt, event: HeadEvent, now: Instant): void {
		const {call} = attempt;
		const before = call.answering!;
		if (event.status !== partialContent || event.validator !== before.validator) {
			this._end().cancelAttempts(call);
			this._end().breakOff(call, now);
			return;
		}

		attempt.hasHead = true;
		attempt.server.lastAnswerAt = now;
		call.answering = {...before, attempt};
		this._context.effects.push({
			type: 'pass-on', callId: call.request.callId, attemptId: attempt.id, outcome: before.outcome,
		});
	}

	private _isQuarantined(call: Call, now: Instant): boolean {
		return this._context.suspects.isQuarantined(call.request.fingerprint, now);
	}

	private _end(): CallEndings {
		return this._endings!;
	}
}
