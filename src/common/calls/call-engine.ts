/** The decider of all calls on one VM: admits, places, retries, refuses. */
import {type BackendServer, type Service} from '../model/resources.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {BackendServerState} from './backend-server-state.ts';
import {type Attempt, type Call, newCall} from './call.ts';
import {RetryBudget} from './retry-budget.ts';
import {TimerQueue} from './timer-queue.ts';
import {
	type AttemptFailure, type AttemptId, type BackendServerIdentity, type BackendServerStatus, type CallConfiguration,
	type CallEffect, type CallEngine, type CallEngineStatus, type CallEvent, type CallId, type CallOutcome, type CallRequest,
	type FleetShares, type KeyClaim, type LoadNews, type RefusalReason,
} from './types.ts';

/** Settings of the engine that no resource declares. */
export type CallEngineSettings = {
	/** This VM's data centre: calls stay in it while it can carry them. */
	readonly dataCentre: string;
};

/** HTTP status of each refusal. */
const refusalStatus: Readonly<Record<RefusalReason, number>> = {
	'unknown-service': 404,
	'no-backend-server': 503,
	'queue-full': 503,
	'deadline-exceeded': 504,
	overloaded: 503,
	'backend-server-failed': 502,
	'outcome-unknown': 502,
	'key-taken': 409,
	'key-unavailable': 503,
	quarantined: 403,
	'not-ready': 503,
	stopping: 503,
};

/** Refusals after which the same call may well succeed a little later. */
const passingReasons = new Set<RefusalReason>(['no-backend-server', 'queue-full', 'overloaded', 'key-unavailable', 'not-ready', 'stopping', 'backend-server-failed']);

/** Failures that prove that nothing ran. */
const notRunFailures = new Set<AttemptFailure>(['connection-refused', 'not-sent']);

/** Events that bring knowledge and belong to no call. */
type KnowledgeEvent = Extract<CallEvent, {type: 'configured' | 'shares' | 'cut-off' | 'peer-news' | 'backend-server-leaving' | 'measured'}>;

/** Time after which a refused caller is asked to come back, before the spread. */
const shortestRetryAfter: Milliseconds = 500;

/** From this status on an answer does not say whether the call ran. */
const firstServerError = 500;

/** Most attempts of one call, whatever the budget says: three backend servers that fail it are no accident. */
const mostAttempts = 3;

/** The engine. */
export class DefaultCallEngine implements CallEngine {
	private readonly _random: RandomSource;
	private readonly _calls = new Map<CallId, Call>();
	private readonly _attempts = new Map<AttemptId, Attempt>();
	private readonly _deadlines = new TimerQueue<Call>();
	private readonly _servers = new Map<BackendServerIdentity, BackendServerState>();
	private readonly _serversOfService = new Map<string, BackendServerState[]>();
	private readonly _retryBudgets = new Map<string, RetryBudget>();
	private _configuration: CallConfiguration | undefined;
	private _shares: FleetShares | undefined;
	private _isCutOff = false;
	private _nextAttemptId = 1;
	private _effects: CallEffect[] = [];

	constructor(options: {readonly random: RandomSource; readonly settings: CallEngineSettings}) {
		this._random = options.random;
	}

	handle(event: CallEvent, now: Instant): readonly CallEffect[] {
		this._effects = [];
		this._dispatch(event, now);
		return this._effects;
	}

	nextWakeUp(): Instant | undefined {
		return this._deadlines.earliest;
	}

	status(now: Instant): CallEngineStatus {
		return {
			configurationVersion: this._configuration?.version ?? 0,
			callsInFlight: this._calls.size,
			callsQueued: 0,
			backendServers: Array.from(this._servers.values(), server => this._serverStatus(server, now)),
			quarantined: [],
		};
	}

	private _dispatch(event: CallEvent, now: Instant): void {
		switch (event.type) {
			case 'call-arrived': {
				this._arrive(event.request, now);
				break;
			}

			case 'caller-gone': {
				this._callerGone(event.callId, now);
				break;
			}

			case 'key-claimed': {
				this._keyClaimed(event.callId, event.claim, now);
				break;
			}

			case 'tick': {
				this._tick(now);
				break;
			}

			case 'attempt-sent':
			case 'attempt-head':
			case 'attempt-done':
			case 'attempt-failed': {
				this._attemptEvent(event, now);
				break;
			}

			case 'configured':
			case 'shares':
			case 'cut-off':
			case 'peer-news':
			case 'backend-server-leaving':
			case 'measured': {
				this._learn(event, now);
				break;
			}
		}
	}

	/** Takes in what is declared and what is known of backend servers. */
	private _learn(event: KnowledgeEvent, now: Instant): void {
		switch (event.type) {
			case 'configured': {
				this._configure(event.configuration);
				break;
			}

			case 'shares': {
				this._shares = event.shares;
				break;
			}

			case 'cut-off': {
				this._isCutOff = event.isCutOff;
				break;
			}

			case 'peer-news': {
				this._takeNews(event.news, now);
				break;
			}

			case 'backend-server-leaving': {
				this._servers.get(event.identity)?.takeLeaving(event.instance);
				break;
			}

			case 'measured': {
				break;
			}
		}
	}

	private _attemptEvent(event: Extract<CallEvent, {attemptId: AttemptId}>, now: Instant): void {
		// Late news of an attempt that was given up finds nothing here and changes nothing.
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
				this._head(attempt, event, now);
				break;
			}

			case 'attempt-done': {
				this._drop(attempt);
				this._end(attempt.call, attempt.call.answerOutcome, undefined, now);
				break;
			}

			case 'attempt-failed': {
				this._failed(attempt, event, now);
				break;
			}
		}
	}

	private _arrive(request: CallRequest, now: Instant): void {
		const service = this._configuration?.services.get(request.service);
		if (service === undefined) {
			this._refuseUnknown(request, this._configuration === undefined ? 'not-ready' : 'unknown-service');
			return;
		}

		const call = newCall(request, service, now);
		this._calls.set(request.callId, call);
		this._deadlines.add(call.deadline, call);
		// Old configuration may send an order to a backend server that is no longer the service's.
		if (this._isCutOff && !call.isIdempotent) {
			this._refuse(call, 'not-ready', 'not-run', now);
			return;
		}

		this._retryBudget(service).deposit(service.retryShare);
		if (service.claimsIdempotencyKeys && request.idempotencyKey !== undefined) {
			call.state = 'claiming';
			this._effects.push({
				type: 'claim-key', callId: request.callId, service: service.name, key: request.idempotencyKey,
			});
			return;
		}

		this._start(call, now);
	}

	/** A call of no known service has no record: it is answered and counted at once. */
	private _refuseUnknown(request: CallRequest, reason: RefusalReason): void {
		this._effects.push({
			type: 'refuse',
			callId: request.callId,
			status: refusalStatus[reason],
			reason,
			outcome: 'not-run',
			retryAfterMilliseconds: this._retryAfter(reason),
		}, {
			type: 'call-ended',
			callId: request.callId,
			summary: {
				service: request.service, outcome: 'not-run', reason, attempts: 0, milliseconds: 0, queuedMilliseconds: 0, isGood: false,
			},
		});
	}

	private _keyClaimed(callId: CallId, claim: KeyClaim, now: Instant): void {
		const call = this._calls.get(callId);
		if (call?.state !== 'claiming') {
			return;
		}

		if (claim.type === 'granted') {
			this._start(call, now);
			return;
		}

		// The key names the operation, not this sending of it: an earlier sending may have run.
		this._refuse(call, claim.type === 'taken' ? 'key-taken' : 'key-unavailable', 'unknown', now);
	}

	private _start(call: Call, now: Instant): void {
		const server = this._place(call);
		if (server === undefined) {
			this._refuse(call, call.attemptCount === 0 ? 'no-backend-server' : 'backend-server-failed', this._outcomeSoFar(call), now);
			return;
		}

		const attempt: Attempt = {
			id: this._nextAttemptId++, call, server, startedAt: now, isSent: false, hasHead: false,
		};
		call.state = 'running';
		call.attemptCount++;
		call.firstStartedAt ??= now;
		call.attempts.add(attempt);
		this._attempts.set(attempt.id, attempt);
		server.inFlight++;
		this._effects.push({
			type: 'start-attempt',
			callId: call.request.callId,
			attemptId: attempt.id,
			identity: server.identity,
			address: server.declared.address,
			port: server.declared.port,
			timeoutMilliseconds: Math.max(1, call.deadline - now),
			needsFreshConnection: false,
			connectionLimit: this._connectionLimit(server.declared),
			resume: undefined,
		});
	}

	/** The less busy of two drawn at random: many VMs that all chose the least busy would all choose the same. */
	private _place(call: Call): BackendServerState | undefined {
		const candidates = (this._serversOfService.get(call.service.name) ?? []).filter(server => !server.isLeaving && !call.failedOn.has(server));
		const first = candidates[Math.floor(this._random.next() * candidates.length)];
		const second = candidates[Math.floor(this._random.next() * candidates.length)];
		return first !== undefined && second !== undefined && second.inFlight < first.inFlight ? second : first;
	}

	private _head(attempt: Attempt, event: Extract<CallEvent, {type: 'attempt-head'}>, now: Instant): void {
		attempt.isSent = true;
		if (event.report !== undefined) {
			attempt.server.takeReport(event.report, now);
		}

		const {call} = attempt;
		if (event.isDeclaredNotRun) {
			this._effects.push({type: 'cancel-attempt', attemptId: attempt.id});
			this._drop(attempt);
			call.failedOn.add(attempt.server);
			this._retryOrRefuse(call, event.isReplayable ?? isBodiless(call.request), 'overloaded', now);
			return;
		}

		attempt.hasHead = true;
		call.hasRun = true;
		call.state = 'answering';
		call.answerOutcome = event.status < firstServerError ? 'ran' : 'unknown';
		this._effects.push({
			type: 'pass-on', callId: call.request.callId, attemptId: attempt.id, outcome: call.answerOutcome,
		});
	}

	private _failed(attempt: Attempt, event: Extract<CallEvent, {type: 'attempt-failed'}>, now: Instant): void {
		const {call} = attempt;
		this._drop(attempt);
		call.failedOn.add(attempt.server);
		if (attempt.hasHead) {
			this._effects.push({type: 'break-off', callId: call.request.callId});
			this._end(call, 'ran', 'backend-server-failed', now);
			return;
		}

		call.mayHaveRun ||= !notRunFailures.has(event.failure);
		this._retryOrRefuse(call, event.isReplayable, call.mayHaveRun ? 'outcome-unknown' : 'backend-server-failed', now);
	}

	/** A second attempt only for what is idempotent or proven not to have run, and within the budget. */
	private _retryOrRefuse(call: Call, isReplayable: boolean, reason: RefusalReason, now: Instant): void {
		const isSafe = call.isIdempotent || !call.mayHaveRun;
		const isWanted = isSafe && isReplayable && call.request.mayRetry && call.attemptCount < mostAttempts && now < call.deadline;
		if (isWanted && this._retryBudget(call.service).tryTake()) {
			this._start(call, now);
			return;
		}

		this._refuse(call, reason, this._outcomeSoFar(call), now);
	}

	private _callerGone(callId: CallId, now: Instant): void {
		const call = this._calls.get(callId);
		if (call === undefined) {
			return;
		}

		this._cancelAttempts(call);
		this._end(call, this._outcomeSoFar(call), undefined, now);
	}

	private _tick(now: Instant): void {
		for (let call = this._deadlines.takeDue(now); call !== undefined; call = this._deadlines.takeDue(now)) {
			// An answer that is being passed on is never cut by jaydale.
			if (call.state === 'ended' || call.state === 'answering') {
				continue;
			}

			this._cancelAttempts(call);
			this._refuse(call, 'deadline-exceeded', this._outcomeSoFar(call), now);
		}
	}

	private _cancelAttempts(call: Call): void {
		for (const attempt of call.attempts) {
			this._effects.push({type: 'cancel-attempt', attemptId: attempt.id});
			call.mayHaveRun ||= attempt.isSent;
			this._drop(attempt);
		}
	}

	private _drop(attempt: Attempt): void {
		this._attempts.delete(attempt.id);
		attempt.call.attempts.delete(attempt);
		attempt.server.inFlight--;
	}

	private _outcomeSoFar(call: Call): CallOutcome {
		if (call.hasRun) {
			return 'ran';
		}

		return call.mayHaveRun ? 'unknown' : 'not-run';
	}

	private _refuse(call: Call, reason: RefusalReason, outcome: CallOutcome, now: Instant): void {
		this._effects.push({
			type: 'refuse', callId: call.request.callId, status: refusalStatus[reason], reason, outcome, retryAfterMilliseconds: this._retryAfter(reason),
		});
		this._end(call, outcome, reason, now);
	}

	private _end(call: Call, outcome: CallOutcome, reason: RefusalReason | undefined, now: Instant): void {
		call.state = 'ended';
		this._calls.delete(call.request.callId);
		const milliseconds = now - call.arrivedAt;
		this._effects.push({
			type: 'call-ended',
			callId: call.request.callId,
			summary: {
				service: call.service.name,
				outcome,
				reason,
				attempts: call.attemptCount,
				milliseconds,
				queuedMilliseconds: (call.firstStartedAt ?? now) - call.arrivedAt,
				isGood: outcome === 'ran' && reason === undefined && milliseconds <= call.service.objective.latencyMilliseconds,
			},
		});
	}

	/** Spread over twice the time, so that callers refused together do not come back together. */
	private _retryAfter(reason: RefusalReason): Milliseconds | undefined {
		return passingReasons.has(reason) ? shortestRetryAfter * (1 + this._random.next()) : undefined;
	}

	/** At least one, else a small part of a small limit would leave the backend server without calls. */
	private _connectionLimit(server: BackendServer): number {
		return Math.max(1, Math.floor((this._shares?.connectionPart ?? 0) * server.connectionLimit));
	}

	private _retryBudget(service: Service): RetryBudget {
		let budget = this._retryBudgets.get(service.name);
		if (budget === undefined) {
			budget = new RetryBudget();
			this._retryBudgets.set(service.name, budget);
		}

		return budget;
	}

	private _configure(configuration: CallConfiguration): void {
		// An older version never replaces a newer one, whoever brings it.
		if (this._configuration !== undefined && configuration.version < this._configuration.version) {
			return;
		}

		this._configuration = configuration;
		this._serversOfService.clear();
		for (const [identity, declared] of configuration.backendServers) {
			const server = this._servers.get(identity) ?? new BackendServerState(identity, declared);
			server.declared = declared;
			this._servers.set(identity, server);
			const ofService = this._serversOfService.get(declared.service) ?? [];
			ofService.push(server);
			this._serversOfService.set(declared.service, ofService);
		}

		for (const identity of this._servers.keys()) {
			if (!configuration.backendServers.has(identity)) {
				this._servers.delete(identity);
			}
		}
	}

	private _takeNews(newsList: readonly LoadNews[], now: Instant): void {
		for (const news of newsList) {
			if (news.report !== undefined) {
				this._servers.get(news.identity)?.takeReport(news.report, now - news.ageMilliseconds);
			}
		}
	}

	private _serverStatus(server: BackendServerState, now: Instant): BackendServerStatus {
		return {
			identity: server.identity,
			name: server.declared.name,
			service: server.declared.service,
			state: server.isLeaving ? 'leaving' : 'active',
			inFlight: server.inFlight,
			reportedInFlight: server.report?.inFlight,
			reportAgeMilliseconds: server.report === undefined ? undefined : now - server.reportedAt,
			measuringSpent: 0,
			measuringAllowed: 0,
		};
	}
}

function isBodiless(request: CallRequest): boolean {
	return request.method === 'GET' || request.method === 'HEAD' || request.bodyBytes === 0;
}
