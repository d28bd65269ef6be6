/** What the engine keeps of a call and of its attempts while they live. */
import {type Service} from '../model/resources.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type AttemptId, type CallOutcome, type CallRequest} from './types.ts';
import {type BackendServerState} from './backend-server-state.ts';

/** Where a call stands. */
export type CallState = 'claiming' | 'queued' | 'running' | 'answering' | 'ended';

/** One attempt to run a call on one backend server. */
export type Attempt = {
	readonly id: AttemptId;
	readonly call: Call;
	readonly server: BackendServerState;
	readonly startedAt: Instant;
	/** The first byte has left: from here on it may run. */
	isSent: boolean;
	hasHead: boolean;
};

/** One call. */
export type Call = {
	readonly request: CallRequest;
	readonly service: Service;
	readonly arrivedAt: Instant;
	/** After it nobody waits for the head of an answer. */
	readonly deadline: Instant;
	readonly isIdempotent: boolean;
	state: CallState;
	/** Attempts that have neither ended nor been given up. */
	readonly attempts: Set<Attempt>;
	attemptCount: number;
	/** An attempt that is over may have run: a call that is not idempotent must not start again. */
	mayHaveRun: boolean;
	/** An answer's head has come: it ran. */
	hasRun: boolean;
	/** What the passed-on answer says of the call. */
	answerOutcome: CallOutcome;
	firstStartedAt: Instant | undefined;
	/** Backend servers that have failed this call. */
	readonly failedOn: Set<BackendServerState>;
};

/** A fresh record of a call. */
export function newCall(request: CallRequest, service: Service, now: Instant): Call {
	const timeout: Milliseconds = Math.min(request.timeoutMilliseconds ?? service.timeoutMilliseconds, service.timeoutMilliseconds);
	return {
		request,
		service,
		arrivedAt: now,
		deadline: now + timeout,
		isIdempotent: service.idempotentMethods.includes(request.method),
		state: 'queued',
		attempts: new Set(),
		attemptCount: 0,
		mayHaveRun: false,
		hasRun: false,
		answerOutcome: 'ran',
		firstStartedAt: undefined,
		failedOn: new Set(),
	};
}
