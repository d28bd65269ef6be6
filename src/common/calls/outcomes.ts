/** How calls and attempts end, and what is learnt from crashes of backend servers. */

/** Lowest HTTP status of an error; client errors are included. */
export const minErrorStatus = 400;

/** Status of the errors of a backend server, or a higher one. Such an answer does not show whether the call ran. */
export const minServerErrorStatus = 500;

/** Whether a call ran on a backend server, as far as the VM can determine. Sent to the caller in the `jaydale-outcome` header. */
export type CallOutcome = 'ran' | 'not-run' | 'unknown';

/** Why an attempt ended without a complete answer. */
export type AttemptFailure
	/** The backend server refused the connection. Proves that the call did not run. */
	= | 'connection-refused'
	/** No connection was established in time. Proves that the call did not run, but not that the backend server has ended. */
		| 'unreachable'
	/** No byte of the call was sent. Proves that the call did not run. */
		| 'not-sent'
	/** The connection broke after the first byte was sent and before the head of the answer. The call may have run. */
		| 'reset-after-sending'
	/** The connection broke after the head of the answer. The call ran; its answer is truncated. */
		| 'reset-during-answer'
	/** The VM through which the connection was to go has no link either, or cannot be reached. Proves that the call did not run. */
		| 'no-relay'
	/** Nothing arrived on the connection within the time limit of the attempt. */
		| 'silent'
	/** The answer was still incomplete at the time limit of its call, although its bytes kept arriving. The call ran. */
		| 'late'
	/** The response belongs to another call, lacks the proof that it belongs to this one, or is none in HTTP. The call may have run. */
		| 'wrong-answer';

/** Why a call was refused. The `type` of the problem body is `urn:jaydale:problem:` followed by this reason. */
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
		| 'suspected'
		| 'not-ready'
		| 'stopping'
	/** The call carries no key of an organisation. */
		| 'unauthorized'
	/** The rate limit of the call's organisation is used up. */
		| 'over-limit'
	/** No holder of the organisation's rate limit can be reached. */
		| 'limits-unavailable';

/**
 * Signs that prove the end of a backend server's process. Not among them: a reset connection, even if all connections are
 * reset, since the network can do that; a connection that times out; and a broken or missing answer.
 */
export type ProcessEndSign = 'connection-refused' | 'load-probe-refused' | 'process-replaced' | 'entry-removed';

/** A change of what this VM knows of calls that crash backend servers, for logs and metrics. */
export type PoisonRequestChange
	/** The process of a backend server has ended while calls were in flight there. `suspects` = those seen by this VM. */
	= | {readonly kind: 'crash'; readonly crash: string; readonly suspects: readonly string[]; readonly sign: ProcessEndSign | 'peer'}
	/** A call is refused from now on, since `crashes` processes have ended while it was in flight. */
		| {readonly kind: 'quarantined'; readonly fingerprint: string; readonly crashes: number}
	/**
	 * A call under suspicion is not at fault: it was answered, here or through another VM, an operator has lifted its
	 * quarantine, or later evidence points to another call.
	 */
		| {readonly kind: 'cleared'; readonly fingerprint: string; readonly crashes: number; readonly wasQuarantined: boolean; readonly cause: 'answer' | 'peer' | 'operator' | 'evidence'};
