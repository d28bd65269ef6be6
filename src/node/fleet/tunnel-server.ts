/** Forwards connections of VMs that have no link to a backend server. Its users decide on calls; it forwards bytes only. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {pipeline} from 'node:stream';
import {type BackendServerIdentity} from '../../common/calls/types.ts';
import {type PeerAddress} from '../../common/fleet/types.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {wasReset} from '../connection-reset.ts';
import {type Metrics} from '../metrics/types.ts';
import {relayHintHeader, tunnelPathPrefix, tunnelStatus} from './tunnel-client.ts';

/** Connect timeout; shorter than that of the VM that asks, which therefore learns the result. */
const connectTimeoutMilliseconds: Milliseconds = 150;

/** Maximum tunnels at a time, so that the VMs without links do not use up the descriptors of this one. */
const maxTunnels = 1024;

/** A tunnel whose last bytes came from the backend server carries no call once it has been quiet for this long. */
const quietMilliseconds: Milliseconds = 200;

/** Other backend servers that are tried after one has refused a connection. */
const maxWitnesses = 2;

/** Names of refusals in metrics. */
const refusalName = {
	[tunnelStatus.unknown]: 'unknown', [tunnelStatus.refused]: 'refused', [tunnelStatus.timedOut]: 'timed-out', [tunnelStatus.noLink]: 'no-link',
} as const;

/** Address of a backend server. */
export type TunnelTarget = {readonly address: string; readonly port: number};

/** What the server needs to know of this VM. */
export type TunnelContext = {
	/** Whether this VM has a direct link to a backend server, as far as it knows. */
	hasLinkTo(identity: BackendServerIdentity): boolean;
	/** Another VM through which this one reaches a backend server; undefined = none. */
	relayTo(identity: BackendServerIdentity): PeerAddress | undefined;
	/** The direct connection to a backend server could not be opened. */
	onDirectFailed(identity: BackendServerIdentity): void;
};

/** Decodes a percent-encoded identity; undefined = malformed. */
function decode(text: string): BackendServerIdentity | undefined {
	try {
		return decodeURIComponent(text);
	} catch {
		// No VM of this fleet sends a malformed identity.
		return undefined;
	}
}

/** Opens a connection; resolves with undefined on a timeout, and `refused` if it was refused or reset. */
async function open({address, port}: TunnelTarget): Promise<Socket | 'refused' | undefined> {
	return new Promise(resolve => {
		const socket = connect({
			host: address, port, noDelay: true, allowHalfOpen: true,
		});
		const timer = setTimeout(() => {
			socket.destroy();
			resolve(undefined);
		}, connectTimeoutMilliseconds);
		socket.once('connect', () => {
			clearTimeout(timer);
			resolve(socket);
		});
		socket.once('error', error => {
			clearTimeout(timer);
			socket.destroy();
			resolve('code' in error && error.code === 'ECONNREFUSED' ? 'refused' : undefined);
		});
	});
}

export class TunnelServer extends Disposable {
	private readonly _context: TunnelContext;
	private readonly _metrics: Metrics;
	/** Connections to backend servers, with the times of the latest bytes in each direction. */
	private readonly _sockets = new Map<Socket, {writtenAt: Instant; readAt: Instant}>();
	private _targets: ReadonlyMap<BackendServerIdentity, TunnelTarget> = new Map();
	private _pendingTunnels = 0;
	private _nextWitness = 0;

	constructor(context: TunnelContext, metrics: Metrics) {
		super();
		this._metrics = metrics;
		this._context = context;
		this._register(toDisposable(() => {
			for (const socket of this._sockets.keys()) {
				socket.destroy();
			}
		}));
	}

	/** Sets the backend servers to which connections are forwarded. */
	configure(targets: ReadonlyMap<BackendServerIdentity, TunnelTarget>): void {
		this._targets = targets;
	}

	/** Number of tunnels that carry a call, as far as their traffic shows. */
	get busy(): number {
		const now = performance.now();
		return [...this._sockets.values()].filter(({writtenAt, readAt}) => writtenAt > readAt || now - readAt < quietMilliseconds).length;
	}

	/** Whether a request is one for a tunnel. */
	accepts({url = '', method}: IncomingMessage): boolean {
		return method === 'POST' && url.startsWith(tunnelPathPrefix);
	}

	/** Forwards one connection; the request's body goes to the backend server, and its bytes are the response's body. */
	async forward(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
		incoming.on('error', () => {
			// The VM that asked is gone; `close` of the response ends the tunnel.
		});
		const identity = decode((incoming.url ?? '').slice(tunnelPathPrefix.length));
		const target = identity === undefined ? undefined : this._targets.get(identity);
		if (identity === undefined || target === undefined) {
			this._refuse(outgoing, tunnelStatus.unknown, '');
			return;
		}

		if (this._sockets.size + this._pendingTunnels >= maxTunnels || !this._context.hasLinkTo(identity)) {
			this._refuse(outgoing, tunnelStatus.noLink, identity);
			return;
		}

		this._pendingTunnels++;
		const socket = await open(target);
		this._pendingTunnels--;
		if (typeof socket !== 'object') {
			await this._refuseUnopened(outgoing, identity, socket);
		} else if (outgoing.destroyed) {
			socket.destroy();
		} else {
			this._connect(incoming, outgoing, socket);
		}
	}

	private _connect(incoming: IncomingMessage, outgoing: ServerResponse, socket: Socket): void {
		const traffic = {writtenAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY};
		this._sockets.set(socket, traffic);
		socket.once('close', () => {
			this._sockets.delete(socket);
		});
		this._metrics.tunnelRequested('open');
		outgoing.writeHead(tunnelStatus.open);
		outgoing.flushHeaders();
		socket.once('end', () => {
			if (wasReset(socket)) {
				outgoing.destroy();
			}
		});
		// A lost stream destroys the other one, which the VM that asked sees as a reset.
		pipeline(incoming, socket, error => {
			if (error) {
				socket.destroy();
			}
		});
		pipeline(socket, outgoing, error => {
			if (error) {
				outgoing.destroy();
				socket.destroy();
			}
		});
		incoming.on('data', () => {
			traffic.writtenAt = performance.now();
		});
		socket.on('data', () => {
			traffic.readAt = performance.now();
		});
		outgoing.once('close', () => {
			socket.destroySoon();
		});
	}

	/** A VM that has just lost its links is refused by backend servers that are alive; only then it has to check them. */
	private async _refuseUnopened(outgoing: ServerResponse, identity: BackendServerIdentity, result: 'refused' | undefined): Promise<void> {
		if (await this._reachesAnother(identity)) {
			this._refuse(outgoing, result === 'refused' ? tunnelStatus.refused : tunnelStatus.timedOut, identity);
			return;
		}

		this._context.onDirectFailed(identity);
		this._refuse(outgoing, result === 'refused' ? tunnelStatus.noLink : tunnelStatus.timedOut, identity);
	}

	private async _reachesAnother(refusing: BackendServerIdentity): Promise<boolean> {
		const others = [...this._targets].filter(([identity]) => identity !== refusing && this._context.hasLinkTo(identity));
		const start = this._nextWitness++ % Math.max(1, others.length);
		for (const [, target] of [...others.slice(start), ...others.slice(0, start)].slice(0, maxWitnesses)) {
			const socket = await open(target);
			if (typeof socket === 'object') {
				socket.destroy();
				return true;
			}
		}

		return false;
	}

	private _refuse(outgoing: ServerResponse, status: keyof typeof refusalName, identity: BackendServerIdentity): void {
		this._metrics.tunnelRequested(refusalName[status]);
		const hint = this._context.relayTo(identity);
		outgoing.writeHead(status, {connection: 'close', ...(hint === undefined ? {} : {[relayHintHeader]: hint})}).end();
	}
}
