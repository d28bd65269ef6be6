/** Headers by which a test or benchmark tells a stand-in backend server what one call shall be. */

/** Names the call for the oracle; the same on every repetition of it. */
export const callIdHeader = 'stand-in-call-id';

/** Milliseconds of work; without it the backend server's own setting counts. */
export const workHeader = 'stand-in-work-milliseconds';

/** Bytes of the answer's body. */
export const bytesHeader = 'stand-in-bytes';

/** `true` marks a call that crashes a backend server in the mode `crash-on-mark`. */
export const crashHeader = 'stand-in-crash';
