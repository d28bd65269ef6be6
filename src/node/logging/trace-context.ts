/** Trace identifiers, which connect all log lines of a call (W3C Trace Context, level 1). */
import {RandomDigits} from './random-digits.ts';

/** Trace context of a call. */
export type TraceContext = {
	/** 32 hexadecimal digits, the same in every log line of the call on all VMs and services that it passes. */
	readonly traceId: string;
	/** Value of the `traceparent` header sent to the backend server, with a span of this VM. */
	readonly traceparent: string;
};

const traceparentPattern = /^(?!ff)[\da-f]{2}-(?!0{32})(?<traceId>[\da-f]{32})-(?!0{16})[\da-f]{16}-(?<flags>[\da-f]{2})(?:-|$)/v;
const spanBytes = 8;
const traceBytes = 16;
const digits = new RandomDigits();

/** Continues the trace of the caller's `traceparent` header; starts a new trace if the header is missing or malformed. */
export function continueTrace(header: string | undefined): TraceContext {
	const found = traceparentPattern.exec(header ?? '')?.groups;
	const traceId = found?.traceId ?? digits.take(traceBytes);
	const flags = found?.flags ?? '00';
	return {traceId, traceparent: `00-${traceId}-${digits.take(spanBytes)}-${flags}`};
}
