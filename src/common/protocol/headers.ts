/**
 * HTTP headers and paths that jaydale, its callers and its backend servers use beyond standard HTTP.
 * All other `jaydale-` headers that a caller sends are dropped.
 */

/** Path prefix of calls: `/services/NAME/REST` is sent as `/REST` to a backend server of service NAME. */
export const callPathPrefix = '/services/';

/** Endpoint from which callers fetch the VMs to use for a service: `GET /jaydale/addresses?service=NAME`. */
export const addressesPath = '/jaydale/addresses';

/** Request: remaining time in milliseconds until the caller's deadline. Relative, so that clocks need not be synchronised. */
export const timeoutHeader = 'jaydale-timeout-milliseconds';

/** Request: the caller's name, for fair sharing between callers; the default is the caller's address. */
export const callerHeader = 'jaydale-caller';

/** Call to a backend server: name of the organisation whose key the caller sent; absent if organisations are not declared. */
export const organisationHeader = 'jaydale-organisation';

/** Request and call to a backend server: `none` if a client further up the call chain does the retries itself. */
export const retryHeader = 'jaydale-retries';

/** Request: identifies this call to services that claim idempotency keys (IETF httpapi draft). */
export const idempotencyKeyHeader = 'idempotency-key';

/** Answer to the caller: `ran`, `not-run` or `unknown`. */
export const outcomeHeader = 'jaydale-outcome';

/** Answer of a backend server that sheds a call: `not-run` declares that nothing was executed. */
export const declaredNotRunHeader = 'jaydale-not-run';

/** Answer of a backend server: its load report, as in `in-flight=3, queued=0, slots=6, instance=a1b2`. */
export const loadReportHeader = 'jaydale-load';

/** Answer of a backend server: `true` once it has begun to shut down. */
export const leavingHeader = 'jaydale-leaving';

/** Request and call to a backend server: trace identifier that correlates the log lines of a call (W3C trace context). */
export const traceHeader = 'traceparent';

/** Load endpoint of a backend server: returns `{inFlight, queued, slots, instance, isLeaving}` as JSON. */
export const loadPath = '/load';

/** Health endpoint of a backend server: 200 while it accepts calls, 503 once it has begun to shut down. */
export const healthPath = '/health';

/** Prefix of `type` in problem bodies (RFC 9457). */
export const problemTypePrefix = 'urn:jaydale:problem:';
