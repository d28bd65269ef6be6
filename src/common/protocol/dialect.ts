/** The mapping between HTTP messages and the call engine's terms. Each dialect is one set of headers, bodies and their meanings. */
import {
	type BackendServerIdentity, type CallOutcome, type LoadReport, type RateLimitNotice, type RefusalReason,
} from '../calls/types.ts';
import {type Milliseconds} from '../model/units.ts';

/** Headers, keyed by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;

/** Values that jaydale adds to an attempt's request, besides the caller's own headers. */
export type AttemptMetadata = {
	/** Time remaining until the attempt's deadline. */
	readonly timeoutMilliseconds: Milliseconds;
	readonly identity: BackendServerIdentity;
	/** W3C trace context to forward; undefined if the dialect does not use it. */
	readonly traceparent: string | undefined;
	/**
	 * The organisation that the caller's key identified, `undefined` for a call without a valid key. The field is absent if no
	 * organisations were in force when the call was admitted; the caller's headers are then forwarded unchanged.
	 */
	readonly identified?: {readonly organisation: string | undefined};
};

/** Values parsed from the head of a backend server's answer. */
export type ParsedAnswerHead = {
	/** False if the answer belongs to another call, or lacks the proof that a backend server produced it for this call. */
	readonly isForThisCall: boolean;
	/** The answer carries the dialect's declaration that the backend server did not run the call. */
	readonly isDeclaredNotRun: boolean;
	readonly report: LoadReport | undefined;
	/** Undefined if the answer contains no rate limit. */
	readonly rateLimit?: RateLimitNotice;
};

/** The parts of a refused call that its caller can see. */
export type Refusal = {
	readonly status: number;
	readonly reason: RefusalReason;
	readonly outcome: CallOutcome;
	/** Delay after which the caller may retry; undefined if a retry would not help. */
	readonly retryAfterMilliseconds: Milliseconds | undefined;
};

/** Headers and body of an answer that jaydale generates itself. */
export type GeneratedAnswer = {
	readonly headers: Readonly<Record<string, string | number>>;
	readonly body: string;
};

/** Encodes and parses the messages of one dialect. Header lists are flat: name, value, name, value ... */
export type Dialect = {
	/**
	 * Answers of up to this many bytes are buffered until they are complete, so that the call can be retried on another
	 * backend server if the answer fails midway; 0 disables the buffering.
	 */
	readonly heldAnswerBytes: number;
	/** Returns the headers of an attempt. */
	attemptHeaders(callerHeaders: HeaderMap, metadata: AttemptMetadata): string[];
	/** Parses the head of an answer; `callerHeaders` are the headers of the call that it answers. */
	parseAnswerHead(status: number, headers: HeaderMap, callerHeaders: HeaderMap): ParsedAnswerHead;
	/**
	 * Whether the connection must not be used after this answer, since a copy of it that arrives late would be taken for the
	 * answer to the next call: it says that a call has not run, and not which one.
	 */
	endsConnection(status: number, headers: HeaderMap): boolean;
	/**
	 * Whether the connection must not be used after this answer to a load probe of this backend server: it is the late copy of
	 * another answer, so the probe's own answer is still to come, or `endsConnection` applies.
	 */
	endsProbeConnection(identity: BackendServerIdentity, status: number, headers: HeaderMap): boolean;
	/** Returns the headers to send to the caller, given those of the backend server's answer. */
	answerHeaders(headers: HeaderMap, outcome: CallOutcome): string[];
	/** Returns the answer to a refused call. */
	refusal(refusal: Refusal): GeneratedAnswer;
	/** Parses the answer to a load probe of this backend server; undefined if it contains no usable load report. */
	parseLoadProbe(identity: BackendServerIdentity, status: number, headers: HeaderMap, body: string): LoadReport | undefined;
};

/** Values parsed from the head of a routed call, besides its route. */
export type ParsedRequestHead = {
	/** Identifies the call in all log lines, both here and at its caller. */
	readonly traceId: string;
	/** Time remaining according to the caller; undefined if the route's timeout applies. */
	readonly timeoutMilliseconds: Milliseconds | undefined;
};

/** A dialect in which the host and path of a call determine its route. */
export type RoutedDialect = Dialect & {
	parseRequestHead(headers: HeaderMap): ParsedRequestHead;
};
