/** How jaydale speaks HTTP with callers and backend servers: which headers say what. One class for each way of speaking. */
import {
	type BackendServerIdentity, type CallOutcome, type LoadReport, type RateLimitNotice, type RefusalReason,
} from '../calls/types.ts';
import {type Milliseconds} from '../model/units.ts';

/** Headers by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** What an attempt tells its backend server, beside the caller's own headers. */
export type AttemptFacts = {
	/** Time left for the attempt. */
	readonly timeoutMilliseconds: Milliseconds;
	readonly identity: BackendServerIdentity;
	/** W3C trace context to pass on, where the dialect has one. */
	readonly traceparent: string | undefined;
};

/** What the head of an answer says. */
export type AnswerReading = {
	/** False = it is another call's answer, or lacks the proof that a backend server made it for this one. */
	readonly isOwn: boolean;
	/** The backend server says in the agreed form that it did not run the call. */
	readonly isDeclaredNotRun: boolean;
	readonly report: LoadReport | undefined;
	/** Undefined = the answer names none. */
	readonly rateLimit?: RateLimitNotice;
};

/** A call that is given up, as far as its caller is told. */
export type Refusal = {
	readonly status: number;
	readonly reason: RefusalReason;
	readonly outcome: CallOutcome;
	/** When to come back; undefined = coming back does not help. */
	readonly retryAfterMilliseconds: Milliseconds | undefined;
};

/** Head and body of an answer that jaydale makes itself. */
export type OwnAnswer = {
	readonly headers: Readonly<Record<string, string | number>>;
	readonly body: string;
};

/** One way of speaking. */
export type Dialect = {
	/** Answers up to this many bytes are held until they are whole, so that one that breaks off can be tried elsewhere; 0 = none is. */
	readonly heldAnswerBytes: number;
	/** Headers of an attempt, as a flat list of names and values. */
	attemptHeaders(ofCaller: HeaderMap, facts: AttemptFacts): string[];
	/** Reads the head of an answer to a call that had these headers. */
	readAnswer(status: number, headers: HeaderMap, ofCaller: HeaderMap): AnswerReading;
	/** Headers that pass on to the caller, as a flat list. */
	answerHeaders(headers: HeaderMap, outcome: CallOutcome): string[];
	/** The answer of a call that is given up. */
	refusal(refusal: Refusal): OwnAnswer;
	/** Reads the answer to a measuring call that was meant for this backend server; undefined = it says nothing. */
	readMeasurement(identity: BackendServerIdentity, status: number, headers: HeaderMap, body: string): LoadReport | undefined;
};

/** What a routed call's head says beside its route. */
export type RequestReading = {
	/** Identifies the call in all log lines, here and at its caller. */
	readonly traceId: string;
	/** Time left as its caller said; undefined = the route's own limit. */
	readonly timeoutMilliseconds: Milliseconds | undefined;
};

/** A way of speaking in which calls are told apart by host and path. */
export type RoutedDialect = Dialect & {
	readRequest(headers: HeaderMap): RequestReading;
};
