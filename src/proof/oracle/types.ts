/**
 * The history that the oracle judges: what an observer outside the product saw, in the order of one
 * true clock. Nothing here comes from the product's own types, so a mistake in those can't hide one.
 */

/** Milliseconds on the observer's clock. */
export type ObserverTime = number;

/** What the product told a caller about the run of its call. */
export type ToldOutcome = 'ran' | 'not-run' | 'unknown';

/** What callers did and saw. */
export type CallerEvent
	= | {
		readonly type: 'call-sent';
		readonly at: ObserverTime;
		readonly call: string;
		readonly vm: string;
		readonly isIdempotent: boolean;
		/** Service and key together, where the service claims keys: all calls with it run at most once. */
		readonly key?: string;
		/** When its final answer is due at the latest. */
		readonly due: ObserverTime;
	}
	/** An answer with a clean end. `outcome` is what its head says; a refusal has no run behind its body. */
	| {
		readonly type: 'answer-whole';
		readonly at: ObserverTime;
		readonly call: string;
		readonly body: string;
		readonly outcome: ToldOutcome | undefined;
		readonly isRefusal: boolean;
	}
	/** The caller could tell that its answer is not whole, or got none. */
	| {readonly type: 'answer-broken'; readonly at: ObserverTime; readonly call: string}
	| {readonly type: 'caller-gone'; readonly at: ObserverTime; readonly call: string};

/** What backend servers did. `backendServer` names one declared identity. */
export type BackendServerEvent
	= | {
		readonly type: 'run-began';
		readonly at: ObserverTime;
		readonly run: string;
		readonly call: string;
		readonly backendServer: string;
		/** When the call was handed over, where that can be seen: a frozen backend server reads it later. */
		readonly givenAt?: ObserverTime;
	}
	/** The whole body that this run would give, also where only its end was asked for. */
	| {readonly type: 'answer-made'; readonly at: ObserverTime; readonly run: string; readonly call: string; readonly body: string}
	| {readonly type: 'measured'; readonly at: ObserverTime; readonly backendServer: string}
	/** The agreed budget: so many measuring calls in any window of this length. */
	| {
		readonly type: 'budget';
		readonly at: ObserverTime;
		readonly backendServer: string;
		readonly calls: number;
		readonly windowMilliseconds: number;
	}
	/** The first sign of leaving that any VM could see. */
	| {readonly type: 'leaving-began'; readonly at: ObserverTime; readonly backendServer: string}
	/** It is back: a new process, or the operator's order was taken back. */
	| {readonly type: 'leaving-ended'; readonly at: ObserverTime; readonly backendServer: string};

/** What operators were told. A change is one request of an operator, known by its identity. */
export type OperatorEvent
	= | {
		readonly type: 'change-accepted';
		readonly at: ObserverTime;
		readonly change: string;
		readonly version: number;
		/** What it was made on top of, where its operator said so: only one change can replace that. */
		readonly replaces?: string;
	}
	| {readonly type: 'change-refused'; readonly at: ObserverTime; readonly change: string};

/** What a VM acts on. `content` is everything in force, in one canonical text. */
export type VmEvent
	= | {
		readonly type: 'vm-acts-on';
		readonly at: ObserverTime;
		readonly vm: string;
		readonly version: number;
		readonly content: string;
	}
	/** A VM shows in its history that a version was made by this change. */
	| {readonly type: 'version-seen'; readonly at: ObserverTime; readonly vm: string; readonly version: number; readonly change: string}
	| {readonly type: 'vm-serves'; readonly at: ObserverTime; readonly vm: string}
	| {readonly type: 'vm-ended'; readonly at: ObserverTime; readonly vm: string};

/** Stops that were planned, and faults that were not. `party` is a VM or a backend server. */
export type DisturbanceEvent
	= | {readonly type: 'planned-stop-began'; readonly at: ObserverTime; readonly party: string}
		| {readonly type: 'fault-began'; readonly at: ObserverTime; readonly party: string; readonly fault: string}
		| {readonly type: 'fault-ended'; readonly at: ObserverTime; readonly party: string; readonly fault: string};

export type HistoryEvent = CallerEvent | BackendServerEvent | OperatorEvent | VmEvent | DisturbanceEvent;

/** The seven promises. */
export type PromiseName
	= | 'measuring-budget'
		| 'whole-answer'
		| 'not-run'
		| 'at-most-once'
		| 'leaving'
		| 'graceful-stop'
		| 'configuration';

/** One broken promise. */
export type Violation = {
	readonly promise: PromiseName;
	readonly at: ObserverTime;
	readonly message: string;
};

/** How long the promises' "a few seconds" and "at once" are. */
export type OracleLimits = {
	/** From the first sign of leaving until no new work may begin. */
	readonly leavingMilliseconds: number;
	/** From acceptance, or from the end of a fault of the VM, until a change is in force there. */
	readonly inForceMilliseconds: number;
	/** How much later than due a final answer may come. */
	readonly answerSlackMilliseconds: number;
};

export const usualLimits: OracleLimits = {leavingMilliseconds: 5000, inForceMilliseconds: 5000, answerSlackMilliseconds: 1000};
