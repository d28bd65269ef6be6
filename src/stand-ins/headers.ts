/** Request headers by which a test or benchmark controls how the stand-in backend server runs a call. */

/** Identifies the call for the oracle. Each retry of a call carries the same id. */
export const callIdHeader = 'stand-in-call-id';

/** Work in milliseconds; defaults to the backend server's setting. */
export const workHeader = 'stand-in-work-milliseconds';

/** Length of the response body in bytes. */
export const bytesHeader = 'stand-in-bytes';

/** `true` makes the call crash a backend server in the mode `crash-on-mark`. */
export const crashHeader = 'stand-in-crash';
