/** Discards the rest of a request body that is no longer needed. */
import {type IncomingMessage} from 'node:http';
import {type Milliseconds} from '../../common/model/units.ts';

/** Maximum time without a byte while a body is discarded. */
const maxSilenceMilliseconds: Milliseconds = 10_000;

/** Maximum time from the start of discarding to the end of the body. */
const maxDurationMilliseconds: Milliseconds = 60_000;

const discarded = new WeakSet<IncomingMessage>();

/**
 * Reads and drops the rest of a request body, so that its connection can carry the next call. If the rest is larger than
 * `maxBytes`, or takes too long to arrive, closes the connection. Repeated calls have no effect.
 */
export function discardBody(incoming: IncomingMessage, maxBytes: number): void {
	if (incoming.complete || discarded.has(incoming)) {
		incoming.resume();
		return;
	}

	discarded.add(incoming);
	// Destroying the socket would reset the connection, and the caller could lose an answer that it has not read yet.
	const close = () => {
		incoming.socket.destroySoon();
	};

	const silence = setTimeout(close, maxSilenceMilliseconds);
	const duration = setTimeout(close, maxDurationMilliseconds);
	const stop = () => {
		clearTimeout(silence);
		clearTimeout(duration);
	};

	let bytes = 0;
	incoming.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		silence.refresh();
		if (bytes > maxBytes) {
			close();
		}
	});
	incoming.once('end', stop);
	incoming.once('close', stop);
	incoming.unpipe();
	incoming.resume();
}
