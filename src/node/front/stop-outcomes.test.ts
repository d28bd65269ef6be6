/** Outcomes of calls that a planned stop meets, and sizes that bring calls there; moments at all listeners share them. */

/** More than the system takes in for a caller that does not read, so that the rest waits in the process. */
export const largeAnswerBytes = 16_000_000;

/** Sent between two looks at the connection. */
export const pieceBytes = 65_536;

/** One whole answer to the only call. */
export const answered = '200 first | ran first';

/** One whole refusal that says "not run", and is true. */
export const refused = '503 refused | ran';

/** No word; only to a call that the VM has not read whole. */
export const unanswered = ' | ran';

/** The next call on a connection whose first call was answered without a word of the end. */
export const allowedForNextCall = [
	'200 first; 200 second, close | ran first second',
	'200 first; 200 second | ran first second',
	'200 first; 503 refused, close | ran first',
	'200 first, close | ran first',
];
