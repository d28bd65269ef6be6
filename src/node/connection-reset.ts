/** Tells a reset connection from one that its peer has closed. */
import {type Socket} from 'node:net';

/**
 * Whether a socket that has just emitted `end` was reset. Node reports a reset that it reads together with the last bytes
 * as a regular end; only the address of the peer, which must not have been read before, is then gone.
 */
export function wasReset(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}
