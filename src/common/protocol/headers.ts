/**
 * What jaydale, its callers and its backend servers say to one another in HTTP, besides HTTP itself.
 * Everything under `jaydale-` that a caller sends, other than the request headers named here, is dropped.
 */

/** Path prefix of calls: `/services/NAME/REST` runs `/REST` on a backend server of service NAME. */
export const callPathPrefix = '/services/';

/** Callers ask here which VMs to use: `GET /jaydale/addresses?service=NAME`. */
export const addressesPath = '/jaydale/addresses';

/** Request: milliseconds the caller will still wait. Remaining time, so that clocks need not agree. */
export const timeoutHeader = 'jaydale-timeout-milliseconds';

/** Request: the caller's name, for fair sharing; without it the caller's address counts. */
export const callerHeader = 'jaydale-caller';

/** Request and call to a backend server: `none` if a level above has kept retrying for itself. */
export const retryHeader = 'jaydale-retries';

/** Request: names this run of the call for the services that claim keys (IETF httpapi draft). */
export const idempotencyKeyHeader = 'idempotency-key';

/** Answer to the caller: `ran`, `not-run` or `unknown`. */
export const outcomeHeader = 'jaydale-outcome';

/** Answer of a backend server that sheds a call: `not-run` is its word that nothing ran. */
export const declaredNotRunHeader = 'jaydale-not-run';

/** Answer of a backend server: `in-flight=3, queued=0, slots=6, instance=a1b2`. */
export const loadReportHeader = 'jaydale-load';

/** Answer of a backend server that has begun to leave: `true`. */
export const leavingHeader = 'jaydale-leaving';

/** Both ways: one identifier that follows a call through logs (W3C trace context). */
export const traceHeader = 'traceparent';

/** Load endpoint of a backend server: answers `{inFlight, queued, slots, instance, isLeaving}`. */
export const loadPath = '/load';

/** Health endpoint of a backend server: 200 while it serves, 503 once it has begun to leave. */
export const healthPath = '/health';

/** Prefix of problem types (RFC 9457). */
export const problemTypePrefix = 'urn:jaydale:problem:';
