/** Ends answers that have failed after their head was sent. */
import {type ServerResponse} from 'node:http';
import {type Milliseconds} from '../../common/model/units.ts';

/** Delay of a reset, in which the caller can read the bytes that were sent last. */
const resetPauseMilliseconds: Milliseconds = 50;

/** Answers that end with their connection, since they have neither a length nor chunks: those to callers of HTTP/1.0. */
const closeDelimited = new WeakSet<ServerResponse>();

/** Remembers that only the end of the connection tells the caller whether this answer is complete. */
export function markCloseDelimited(outgoing: ServerResponse): void {
	closeDelimited.add(outgoing);
}

/**
 * Closes the connection in the middle of an answer so that its caller can tell. A missing last chunk or missing bytes of
 * the content length show it; an answer without either needs a reset, as a regular close would be its regular end.
 */
export function cutAnswer(outgoing: ServerResponse): void {
	if (closeDelimited.has(outgoing) && outgoing.socket !== null) {
		outgoing.socket.resetAndDestroy();
	} else {
		outgoing.destroy();
	}
}

/**
 * The same, after a pause if a reset is needed: some event loops report a reset that arrives together with the last bytes
 * as a regular end.
 */
export function cutAnswerSoon(outgoing: ServerResponse): void {
	if (closeDelimited.has(outgoing)) {
		setTimeout(() => {
			cutAnswer(outgoing);
		}, resetPauseMilliseconds);
	} else {
		outgoing.destroy();
	}
}
