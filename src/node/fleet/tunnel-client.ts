/**
 * Connections to backend servers by way of another VM. Both directions are bodies of one HTTP request with chunked framing,
 * so that the end of a stream differs from the loss of the relay: an answer without a length must not look complete when
 * the relay is lost.
 */
import {type ClientRequest, type IncomingMessage, request} from 'node:http';
import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {type buildConnector} from 'undici';
import {type PeerAddress} from '../../common/fleet/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/** Path prefix of a tunnel on a VM's peers endpoint, followed by the identity of the backend server. */
export const tunnelPathPrefix = '/tunnels/';

/** Header that names another relay, which works for the VM that has no link itself. */
export const relayHintHeader = 'jaydale-relay';

/** Statuses of the response to a request for a tunnel; all others mean that this VM cannot be a relay now. */
export const tunnelStatus = {
	open: 200, unknown: 404, refused: 502, timedOut: 504, noLink: 503,
} as const;

/** The VM that was asked has no link itself, or cannot be reached. `hint` = another one that may have. */
export class NoRelayError extends Error {
	override readonly name = 'NoRelayError';
	readonly hint: PeerAddress | undefined;

	constructor(reason: string, hint?: PeerAddress) {
		super(`no tunnel: ${reason}`);
		this.hint = hint;
	}
}

/** Error with a code, as of a socket. */
class TunnelError extends Error {
	override readonly name = 'TunnelError';
	readonly code: string;

	constructor(message: string, code: string) {
		super(message);
		this.code = code;
	}
}

/** The stream of one tunnel. */
class Tunnel extends Duplex {
	private readonly _outgoing: ClientRequest;
	private readonly _incoming: IncomingMessage;

	constructor(outgoing: ClientRequest, incoming: IncomingMessage, resetCode: string) {
		super({allowHalfOpen: true});
		this._outgoing = outgoing;
		this._incoming = incoming;
		incoming.on('data', (chunk: Buffer) => {
			if (!this.push(chunk)) {
				incoming.pause();
			}
		});
		incoming.on('end', () => {
			this.push(null);
		});
		const onLost = () => {
			if (!incoming.readableEnded) {
				this.destroy(new TunnelError('tunnel lost', resetCode));
			}
		};

		incoming.on('error', onLost);
		incoming.on('close', onLost);
		outgoing.on('error', onLost);
	}

	override _read(): void {
		this._incoming.resume();
	}

	override _write(chunk: Buffer, _encoding: string, callback: (error?: Error | null) => void): void {
		if (this._outgoing.write(chunk)) {
			callback();
		} else {
			this._outgoing.once('drain', callback);
		}
	}

	override _final(callback: (error?: Error | null) => void): void {
		this._outgoing.end(callback);
	}

	override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
		this._outgoing.destroy();
		this._incoming.destroy();
		callback(error);
	}
}

export type TunnelOptions = {
	readonly via: PeerAddress;
	readonly identity: string;
	readonly timeoutMilliseconds: Milliseconds;
	/** Error code of a lost tunnel. */
	readonly resetCode: string;
};

/** Returns a connector for undici that opens a tunnel for each connection. */
export function tunnelConnector({via, identity, timeoutMilliseconds, resetCode}: TunnelOptions): buildConnector.connector {
	return (_options, callback) => {
		const colon = via.lastIndexOf(':');
		const outgoing = request({
			host: via.slice(0, colon).replaceAll(/[\[\]]/gv, ''),
			port: Number(via.slice(colon + 1)),
			method: 'POST',
			path: tunnelPathPrefix + encodeURIComponent(identity),
			agent: false,
			headers: {'transfer-encoding': 'chunked'},
		});
		let isSettled = false;
		const settle = (error: Error | undefined, tunnel?: Tunnel) => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			clearTimeout(timer);
			if (tunnel === undefined) {
				outgoing.destroy();
				callback(error ?? new NoRelayError('no connection'), null);
			} else {
				// undici uses the methods of a stream only.
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
				callback(null, tunnel as unknown as Socket);
			}
		};

		const timer = setTimeout(() => {
			settle(new TunnelError('no response of the relay', 'ETIMEDOUT'));
		}, timeoutMilliseconds);
		outgoing.setNoDelay(true);
		outgoing.on('error', error => {
			settle(new NoRelayError(error.message));
		});
		outgoing.on('response', incoming => {
			switch (incoming.statusCode) {
				case tunnelStatus.open: {
					settle(undefined, new Tunnel(outgoing, incoming, resetCode));
					break;
				}

				case tunnelStatus.refused: {
					settle(new TunnelError('connection refused to the relay', 'ECONNREFUSED'));
					break;
				}

				case tunnelStatus.unknown: {
					settle(new TunnelError('backend server unknown to the relay', 'ENOENT'));
					break;
				}

				case tunnelStatus.timedOut: {
					settle(new TunnelError('connection of the relay timed out', 'ETIMEDOUT'));
					break;
				}

				default: {
					const hint = incoming.headers[relayHintHeader];
					settle(new NoRelayError(`status ${incoming.statusCode}`, typeof hint === 'string' ? hint : undefined));
				}
			}
		});
		outgoing.flushHeaders();
	};
}
