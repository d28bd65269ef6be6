/** Outcomes of calls during a planned stop, and body sizes that the stop cases use. */

/** More than the kernel buffers for a caller that does not read, so that the rest stays in the process. */
export const largeAnswerBytes = 16_000_000;

/** Size of the chunks of a large body; after each chunk the test waits until the VM has read it. */
export const pieceBytes = 65_536;

/** One complete answer to the only call. */
export const answered = '200 first | ran first';

/** One complete refusal that states "not run", and the call has indeed not run. */
export const refused = '503 refused | ran';

/** No answer; allowed only for a call that the VM has not read completely. */
export const unanswered = ' | ran';

/** Outcomes of two calls on one connection if the VM may answer the first one without `connection: close`. */
export const allowedForNextCall = [
	'200 first; 200 second, close | ran first second',
	'200 first; 200 second | ran first second',
	'200 first; 503 refused, close | ran first',
	'200 first, close | ran first',
];
