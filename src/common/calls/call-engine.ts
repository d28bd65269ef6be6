/** The call engine of one VM: dispatches events and due timers to the parts that decide on calls. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {Admission} from './admission/admission.ts';
import {DemandReports} from './admission/demand-reports.ts';
import {AttemptRunner} from './attempts/attempt-runner.ts';
import {
	type Attempt, type Call, newCall, outcomeSoFar,
} from './call.ts';
import {CallCompletion} from './call-completion.ts';
import {PoisonRequestDetector} from './poison-requests/poison-request-detector.ts';
import {
	type EngineContext, type Timer, isTimerLive,
} from './engine-context.ts';
import {type CallEngineOptions} from './engine-options.ts';
import {createLinks} from './engine-links.ts';
import {KeyClaims} from './key-claims.ts';
import {StateUpdates, isStateUpdate} from './state-updates.ts';
import {TimerActions} from './timer-actions.ts';
import {DemandPlacer} from './placement/demand-placer.ts';
import {keysOf} from './poison-requests/fingerprint-keys.ts';
import {suspectReason} from './poison-requests/suspect-reason.ts';
import {ProcessEndJudge} from './health/process-end.ts';
import {OutlierDetector} from './health/outlier-detector.ts';
import {ExpectedTimePlacer} from './placement/placer.ts';
import {ServiceDirectory} from './service-directory.ts';
import {TimerQueue} from './timer-queue.ts';
import {defaultTuning} from './tuning.ts';
import {DividedRateLimiter, GrantedRateLimiter} from './backend-rates/rate-limiter.ts';
import {SingleVmRateQuota} from './backend-rates/rate-quota.ts';
import {
	type AttemptId, type BackendServerIdentity, type CallEffect, type CallEngine, type CallEngineStatus, type CallLoad, type CallEvent, type CallId, type CallRequest, type LoadUpdate, type PoisonRequestChange,
} from './types.ts';

/** Names no backend server in updates that only clear calls, as the field cannot be empty. */
const clearingIdentity = 'none';

export class DefaultCallEngine implements CallEngine {
	private readonly _context: EngineContext;
	private readonly _calls = new Map<CallId, Call>();
	private readonly _attempts = new Map<AttemptId, Attempt>();
	private readonly _directory: ServiceDirectory;
	private readonly _processEnds: ProcessEndJudge;
	private readonly _runner: AttemptRunner;
	private readonly _completion: CallCompletion;
	private readonly _admission: Admission;
	private readonly _newlyQuarantined = new Set<string>();
	private readonly _keyClaims: KeyClaims;
	private readonly _stateUpdates: StateUpdates;
	private readonly _timerActions: TimerActions;

	constructor(options: CallEngineOptions) {
		const tuning = {...defaultTuning, ...options.tuning};
		const rateQuota = options.rateQuota ?? new SingleVmRateQuota();
		this._context = {
			random: options.random,
			tuning,
			settings: options.settings,
			timers: new TimerQueue<Timer>(),
			poisonRequests: new PoisonRequestDetector(tuning.suspicionMilliseconds, {
				onChange: change => {
					this._onPoisonRequestChange(change);
				},
				onCrashEvidence: ({crash, server, suspects}) => {
					this._tellPeers({
						identity: server, suspects, crash, isCrashCertain: true,
					});
				},
				onCleared: (key, ageMilliseconds) => {
					this._tellPeers({
						identity: clearingIdentity, suspects: [], crash: undefined, cleared: [key],
					}, ageMilliseconds);
				},
			}),
			servicesToDrain: new Set(),
			replacedServers: [],
			isPlacingHeld: false,
			demandReports: new DemandReports(options.reportsDemand ?? false),
			rateQuota,
			rateLimiter: options.rateLimits === 'granted'
				? new GrantedRateLimiter({
					random: options.random,
					send: request => {
						this._context.effects.push({type: 'server-tokens-wanted', request});
					},
				})
				: new DividedRateLimiter(rateQuota),
			memberHash: options.memberHash,
			links: createLinks(options.random, options.settings.dataCentre, () => ({
				context: this._context, directory: this._directory, processEnds: this._processEnds, runner: this._runner,
			})),
			shares: undefined,
			effects: [],
		};
		const processEnds = new ProcessEndJudge(this._context);
		this._processEnds = processEnds;
		this._directory = new ServiceDirectory(this._context, processEnds);
		const outlierDetector = new OutlierDetector(this._context, processEnds);
		this._runner = new AttemptRunner({
			context: this._context,
			attempts: this._attempts,
			placer: new ExpectedTimePlacer(this._context),
			demandPlacer: new DemandPlacer(this._context),
			startLoadProbe: (server, now) => {
				this._directory.startLoadProbe(server, now);
			},
			verifyProcess: (server, now) => {
				this._directory.verifyProcess(server, now);
			},
			processEnds,
			outlierDetector,
			onReport: (server, report, now) => {
				this._directory.applyAnswerReport(server, report, now);
			},
			onRateLimit: (server, answer, now) => {
				this._directory.rateLimits.applyAnswer(server, answer, now);
			},
		});
		this._completion = new CallCompletion(this._context, this._calls, attempt => {
			this._runner.remove(attempt);
		});
		this._runner.setCompletion(this._completion);
		this._admission = new Admission(this._context, this._runner, this._completion);
		this._keyClaims = new KeyClaims(this._context, this._admission, this._completion);
		this._stateUpdates = new StateUpdates(this._context, this._directory, this._runner);
		this._timerActions = new TimerActions({
			context: this._context, admission: this._admission, completion: this._completion, runner: this._runner, outlierDetector,
		});
	}

	handle(event: CallEvent, now: Instant): readonly CallEffect[] {
		this._context.effects = [];
		this._dispatch(event, now);
		this._refuseQuarantined(now);
		for (const service of this._context.servicesToDrain) {
			this._admission.drain(service, now);
		}

		this._context.servicesToDrain.clear();
		this._context.effects.push(...this._context.demandReports.takeDue(now));
		return this._context.effects;
	}

	nextWakeUp(): Instant | undefined {
		const {timers} = this._context;
		timers.dropWhile(timer => !isTimerLive(timer));
		const earliest = Math.min(timers.earliest ?? Infinity, this._directory.nextLoadProbeCheckAt ?? Infinity, this._context.links.nextAt ?? Infinity);
		return earliest === Infinity ? undefined : earliest;
	}

	load(): CallLoad {
		let callsQueued = 0;
		const inFlightOfServices = new Map<string, number>();
		for (const service of this._directory.allServices()) {
			callsQueued += service.queue.size;
			if (service.inFlight > 0) {
				inFlightOfServices.set(service.declared.name, service.inFlight);
			}
		}

		return {callsInFlight: this._calls.size - callsQueued, callsQueued, inFlightOfServices};
	}

	/** Whether this VM has a direct link to a backend server, as far as it knows. */
	hasLinkTo(identity: BackendServerIdentity): boolean {
		return this._context.links.pathTo(identity).state === 'direct';
	}

	/** A VM to ask for a connection to this backend server; undefined = none is left besides those in `tried`. */
	nextRelay(identity: BackendServerIdentity, tried: ReadonlySet<string>, now: Instant): string | undefined {
		return this._context.links.nextRelay(identity, tried, now);
	}

	/** A VM that was asked for a connection to a backend server has opened one, or has no link itself. */
	onRelayAsked(identity: BackendServerIdentity, via: string, hasLink: boolean, now: Instant): void {
		this._context.links.onRelayAsked(identity, via, hasLink, now);
	}

	/** Another VM through which this one reaches a backend server; undefined = none. */
	relayTo(identity: BackendServerIdentity): string | undefined {
		return this._context.links.pathTo(identity).via;
	}

	status(now: Instant): CallEngineStatus {
		const {callsInFlight, callsQueued} = this.load();
		return {
			configurationVersion: this._directory.version ?? 0,
			callsInFlight,
			callsQueued,
			backendServers: this._directory.statuses(now),
			quarantined: this._context.poisonRequests.quarantined(now),
		};
	}

	private _dispatch(event: CallEvent, now: Instant): void {
		if ('attemptId' in event) {
			this._onAttemptEvent(event, now);
			return;
		}

		if (isStateUpdate(event)) {
			this._stateUpdates.apply(event, now);
			return;
		}

		switch (event.type) {
			case 'call-arrived': {
				this._onCallArrived(event.request, now);
				break;
			}

			case 'caller-gone': {
				this._onCallerGone(event.callId, now);
				break;
			}

			case 'placing-held': {
				this._setPlacingHeld(event.isHeld);
				break;
			}

			case 'process-ending': {
				this._onProcessEnding(event.isOver, now);
				break;
			}

			case 'key-claimed': {
				this._keyClaims.onClaimed(event.callId, event.claim, now);
				break;
			}

			case 'tick': {
				this._onTick(now);
				break;
			}
		}
	}

	private _onAttemptEvent(event: Extract<CallEvent, {attemptId: AttemptId}>, now: Instant): void {
		// The attempt is missing if it was cancelled: its late events are ignored.
		const attempt = this._attempts.get(event.attemptId);
		if (attempt === undefined) {
			return;
		}

		switch (event.type) {
			case 'attempt-sent': {
				attempt.isSent = true;
				break;
			}

			case 'attempt-head': {
				this._runner.onHead(attempt, event, now);
				break;
			}

			case 'attempt-done': {
				this._runner.onDone(attempt, event.bytesPassedOn ?? 0, now);
				break;
			}

			case 'attempt-failed': {
				this._runner.onFailed(attempt, event, now);
				break;
			}
		}
	}

	private _onCallArrived(request: CallRequest, now: Instant): void {
		const service = this._directory.service(request.service);
		if (service === undefined) {
			this._completion.refuseUnregistered(request, this._directory.version === undefined ? 'not-ready' : 'unknown-service');
			return;
		}

		this._directory.recordCall(service, now);
		const call = newCall(request, service, now);
		this._calls.set(request.callId, call);
		call.timers.push(this._context.timers.add(call.deadline, {type: 'deadline', call}));
		if (this._context.poisonRequests.isQuarantined(request.fingerprint, now)) {
			this._completion.refuse(call, suspectReason(this._context.poisonRequests, call, now), now);
			return;
		}

		// With an outdated configuration, a non-idempotent call could run on a backend server that no longer belongs to the service.
		if (this._stateUpdates.isCutOff && !call.isIdempotent) {
			this._completion.refuse(call, 'not-ready', now);
			return;
		}

		if (service.declared.claimsIdempotencyKeys && request.idempotencyKey !== undefined) {
			this._keyClaims.claim(call, request.idempotencyKey);
			return;
		}

		this._admission.admit(call, now);
	}

	private _onPoisonRequestChange(change: PoisonRequestChange): void {
		this._context.effects.push({type: 'poison-request-changed', change, quarantined: this._context.poisonRequests.quarantinedCount});
		if (change.kind === 'quarantined') {
			this._newlyQuarantined.add(change.fingerprint);
		}
	}

	private _tellPeers(update: Omit<LoadUpdate, 'report' | 'ageMilliseconds'>, ageMilliseconds: Milliseconds = 0): void {
		this._context.effects.push({type: 'tell-peers', update: {...update, report: undefined, ageMilliseconds}});
	}

	/** Refuses the open calls that were quarantined in this event. Attempts in flight go on: an answer clears the call. */
	private _refuseQuarantined(now: Instant): void {
		for (const call of this._newlyQuarantined.size === 0 ? [] : [...this._calls.values()]) {
			const isAffected = keysOf(call.request.fingerprint).some(key => this._newlyQuarantined.has(key));
			if (isAffected && call.attempts.size === 0 && call.state !== 'claiming') {
				this._completion.refuse(call, suspectReason(this._context.poisonRequests, call, now), now);
			}
		}

		this._newlyQuarantined.clear();
	}

	/** Holds or resumes placing. When placing resumes, the queues of all services are drained. */
	private _setPlacingHeld(isHeld: boolean): void {
		this._context.isPlacingHeld = isHeld;
		for (const service of isHeld ? [] : this._directory.allServices()) {
			this._context.servicesToDrain.add(service);
		}
	}

	private _onCallerGone(callId: CallId, now: Instant): void {
		const call = this._calls.get(callId);
		if (call !== undefined) {
			this._completion.abandon(call, now);
		}
	}

	/**
	 * Refuses open calls before the process ends, so that their callers learn the outcome. Calls that were never sent
	 * are refused as not run while there is time for it. Sent calls can still be answered until the end and are then refused
	 * with an unknown outcome. An answer that is being forwarded cannot be refused and is cut.
	 */
	private _onProcessEnding(isOver: boolean, now: Instant): void {
		for (const call of this._calls.values()) {
			const mayRun = call.state === 'claiming' || outcomeSoFar(call) !== 'not-run' || [...call.attempts].some(attempt => attempt.isSent);
			if (!mayRun) {
				this._completion.refuse(call, 'stopping', now);
			} else if (isOver && call.state !== 'answering') {
				this._completion.refuse(call, 'outcome-unknown', now, 'unknown');
			}
		}
	}

	private _onTick(now: Instant): void {
		const {timers} = this._context;
		for (let timer = timers.takeDue(now); timer !== undefined; timer = timers.takeDue(now)) {
			if (isTimerLive(timer)) {
				this._timerActions.run(timer, now);
			}
		}

		this._directory.startDueLoadProbes(now);
		this._context.links.runDue(now);
	}
}
