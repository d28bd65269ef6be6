/**
 * Connection pools for backend servers. The pools have no limit of their own: the call engine limits the calls in flight,
 * and each call uses one connection. Idle connections close after `idleMilliseconds`.
 */
import {buildConnector, Client, Pool} from 'undici';
import {type BackendServerIdentity, type CallEffect} from '../../common/calls/types.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

type Target = Pick<CallEffect & {type: 'start-attempt'}, 'identity' | 'address' | 'port' | 'processStartedAt'>;

/** Connections to one process of a backend server. */
type ProcessPool = {readonly pool: Pool; readonly origin: string; readonly processStartedAt: number | undefined};

export type ConnectionSettings = {
	readonly connectMilliseconds: Milliseconds;
	readonly idleMilliseconds: Milliseconds;
	/** Timeout between two chunks of an answer's body. */
	readonly silenceMilliseconds?: Milliseconds;
};

/**
 * Default for `silenceMilliseconds`. No deadline applies once an answer has begun, so without this timeout a caller would wait
 * forever on a connection that went silent in the middle of an answer. Time during which the answer is paused for a slow caller
 * does not count. Ten seconds tolerate a pause of the backend server; an answer that fails midway may be resumed on another one.
 */
const defaultSilenceMilliseconds: Milliseconds = 10_000;

/** Returns the base URL for an address and port; IPv6 addresses are enclosed in brackets. */
export function originUrl(address: string, port: number): string {
	return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}

/** Error code that replaces `ECONNRESET`; see `withDistinctResetCode`. */
const resetCode = 'JAYDALE_CONNECTION_RESET';

/**
 * Wraps a connector so that undici reports a reset in the middle of a close-delimited answer as a failure. undici treats
 * `ECONNRESET` as the regular end of such an answer, so a truncated body of a crashed backend server would look complete. It
 * treats any other error code as a failure.
 */
function withDistinctResetCode(connect: buildConnector.connector): buildConnector.connector {
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
				if (error.code === 'ECONNRESET') {
					error.code = resetCode;
				}
			});
			callback(...result);
		});
	};
}

/** One connection pool for each backend server. */
export class BackendConnections extends Disposable {
	private readonly _pools = new Map<BackendServerIdentity, ProcessPool>();
	private readonly _settings: ConnectionSettings;
	private readonly _connect: buildConnector.connector;

	constructor(settings: ConnectionSettings) {
		super();
		this._settings = settings;
		this._connect = withDistinctResetCode(buildConnector({timeout: settings.connectMilliseconds}));
		this._register(toDisposable(() => {
			for (const {pool} of this._pools.values()) {
				void pool.destroy();
			}

			this._pools.clear();
		}));
	}

	/**
	 * Returns the shared pool of a backend server's process. Closes the previous pool if the address or the process has changed
	 * under the same identity: connections to the previous process may stay silent forever, or lead to an address that now
	 * belongs to another backend server.
	 */
	pool({identity, address, port, processStartedAt}: Target): Pool {
		const origin = originUrl(address, port);
		const existing = this._pools.get(identity);
		if (existing?.origin === origin && existing.processStartedAt === processStartedAt) {
			return existing.pool;
		}

		void existing?.pool.close();
		const pool = new Pool(origin, this._options());
		this._pools.set(identity, {pool, origin, processStartedAt});
		return pool;
	}

	/** Returns a client with a new connection for a single attempt; the caller closes it. */
	createDedicatedClient(target: Target): Client {
		return new Client(originUrl(target.address, target.port), this._options());
	}

	/** Closes the pools of backend servers that are not in `identities`, once their calls in flight have completed. */
	retain(identities: ReadonlySet<BackendServerIdentity>): void {
		for (const [identity, {pool}] of this._pools) {
			if (!identities.has(identity)) {
				this._pools.delete(identity);
				void pool.close();
			}
		}
	}

	private _options(): Client.Options {
		return {
			// No pipelining: a call queued behind a slow one would wait without the call engine's knowledge, and undici would
			// resend it on its own after a reset.
			pipelining: 1,
			allowH2: false,
			connect: this._connect,
			keepAliveTimeout: this._settings.idleMilliseconds,
			keepAliveMaxTimeout: this._settings.idleMilliseconds,
			// The call engine enforces the deadline for the answer's head, but cannot detect silence within the body.
			headersTimeout: 0,
			bodyTimeout: this._settings.silenceMilliseconds ?? defaultSilenceMilliseconds,
		};
	}
}
