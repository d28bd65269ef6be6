/**
 * Events of the history that the oracle checks, as recorded by an observer outside the product with a single
 * clock. No type is imported from the product, so that a mistake in its types cannot hide a violation.
 */

/** Milliseconds on the observer's clock. */
export type ObserverTime = number;

/** Outcome that the answer to a call reports: whether a backend server ran the call. */
export type ReportedOutcome = 'ran' | 'not-run' | 'unknown';

/** Calls that callers sent, and the ends that they observed. */
export type CallerEvent
	= | {
		readonly type: 'call-sent';
		readonly at: ObserverTime;
		readonly call: string;
		readonly vm: string;
		readonly isIdempotent: boolean;
		/** Service name and idempotency key, if the service claims keys. All calls with the same value together run at most once. */
		readonly key?: string;
		/** Latest time at which the call must have ended. */
		readonly dueAt: ObserverTime;
	}
	/** A complete answer. `outcome` is taken from its head. The body of a refusal was not made by a run. */
	| {
		readonly type: 'answer-whole';
		readonly at: ObserverTime;
		readonly call: string;
		readonly body: string;
		readonly outcome: ReportedOutcome | undefined;
		readonly isRefusal: boolean;
	}
	/** The caller received no answer, or detected that the answer is incomplete. */
	| {readonly type: 'answer-broken'; readonly at: ObserverTime; readonly call: string}
	| {readonly type: 'caller-gone'; readonly at: ObserverTime; readonly call: string};

/** Events at backend servers. `backendServer` is the identity of one declaration. */
export type BackendServerEvent
	= | {
		readonly type: 'run-began';
		readonly at: ObserverTime;
		readonly run: string;
		readonly call: string;
		readonly backendServer: string;
		/** Time at which the VM sent the call, if it can be observed. A frozen backend server reads the call later. */
		readonly dispatchedAt?: ObserverTime;
	}
	/** The complete body that this run produces, also if the request resumes the download and only its rest is sent. */
	| {readonly type: 'answer-made'; readonly at: ObserverTime; readonly run: string; readonly call: string; readonly body: string}
	| {readonly type: 'measured'; readonly at: ObserverTime; readonly backendServer: string}
	/** The load probe budget in force from now on: at most `calls` load probes in any window of this length. */
	| {
		readonly type: 'budget';
		readonly at: ObserverTime;
		readonly backendServer: string;
		readonly calls: number;
		readonly windowMilliseconds: number;
	}
	/** The first sign of leaving that any VM could observe. */
	| {readonly type: 'leaving-began'; readonly at: ObserverTime; readonly backendServer: string}
	/** The backend server is available again: a new process runs, or an operator withdrew the order to leave. */
	| {readonly type: 'leaving-ended'; readonly at: ObserverTime; readonly backendServer: string};

/** Answers that operators received. `change` is the operation identity of one request. */
export type OperatorEvent
	= | {
		readonly type: 'change-accepted';
		readonly at: ObserverTime;
		readonly change: string;
		readonly version: number;
		/** The resource version that the operator expected, if any. Only one change can replace it. */
		readonly replaces?: string;
	}
	| {readonly type: 'change-refused'; readonly at: ObserverTime; readonly change: string};

/** Configuration and lifecycle of a VM. `content` is the whole configuration in force as canonical text. */
export type VmEvent
	= | {
		readonly type: 'vm-acts-on';
		readonly at: ObserverTime;
		readonly vm: string;
		readonly version: number;
		readonly content: string;
	}
	/** The change history of a VM attributes the version to this change. */
	| {readonly type: 'version-seen'; readonly at: ObserverTime; readonly vm: string; readonly version: number; readonly change: string}
	| {readonly type: 'vm-serves'; readonly at: ObserverTime; readonly vm: string}
	| {readonly type: 'vm-ended'; readonly at: ObserverTime; readonly vm: string};

/** Planned stops, and unplanned faults. `party` is a VM or a backend server. */
export type DisturbanceEvent
	= | {readonly type: 'planned-stop-began'; readonly at: ObserverTime; readonly party: string}
		| {readonly type: 'fault-began'; readonly at: ObserverTime; readonly party: string; readonly fault: string}
		| {readonly type: 'fault-ended'; readonly at: ObserverTime; readonly party: string; readonly fault: string};

export type HistoryEvent = CallerEvent | BackendServerEvent | OperatorEvent | VmEvent | DisturbanceEvent;

/** The seven guarantees of the product. */
export type GuaranteeName
	= | 'measuring-budget'
		| 'whole-answer'
		| 'not-run'
		| 'at-most-once'
		| 'leaving'
		| 'graceful-stop'
		| 'configuration';

/** One violated guarantee. */
export type Violation = {
	readonly guarantee: GuaranteeName;
	readonly at: ObserverTime;
	readonly message: string;
};

/** Time limits of the guarantees that hold "within a few seconds" or "at once". */
export type OracleLimits = {
	/** From the first sign of leaving until no VM may send new calls to the backend server. */
	readonly leavingMilliseconds: number;
	/** From the acceptance of a change, or from the end of a fault of the VM, until the change is in force on the VM. */
	readonly inForceMilliseconds: number;
	/** How long after `dueAt` a call may end. */
	readonly answerSlackMilliseconds: number;
};

export const defaultLimits: OracleLimits = {leavingMilliseconds: 5000, inForceMilliseconds: 5000, answerSlackMilliseconds: 1000};
