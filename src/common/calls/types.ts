/**
 * The contract of the call engine: events in, effects out. The engine decides; an adapter with
 * sockets (src/node) or a test without any carries the effects out and reports what happened.
 */
import {type BackendServer, type Service, type SharingRule} from '../model/resources.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type Routing} from '../routing/types.ts';
import {type CallSummary} from './call-summary.ts';

export type {
	AttemptRecord, CallSummary, PlacingChoice, PlacingGrounds,
} from './call-summary.ts';

/** Names one call on one VM; never used again by this process. */
export type CallId = number;

/** Names one attempt to run a call; late events of a given-up attempt are told apart by it. */
export type AttemptId = number;

/** Names one measuring call. */
export type MeasurementId = number;

/** Identity of a backend server resource: new when it is deleted and declared again. */
export type BackendServerIdentity = string;

/** What is known of whether a call ran. Told to the caller in the `jaydale-outcome` header. */
export type CallOutcome = 'ran' | 'not-run' | 'unknown';

/** A backend server's own word about its load, on an answer or from its load endpoint. */
export type LoadReport = {
	/** Calls running when the report was made. */
	readonly inFlight: number;
	/** Calls accepted and waiting there. */
	readonly queued: number;
	/** Calls it can run at once. */
	readonly slots: number;
	/** Process identity of the backend server, where it gives one: a restart makes a new one. */
	readonly instance: string | undefined;
	/** True once it has begun to leave. */
	readonly isLeaving: boolean;
	/** How long work takes on its VM at the moment, against the usual (1 = as usual); undefined where it does not say. */
	readonly workTimeFactor?: number;
	/** How much longer it warms up, 0 = it is warm; undefined where the report does not say. */
	readonly warmUpLeftMilliseconds?: Milliseconds;
	/** The rate limit that came with a load probe's response; undefined = it names none. */
	readonly rateLimit?: RateLimitNotice;
};

/** Calls a second that a backend server takes from all VMs together, as an answer names it, until an answer names none. */
export type RateLimitNotice = number | 'unreadable';

/** What the route of a call says of it. It goes before the service's own rules. */
export type CallRule = {
	/** Name of the route: what its calls cost is learnt by it. */
	readonly route: string;
	/** The call may run more than once. */
	readonly isIdempotent: boolean;
	/** Longest that its caller is kept waiting. */
	readonly timeoutMilliseconds: Milliseconds;
	/** Time within which its answer is worth most. */
	readonly objectiveMilliseconds: Milliseconds;
	/** Most backend servers that the call may be sent to. */
	readonly mostAttempts: number;
	/** Rank among the calls of a service; 0 = most urgent. */
	readonly priority: number;
};

/** A call as it arrived. */
export type CallRequest = {
	readonly callId: CallId;
	readonly service: string;
	/** Who calls, for fairness: the caller's declared name, else its address. */
	readonly caller: string;
	readonly method: string;
	/** Path of the call on the backend server, without its query: calls of one pattern cost alike. */
	readonly path?: string;
	/** Digest of method, path and the body's start: the same call sent again has the same one. */
	readonly fingerprint: string;
	/** Time left as its caller said; undefined = the service's own limit. Remaining time, never wall-clock. */
	readonly timeoutMilliseconds: Milliseconds | undefined;
	/** Size of the body where its head says so. */
	readonly bodyBytes: number | undefined;
	readonly idempotencyKey: string | undefined;
	/** False when a level above has kept retrying for itself: only one level may multiply calls. */
	readonly mayRetry: boolean;
	/** Rules of the route by which it came; undefined = the service's. */
	readonly rule?: CallRule;
};

/** Why an attempt ended without a whole answer. */
export type AttemptFailure
	/** No connection: refused or unreachable. Proof that nothing ran. */
	= | 'connection-refused'
	/** No byte of the call had left. Proof that nothing ran. */
		| 'not-sent'
	/** Cut after the first byte left and before the head of an answer: may have run. */
		| 'reset-after-sending'
	/** Cut after the head of the answer: it ran, and the answer is not whole. */
		| 'reset-during-answer'
	/** The connection was silent for longer than the attempt may take. */
		| 'silent'
	/** What came back is not the answer of this call: another call's, or one that lacks its proof. It may have run. */
		| 'wrong-answer';

/** Events that the call engine is told. */
export type CallEvent
	= | {readonly type: 'call-arrived'; readonly request: CallRequest}
	/** The caller went away or cancelled. */
		| {readonly type: 'caller-gone'; readonly callId: CallId}
	/** The first byte of the attempt has left this VM: from here it may run. */
		| {readonly type: 'attempt-sent'; readonly attemptId: AttemptId}
	/** The head of the answer has come; nothing of it has been passed on yet. */
		| {
			readonly type: 'attempt-head';
			readonly attemptId: AttemptId;
			readonly status: number;
			readonly report: LoadReport | undefined;
			/** Undefined = the answer names none. */
			readonly rateLimit?: RateLimitNotice;
			/** The backend server says in the agreed form that it did not run the call. */
			readonly isDeclaredNotRun: boolean;
			/** Strong validator of the answer (ETag without W/), for a resumed download. */
			readonly validator: string | undefined;
			/** The body is kept whole and can be sent again; without it only bodiless methods count as such. */
			readonly isReplayable?: boolean;
		}
	/** The whole answer has been passed on. */
		| {readonly type: 'attempt-done'; readonly attemptId: AttemptId; readonly bytesPassedOn?: number}
		| {
			readonly type: 'attempt-failed';
			readonly attemptId: AttemptId;
			readonly failure: AttemptFailure;
			/** The body is kept whole and can be sent again. */
			readonly isReplayable: boolean;
			/** Bytes of the answer's body passed on so far. */
			readonly bytesPassedOn: number;
		}
		| {readonly type: 'measured'; readonly measurementId: MeasurementId; readonly report: LoadReport | undefined}
		| {readonly type: 'key-claimed'; readonly callId: CallId; readonly claim: KeyClaim}
	/** Declared resources as they are now in force. */
		| {readonly type: 'configured'; readonly configuration: CallConfiguration}
	/** What this VM may spend of the fleet's budgets now. */
		| {readonly type: 'shares'; readonly shares: FleetShares}
	/** What peers have learnt. */
		| {readonly type: 'peer-updates'; readonly updates: readonly LoadUpdate[]}
	/** A backend server has begun to leave, as any VM noticed: this process of it gets no new work. */
		| {readonly type: 'backend-server-leaving'; readonly identity: BackendServerIdentity; readonly instance: string | undefined}
	/**
	 * This VM hears neither from the platform's service nor from any other VM, so its configuration may be
	 * old. While it lasts only idempotent calls are placed; others are refused as not run (`not-ready`).
	 */
		| {readonly type: 'cut-off'; readonly isCutOff: boolean}
	/** An operator lets a quarantined call run again. */
		| {readonly type: 'quarantine-lifted'; readonly fingerprint: string}
	/** Nothing new is placed while it holds: after a pause, until waiting events have been handled. */
		| {readonly type: 'placing-held'; readonly isHeld: boolean}
	/**
	 * This process ends. First, half a second ahead, what has not been sent is given up, since it cannot be answered any more;
	 * at the end (`isOver`) what was sent and has no answer yet.
	 */
		| {readonly type: 'process-ending'; readonly isOver: boolean}
	/** The time asked for by `nextWakeUp` has come. */
		| {readonly type: 'tick'};

/** Answer of the platform's service to a claim of an idempotency key. */
export type KeyClaim
	= | {readonly type: 'granted'}
	/** Another call with this key runs or ran. */
		| {readonly type: 'taken'}
	/** The service could not say: this sending does not run, but one before it under the same key may have. */
		| {readonly type: 'unavailable'};

/** A backend server as it is in force: as declared, and which process of it is meant where that is known. */
export type BackendServerInForce = BackendServer & {
	/**
	 * Unix milliseconds of the process's start by the backend server's own clock; compared only with other starts under
	 * the same identity. A later one is another process, which holds and knows nothing of the one before.
	 */
	readonly processStartedAt?: number;
	/** When its warm-up is over, as its entry said when it was read; undefined = it is warm. */
	readonly warmUntil?: Instant;
};

/** What a backend server bears while it warms up. */
export type WarmUpLimit = {
	/** Calls a second that all VMs together may send it. */
	readonly callsPerSecond: number;
	/** How long it warms up. */
	readonly milliseconds: Milliseconds;
};

/** Everything declared that calls depend on. */
export type CallConfiguration = {
	readonly version: number;
	readonly services: ReadonlyMap<string, Service>;
	readonly backendServers: ReadonlyMap<BackendServerIdentity, BackendServerInForce>;
	readonly sharingRules: readonly SharingRule[];
	/** What backend servers of a service bear while they warm up; nothing is known of services that are missing. */
	readonly warmUpLimits?: ReadonlyMap<string, WarmUpLimit>;
	/** Data centres whose backend servers get no new attempts; calls that run there finish. Undefined = none. */
	readonly evacuatedDataCentres?: ReadonlySet<string>;
	/** Routes by host and path, where the operators declare any. */
	readonly routing?: Routing;
};

/** The VMs that are known to serve, this one among them. */
export type FleetMembers = {
	/** Names this VM among them. */
	readonly own: string;
	readonly byDataCentre: ReadonlyMap<string, readonly string[]>;
};

/** The part of the fleet's budgets that this VM may spend. The sum over all VMs never exceeds them. */
export type FleetShares = {
	/**
	 * Part of every measuring budget (0 to 1) that is this VM's; 0 where it holds no valid share. Strict:
	 * it is spent only before `measuringUntil`.
	 */
	readonly measuringPart: number;
	/** Start of the right to measure: a former holder may have spent in the window before. */
	readonly measuringFrom: Instant;
	readonly measuringUntil: Instant;
	/** Part of every backend server's connections (0 to 1) that is this VM's. */
	readonly connectionPart: number;
	/** VMs believed to serve, this one included; at least 1. An estimate: no promise rests on it. */
	readonly vmCount: number;
	/** Where VMs know one another by name. */
	readonly members?: FleetMembers;
};

/** What one VM tells its peers about a backend server. */
export type LoadUpdate = {
	readonly identity: BackendServerIdentity;
	readonly report: LoadReport | undefined;
	/** Milliseconds since the report was made, at the moment of sending. */
	readonly ageMilliseconds: Milliseconds;
	/** Fingerprints of calls in flight when it crashed, if it did. */
	readonly suspects: readonly string[];
	/** Crash the suspects belong to: the same crash told twice counts once. */
	readonly crash: string | undefined;
};

/** Why a call was given up; the `type` of its problem body is `urn:jaydale:problem:` and this word. */
export type RefusalReason
	= | 'unknown-service'
		| 'no-backend-server'
		| 'queue-full'
		| 'deadline-exceeded'
		| 'overloaded'
		| 'backend-server-failed'
		| 'outcome-unknown'
		| 'key-taken'
		| 'key-unavailable'
		| 'quarantined'
		| 'not-ready'
		| 'stopping';

/** Effects that the adapter carries out, in order. */
export type CallEffect
	= | {
		readonly type: 'start-attempt';
		readonly callId: CallId;
		readonly attemptId: AttemptId;
		readonly identity: BackendServerIdentity;
		readonly address: string;
		readonly port: number;
		/** Start of the process that is meant; connections to an earlier one are not used for it. */
		readonly processStartedAt?: number | undefined;
		/** Time left for this attempt; passed on to the backend server. */
		readonly timeoutMilliseconds: Milliseconds;
		/** Do not use a kept-alive connection: one fell silent, and a new one tells whom to blame. */
		readonly needsFreshConnection: boolean;
		/** Most connections this VM may hold to the backend server. */
		readonly connectionLimit: number;
		/** Continue a broken-off download of this version from this byte. */
		readonly resume: {readonly offset: number; readonly validator: string} | undefined;
	}
	/** Stop the attempt and cancel it at the backend server. */
	| {readonly type: 'cancel-attempt'; readonly attemptId: AttemptId}
	/** Pass the attempt's answer on to the caller, from its head. */
	| {
		readonly type: 'pass-on';
		readonly callId: CallId;
		readonly attemptId: AttemptId;
		/** For the `jaydale-outcome` header: a bare 5xx does not say whether the call ran. */
		readonly outcome: CallOutcome;
	}
	/** Break the half-passed-on answer off so that its caller can tell. */
	| {readonly type: 'break-off'; readonly callId: CallId}
	/** The final answer of a call that jaydale gave up on; sent at once. */
	| {
		readonly type: 'refuse';
		readonly callId: CallId;
		readonly status: number;
		readonly reason: RefusalReason;
		readonly outcome: CallOutcome;
		/** When to come back; undefined = coming back does not help. */
		readonly retryAfterMilliseconds: Milliseconds | undefined;
	}
	| {
		readonly type: 'measure';
		readonly measurementId: MeasurementId;
		readonly service: string;
		/** Path of the load endpoint. */
		readonly path: string;
		readonly identity: BackendServerIdentity;
		readonly address: string;
		readonly port: number;
		/** Start of the process that is meant. */
		readonly processStartedAt?: number | undefined;
		readonly timeoutMilliseconds: Milliseconds;
	}
	| {readonly type: 'claim-key'; readonly callId: CallId; readonly service: string; readonly key: string}
	/** The call did not run after its key was claimed: the key is free for the caller's next sending. */
	| {readonly type: 'release-key'; readonly service: string; readonly key: string}
	/** Worth telling peers soon. */
	| {readonly type: 'tell-peers'; readonly update: LoadUpdate}
	/** A backend server names a rate limit from now on, another one, or none, or one that cannot be read. */
	| {
		readonly type: 'rate-limit-changed';
		readonly identity: BackendServerIdentity;
		readonly service: string;
		readonly rateLimit: RateLimitNotice | undefined;
		readonly source: 'answer' | 'load-probe';
		/** Backend servers that name a rate limit now, as far as this VM knows. */
		readonly limitedServers: number;
	}
	/** One call has ended, for metrics, burn and logs. */
	| {readonly type: 'call-ended'; readonly callId: CallId; readonly summary: CallSummary};

/** The decider of all calls on one VM. No I/O, no clock, no chance of its own. */
export type CallEngine = {
	/** Takes an event at `now` and returns what is to be done, in order. */
	handle(event: CallEvent, now: Instant): readonly CallEffect[];
	/** When the engine wants a `tick`; undefined = not before another event. */
	nextWakeUp(): Instant | undefined;
	/** Calls counted now; made for reading several times a second, its cost grows with services only. */
	load(): CallLoad;
	/** What is known and counted, for status pages: its cost grows with backend servers. */
	status(now: Instant): CallEngineStatus;
};

/** Calls that have not ended. */
export type CallLoad = {
	readonly callsInFlight: number;
	readonly callsQueued: number;
	/** Calls in flight of each service that has any. */
	readonly inFlightOfServices: ReadonlyMap<string, number>;
};

/** A page of what the engine knows. */
export type CallEngineStatus = {
	readonly configurationVersion: number;
	readonly callsInFlight: number;
	readonly callsQueued: number;
	readonly backendServers: readonly BackendServerStatus[];
	readonly quarantined: ReadonlyArray<{readonly fingerprint: string; readonly crashes: number; readonly remainingMilliseconds: Milliseconds}>;
};

/** What the engine knows of one backend server. */
export type BackendServerStatus = {
	readonly identity: BackendServerIdentity;
	readonly name: string;
	readonly service: string;
	readonly state: 'warming' | 'active' | 'ejected' | 'leaving';
	readonly inFlight: number;
	readonly reportedInFlight: number | undefined;
	readonly reportAgeMilliseconds: Milliseconds | undefined;
	/** Measuring calls made by this VM in the present window, and its allowance for the window. */
	readonly measuringSpent: number;
	readonly measuringAllowed: number;
};
