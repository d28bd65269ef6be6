/** Large answers without a length: sent in pieces, and ended by the close of the connection. */
import {setTimeout as delay} from 'node:timers/promises';

const pieceBytes = 30_000;

/** The body of a document, the same at each upstream. */
export function documentBody(name, size) {
	const body = Buffer.alloc(size);
	for (let at = 0; at < size; at += 16) {
		body.write(`${name}:${at}`.padEnd(16, '.').slice(0, Math.min(16, size - at)), at, 'latin1');
	}

	return body;
}

/**
 * Sends an answer that has no length, then closes the connection. `breakAt` = the connection is reset after so many bytes;
 * undefined = the answer is sent whole. Resolves with the bytes sent.
 */
export async function streamWithoutLength({id, socket}, {body, breakAt, pieceMilliseconds}) {
	socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Signature: signature-of-${id}\r\nConnection: close\r\n\r\n`);
	const end = breakAt ?? body.length;
	for (let at = 0; at < end && !socket.destroyed; at += pieceBytes) {
		socket.write(body.subarray(at, Math.min(end, at + pieceBytes)));
		await delay(pieceMilliseconds);
	}

	if (breakAt === undefined) {
		socket.end();
	} else {
		socket.resetAndDestroy();
	}

	return end;
}
