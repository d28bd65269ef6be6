/**
 * The interface of the call engine: it takes events and returns effects. An adapter with sockets (src/node),
 * or a test without sockets, executes the effects and reports the results as events.
 */
import {
	type LinkChange, type LinkCheck, type LinkCheckId, type LinkCheckResult, type Relay, type RelayAddress,
} from '../links/types.ts';
import {type ServerTokenRequest, type ServerTokensEffect} from '../limits/types.ts';
import {type BackendServer, type Service, type SharingRule} from '../model/resources.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type KeyOwners, type OrganisationInForce} from '../organisations/types.ts';
import {type Routing} from '../routing/types.ts';
import {type ServiceDemand} from './admission/capacity-sharing.ts';
import {type CallSummary} from './call-summary.ts';
import {type LoadUpdate} from './peer-updates.ts';
import {type CallEngineStatus, type CallLoad} from './engine-status.ts';
import {
	type AttemptFailure, type CallOutcome, type PoisonRequestChange, type RefusalReason,
} from './outcomes.ts';

export type {
	AttemptFailure, CallOutcome, PoisonRequestChange, ProcessEndSign, RefusalReason,
} from './outcomes.ts';
export type {LoadUpdate, RateLimitAdvertisement} from './peer-updates.ts';
export type {BackendServerStatus, CallEngineStatus, CallLoad} from './engine-status.ts';
export type {
	AttemptRecord, CallSummary, PlacingChoice, PlacingGrounds,
} from './call-summary.ts';

/** Identifies one call on one VM; the process never reuses an id. */
export type CallId = number;

/** Identifies one attempt to run a call. Late events of a cancelled attempt are recognised by this id. */
export type AttemptId = number;

/** Identifies one load probe. */
export type LoadProbeId = number;

/** Identity of a backend server resource. A resource that is deleted and declared again gets a new one. */
export type BackendServerIdentity = string;

/** Load that a backend server reports, either in the headers of an answer or at its load endpoint. */
export type LoadReport = {
	/** Number of calls running when the report was made. */
	readonly inFlight: number;
	/** Number of calls in the backend server's queue. */
	readonly queued: number;
	/** Number of calls that it can run at once. */
	readonly slots: number;
	/** Identity of the backend server's process, which changes at a restart; undefined if the report has none. */
	readonly instance: string | undefined;
	/** True once the backend server has begun to leave, that is, to drain before it stops. */
	readonly isLeaving: boolean;
	/** Present duration of work on its VM as a multiple of the usual duration (1 = usual); undefined if not reported. */
	readonly workTimeFactor?: number;
	/** Remaining warm-up time, 0 once it is warm; undefined if not reported. */
	readonly warmUpLeftMilliseconds?: Milliseconds;
	/** Rate limit in the response to a load probe; undefined if the response has none. */
	readonly rateLimit?: RateLimitNotice;
};

/** Calls per second that a backend server accepts from all VMs together. A limit applies until a later answer has none. */
export type RateLimitNotice = number | 'unreadable';

/** What changed a rate limit that is in force on this VM; while the entry of its backend server is missing, it is kept but not in force. */
export type RateLimitSource = 'answer' | 'load-probe' | 'peer' | 'entry-removed' | 'entry-returned';

/** Rules that a route sets for its calls. They take precedence over the rules of the service. */
export type CallRule = {
	/** Name of the route. Work times are learnt separately for each route. */
	readonly route: string;
	/** True if the call may run more than once. */
	readonly isIdempotent: boolean;
	/** Maximum time until the caller has its whole answer or a refusal. */
	readonly timeoutMilliseconds: Milliseconds;
	/** Latency objective: answers within this time count as good. */
	readonly objectiveMilliseconds: Milliseconds;
	/** Maximum number of attempts, the first one included. */
	readonly attemptLimit: number;
	/** Priority among the calls of a service; 0 = most urgent. */
	readonly priority: number;
};

/** A call as received from a caller. */
export type CallRequest = {
	readonly callId: CallId;
	readonly service: string;
	/** Name that the caller declares, else its address. Used to share capacity fairly between callers. */
	readonly caller: string;
	readonly method: string;
	/** Path on the backend server, without the query. Calls whose paths match one pattern are assumed to cost the same. */
	readonly path?: string;
	/** Digest of caller, host, method, path and the start of the body, so that a repeated call has the same fingerprint. */
	readonly fingerprint: string;
	/** Remaining time that the caller sent (a duration, not a wall-clock time); undefined = the service's limit applies. */
	readonly timeoutMilliseconds: Milliseconds | undefined;
	/** Size of the body in bytes; undefined if the request head does not state it. */
	readonly bodyBytes: number | undefined;
	readonly idempotencyKey: string | undefined;
	/** False if a caller further up retries the call itself. Only one level may retry, since retries at several levels multiply. */
	readonly mayRetry: boolean;
	/** Rules of the matching route; undefined = the rules of the service apply. */
	readonly rule?: CallRule;
	/** Organisation that the caller's key identifies; undefined = none. */
	readonly organisation?: string;
	/** Priority of the organisation, which takes precedence over that of the route; 0 = most urgent; undefined = it has none. */
	readonly priority?: number;
};

/** Events that the call engine handles. */
export type CallEvent
	= | {readonly type: 'call-arrived'; readonly request: CallRequest}
	/** The caller disconnected or cancelled the call. */
		| {readonly type: 'caller-gone'; readonly callId: CallId}
	/** The first byte of the attempt was sent; from now on the call may run. */
		| {readonly type: 'attempt-sent'; readonly attemptId: AttemptId}
	/** The head of the answer arrived. Nothing has been forwarded to the caller yet. */
		| {
			readonly type: 'attempt-head';
			readonly attemptId: AttemptId;
			readonly status: number;
			readonly report: LoadReport | undefined;
			/** Rate limit in the answer; undefined if it has none. */
			readonly rateLimit?: RateLimitNotice;
			/** True if the answer has the header by which a backend server declares that it did not run the call. */
			readonly isDeclaredNotRun: boolean;
			/** Strong validator of the answer (ETag without `W/`), needed to resume a download; undefined if it has none. */
			readonly validator: string | undefined;
			/** True if the whole request body is buffered and can be sent again. Undefined = only requests without a body are replayable. */
			readonly isReplayable?: boolean;
		}
	/** The complete answer was forwarded to the caller. */
		| {readonly type: 'attempt-done'; readonly attemptId: AttemptId; readonly bytesPassedOn?: number}
		| {
			readonly type: 'attempt-failed';
			readonly attemptId: AttemptId;
			readonly failure: AttemptFailure;
			/** True if the whole request body is buffered and can be sent again. */
			readonly isReplayable: boolean;
			/** Bytes of the answer's body that were forwarded to the caller so far. */
			readonly bytesPassedOn: number;
		}
	/** A load probe has ended; without an answer `report` is undefined. `isRefused` = its connection was refused. */
		| {readonly type: 'measured'; readonly loadProbeId: LoadProbeId; readonly report: LoadReport | undefined; readonly isRefused?: boolean}
	/** A direct connection to a backend server could not be opened, and was replaced by one through another VM. */
		| {readonly type: 'link-failed'; readonly identity: BackendServerIdentity}
	/** A check of the path to a backend server has ended. `hint` = a relay that works for the one that was asked. */
		| {readonly type: 'link-checked'; readonly checkId: LinkCheckId; readonly result: LinkCheckResult; readonly hint?: RelayAddress | undefined}
		| {readonly type: 'key-claimed'; readonly callId: CallId; readonly claim: KeyClaim}
	/** A new version of the declared resources is in force. */
		| {readonly type: 'configured'; readonly configuration: CallConfiguration}
	/** This VM's shares of the fleet's budgets changed. */
		| {readonly type: 'shares'; readonly shares: FleetShares}
	/** Load reports and crash suspects from other VMs. */
		| {readonly type: 'peer-updates'; readonly updates: readonly LoadUpdate[]}
	/** Some VM detected that a backend server has begun to leave. The process named by `instance` gets no new calls. */
		| {readonly type: 'backend-server-leaving'; readonly identity: BackendServerIdentity; readonly instance: string | undefined}
	/**
	 * This VM lost or regained contact. While it is cut off, it receives nothing from the platform's service or from
	 * any other VM, so its configuration may be outdated: only idempotent calls are placed, and others are refused as
	 * not run (`not-ready`).
	 */
		| {readonly type: 'cut-off'; readonly isCutOff: boolean}
	/**
	 * Demand and capacity of services, summed over the VMs of the fleet. For a second from the time of the figures they
	 * replace the own ones. Sent only for services that are short on at least one VM.
	 */
		| {readonly type: 'demand-summary'; readonly ageMilliseconds: Milliseconds; readonly services: ReadonlyArray<ServiceDemand & {readonly service: string}>}
	/** Outcome of a `server-tokens-wanted`. */
		| ServerTokensEffect
	/** An operator lifted the quarantine of a fingerprint. */
		| {readonly type: 'quarantine-lifted'; readonly fingerprint: string}
	/** While placing is held, no new attempt is started: after a pause of the VM, until the pending events have been handled. */
		| {readonly type: 'placing-held'; readonly isHeld: boolean}
	/**
	 * This process is about to end. The event comes twice: half a second before the end, calls that were not sent are
	 * refused, since no answer to them can arrive in time; at the end (`isOver`), sent calls without an answer are refused.
	 */
		| {readonly type: 'process-ending'; readonly isOver: boolean}
	/** The time returned by `nextWakeUp` has come. */
		| {readonly type: 'tick'};

/** Response of the platform's service to a claim of an idempotency key. */
export type KeyClaim
	= | {readonly type: 'granted'}
	/** Another call with this key is running or has run. */
		| {readonly type: 'taken'}
	/** The service gave no result. This request does not run, but an earlier one with the same key may have run. */
		| {readonly type: 'unavailable'};

/** A declared backend server, with the start time of its current process where that is known. */
export type BackendServerInForce = BackendServer & {
	/**
	 * Start of the process in Unix milliseconds of the backend server's own clock; compared only with other starts under
	 * the same identity. A later start means a new process, which has none of the previous one's calls or state.
	 */
	readonly processStartedAt?: number;
	/** End of its warm-up according to its registry entry when that was read; undefined = it is warm. */
	readonly warmUntil?: Instant;
};

/** Load that a backend server can take while it warms up. */
export type WarmUpLimit = {
	/** Calls per second that all VMs together may send to it. */
	readonly callsPerSecond: number;
	/** Duration of the warm-up. */
	readonly milliseconds: Milliseconds;
};

/** All declared resources that affect calls. */
export type CallConfiguration = {
	readonly version: number;
	readonly services: ReadonlyMap<string, Service>;
	readonly backendServers: ReadonlyMap<BackendServerIdentity, BackendServerInForce>;
	readonly sharingRules: readonly SharingRule[];
	/** Warm-up limits by service name; a service without an entry has no known limit. */
	readonly warmUpLimits?: ReadonlyMap<string, WarmUpLimit>;
	/** Data centres whose backend servers get no new attempts; calls already running there finish. Undefined = none. */
	readonly evacuatedDataCentres?: ReadonlySet<string>;
	/** Organisations by name; undefined if the operators declare none, so that callers need no key. */
	readonly organisations?: ReadonlyMap<string, OrganisationInForce>;
	/** The organisations' keys; undefined if the operators declare no organisations. */
	readonly keyOwners?: KeyOwners;
	/** Routes by host and path; undefined if the operators declare none. */
	readonly routing?: Routing;
};

/** Names of the VMs that serve calls, this one included. */
export type FleetMembers = {
	/** Name of this VM. */
	readonly own: string;
	readonly byDataCentre: ReadonlyMap<string, readonly string[]>;
};

/** This VM's shares of the fleet's budgets. The shares of all VMs never add up to more than a budget. */
export type FleetShares = {
	/**
	 * This VM's fraction (0 to 1) of every load-probe budget; 0 while it holds no valid share. A strict limit:
	 * probes are sent only before `loadProbesUntil`.
	 */
	readonly loadProbeFraction: number;
	/** Earliest time for load probes; the previous holder of the share may have spent the budget of the window before. */
	readonly loadProbesFrom: Instant;
	readonly loadProbesUntil: Instant;
	/** This VM's fraction (0 to 1) of the connections to every backend server. */
	readonly connectionFraction: number;
	/** Estimated number of VMs that serve calls, this one included; at least 1. No strict limit depends on it. */
	readonly vmCount: number;
	/** Names of the VMs; undefined where the VMs have no names for one another. */
	readonly members?: FleetMembers;
	/** Other VMs that forward connections to backend servers; undefined where VMs do not. */
	readonly relays?: readonly Relay[];
};

/** Effects that the adapter executes, in order. */
export type CallEffect
	= | {
		readonly type: 'start-attempt';
		readonly callId: CallId;
		readonly attemptId: AttemptId;
		readonly identity: BackendServerIdentity;
		readonly address: string;
		readonly port: number;
		/** Start of the target process; connections to an earlier process are not reused for it. */
		readonly processStartedAt?: number | undefined;
		/** VM through which the connection goes; undefined = direct. */
		readonly via?: RelayAddress | undefined;
		/** Remaining time for this attempt; sent along to the backend server. */
		readonly timeoutMilliseconds: Milliseconds;
		/** Open a new connection instead of a kept-alive one: after silence it shows whether the connection or the server failed. */
		readonly needsFreshConnection: boolean;
		/** Maximum number of connections from this VM to the backend server. */
		readonly connectionLimit: number;
		/** Resume an interrupted download of the version with this validator from this byte. */
		readonly resume: {readonly offset: number; readonly validator: string} | undefined;
	}
	/** Stop the attempt and cancel the call at the backend server. */
	| {readonly type: 'cancel-attempt'; readonly attemptId: AttemptId}
	/** Forward the attempt's answer to the caller, starting with its head. */
	| {
		readonly type: 'pass-on';
		readonly callId: CallId;
		readonly attemptId: AttemptId;
		/** Value of the `jaydale-outcome` header, since a 5xx status alone does not show whether the call ran. */
		readonly outcome: CallOutcome;
		/** Time until the time limit of the call, negative if it has passed. */
		readonly timeLeftMilliseconds: Milliseconds;
		/**
		 * What the time limit applies to. `whole`: the answer fails if it is not complete then, unless its caller is slow and its end
		 * is foreseeable. `progress`: it fails once its backend server stops sending after the limit.
		 */
		readonly timeLimitScope: 'whole' | 'progress';
	}
	/** Abort a partly forwarded answer so that the caller detects the truncation. */
	| {readonly type: 'break-off'; readonly callId: CallId}
	/** Send jaydale's own final answer to a call that no backend server answers; sent immediately. */
	| {
		readonly type: 'refuse';
		readonly callId: CallId;
		readonly status: number;
		readonly reason: RefusalReason;
		readonly outcome: CallOutcome;
		/** Time after which the caller should retry; undefined if a retry does not help. */
		readonly retryAfterMilliseconds: Milliseconds | undefined;
	}
	/** Send a load probe. */
	| {
		readonly type: 'measure';
		readonly loadProbeId: LoadProbeId;
		readonly service: string;
		/** Path of the load endpoint. */
		readonly path: string;
		readonly identity: BackendServerIdentity;
		readonly address: string;
		readonly port: number;
		/** Start of the target process. */
		readonly processStartedAt?: number | undefined;
		/** VM through which the connection goes; undefined = direct. */
		readonly via?: RelayAddress | undefined;
		readonly timeoutMilliseconds: Milliseconds;
	}
	/** Check a path to a backend server. */
	| {readonly type: 'check-link'; readonly check: LinkCheck}
	/** The path to a backend server has changed. */
	| {readonly type: 'link-changed'; readonly change: LinkChange}
	| {readonly type: 'claim-key'; readonly callId: CallId; readonly service: string; readonly key: string}
	/** The call did not run after its key was claimed: free the key for the caller's next request. */
	| {readonly type: 'release-key'; readonly service: string; readonly key: string}
	/** Send this update to the other VMs soon. */
	| {readonly type: 'tell-peers'; readonly update: LoadUpdate}
	/**
	 * Demand and capacity of the last second as this VM has seen them, for services that are short here (`isShort`) or on
	 * other VMs; at most five times a second.
	 */
	| {readonly type: 'demand-report'; readonly services: ReadonlyArray<ServiceDemand & {readonly service: string; readonly isShort: boolean}>}
	/** The rate limit of a backend server was set, changed or removed, or became unreadable. */
	| {
		readonly type: 'rate-limit-changed';
		readonly identity: BackendServerIdentity;
		readonly service: string;
		readonly rateLimit: RateLimitNotice | undefined;
		readonly source: RateLimitSource;
		/** Status of the answer that changed it. */
		readonly status?: number;
		/** Number of backend servers with a rate limit known to this VM. */
		readonly limitedServers: number;
	}
	/** Ask the holder of a backend server's rate limit for tokens; the event `server-tokens` has its answer. */
	| {readonly type: 'server-tokens-wanted'; readonly request: ServerTokenRequest}
	/** What this VM knows of calls that crash backend servers has changed; `quarantined` = number of refused fingerprints. */
	| {readonly type: 'poison-request-changed'; readonly change: PoisonRequestChange; readonly quarantined: number}
	/** A call has ended; for metrics, the burn rate and logs. */
	| {readonly type: 'call-ended'; readonly callId: CallId; readonly summary: CallSummary};

/** Decides on all calls of one VM. It has no I/O, clock or random source of its own. */
export type CallEngine = {
	/** Handles an event at time `now` and returns the effects to execute, in order. */
	handle(event: CallEvent, now: Instant): readonly CallEffect[];
	/** Time at which the engine requires a `tick`; undefined = none before the next event. */
	nextWakeUp(): Instant | undefined;
	/** Current call counts. Cheap enough to read several times a second: the cost grows only with the number of services. */
	load(): CallLoad;
	/** State and counts for status pages. The cost grows with the number of backend servers. */
	status(now: Instant): CallEngineStatus;
};
