/**
 * Connection pools for backend servers. The pools have no limit of their own: the call engine limits the calls in flight,
 * and each call uses one connection. Idle connections close after `idleMilliseconds`.
 */
import process from 'node:process';
import {
	buildConnector, type Client, type Dispatcher, Pool,
} from 'undici';
import {type BackendServerIdentity, type CallEffect} from '../../common/calls/types.ts';
import {wasReset} from '../connection-reset.ts';
import {NoRelayError, tunnelConnector} from '../fleet/tunnel-client.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {AttemptClient, type AttemptClientOptions} from './attempt-client.ts';

type Target = Pick<CallEffect & {type: 'start-attempt'}, 'identity' | 'address' | 'port' | 'processStartedAt' | 'via'>;

/** Connections to one process of a backend server on one path. */
type ProcessPool = {readonly pool: Pool; readonly origin: string; readonly processStartedAt: number | undefined; readonly via: string | undefined};

/**
 * What connections carry. Load probes have connections of their own: an answer without an id on a connection of calls is then
 * the answer to its call, and never the delayed answer to a load probe.
 */
export type ConnectionUse = 'calls' | 'load-probes';

/** A request for a shared pool. */
type PooledRequest = {readonly options: Dispatcher.DispatchOptions; readonly handler: Dispatcher.DispatchHandler; readonly isNeeded: () => boolean};

/** A request that is made from within the end of an answer comes before undici's own step of that cycle. */
const maxDelayCycles = 2;

export type ConnectionSettings = {
	readonly connectMilliseconds: Milliseconds;
	readonly idleMilliseconds: Milliseconds;
	/** Timeout between two chunks of an answer's body. */
	readonly silenceMilliseconds?: Milliseconds;
};

/**
 * Default for `silenceMilliseconds`, for a connection that goes silent in the middle of an answer before the time limit of its
 * call; after that `AnswerSilence` applies. Time during which the answer is paused for a slow caller does not count. Ten seconds
 * tolerate a pause of the backend server; an answer that fails midway may be resumed on another one.
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
function withDistinctResetCode(connect: buildConnector.connector, onEnd: (isReset: boolean) => void): buildConnector.connector {
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			socket?.prependListener('end', () => {
				onEnd(wasReset(socket));
			});
			socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
				if (error.code === 'ECONNRESET') {
					error.code = resetCode;
				}
			});
			callback(...result);
		});
	};
}

/** Supplies VMs through which a connection is opened if the direct one fails. */
export type RelaySource = {
	/** A VM to ask for a tunnel to this backend server; undefined = none is left besides those in `tried`. */
	nextRelay(identity: BackendServerIdentity, tried: ReadonlySet<string>): string | undefined;
	/** This relay has opened a connection to a backend server, or has no link itself. */
	onRelayAsked(identity: BackendServerIdentity, via: string, hasLink: boolean): void;
	/** The direct connection to a backend server could not be opened. */
	onDirectFailed(identity: BackendServerIdentity): void;
};

/** A direct connection that failed, and the relays that were asked since. */
type FailedConnection = {readonly error: Error; readonly tried: Set<string>};

/** Relays that are asked for one connection; a VM that has no link either says so within a round trip. */
const maxRelaysPerConnection = 4;

/** Two connection pools for each backend server: one for calls, one for load probes. */
export class BackendConnections extends Disposable {
	private _relays: RelaySource | undefined;
	private readonly _pools: Readonly<Record<ConnectionUse, Map<BackendServerIdentity, ProcessPool>>> = {calls: new Map(), 'load-probes': new Map()};
	private readonly _settings: ConnectionSettings;
	private readonly _connect: buildConnector.connector;
	private _isEndReset = false;

	constructor(settings: ConnectionSettings) {
		super();
		this._settings = settings;
		this._connect = withDistinctResetCode(buildConnector({timeout: settings.connectMilliseconds}), isReset => {
			this._isEndReset = isReset;
			process.nextTick(() => {
				this._isEndReset = false;
			});
		});
		this._register(toDisposable(() => {
			for (const pools of Object.values(this._pools)) {
				for (const {pool} of pools.values()) {
					void pool.destroy();
				}

				pools.clear();
			}
		}));
	}

	/** While the end of a connection is handled: whether the connection was reset. */
	get isEndReset(): boolean {
		return this._isEndReset;
	}

	/** Sets the relays for connections that fail directly. A setter, since the engine that chooses them is created later. */
	setRelays(relays: RelaySource): void {
		this._relays = relays;
	}

	/**
	 * Returns the shared pool of a backend server's process. Closes the previous pool if the address, the process or the path
	 * has changed under the same identity: earlier connections may stay silent forever, or lead to an address that now belongs
	 * to another backend server.
	 */
	pool(target: Target, use: ConnectionUse = 'calls'): Pool {
		const {identity, address, port, processStartedAt, via} = target;
		const origin = originUrl(address, port);
		const pools = this._pools[use];
		const existing = pools.get(identity);
		if (existing?.origin === origin && existing.processStartedAt === processStartedAt && existing.via === via) {
			return existing.pool;
		}

		void existing?.pool.close();
		const pool = new Pool(origin, {
			...this._options(target),
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the pool passes on the options above.
			factory: (clientOrigin, options) => new AttemptClient(clientOrigin, options as AttemptClientOptions),
		});
		pools.set(identity, {
			pool, origin, processStartedAt, via,
		});
		return pool;
	}

	/**
	 * Sends a request on the shared pool: at once, or one or two cycles of the event loop later if all its open connections
	 * are in use. undici gives a connection back one cycle after its answer has ended, while the engine reacts to a report or
	 * an answer at once. Without the delay, a call that waited for such an answer would open a second connection.
	 * `isNeeded` is asked before a delayed request is sent.
	 */
	dispatch(target: Target, use: ConnectionUse, request: PooledRequest): void {
		this._dispatchSoon(this.pool(target, use), request, maxDelayCycles);
	}

	/** Returns a client with a new connection for a single attempt; the caller closes it. */
	createDedicatedClient(target: Target): Client {
		return new AttemptClient(originUrl(target.address, target.port), this._options(target));
	}

	/** Returns a client that opens a connection by exactly this path; the caller closes it. */
	createCheckClient(target: Target): Client {
		return new AttemptClient(originUrl(target.address, target.port), {...this._options(target), ...(target.via === undefined ? {connect: this._connect} : {})});
	}

	/** Closes the pools of backend servers that are not in `identities`, once their calls in flight have completed. */
	retain(identities: ReadonlySet<BackendServerIdentity>): void {
		for (const pools of Object.values(this._pools)) {
			for (const [identity, {pool}] of pools) {
				if (!identities.has(identity)) {
					pools.delete(identity);
					void pool.close();
				}
			}
		}
	}

	private _dispatchSoon(pool: Pool, request: PooledRequest, cyclesLeft: number): void {
		const {connected, free} = pool.stats;
		if (cyclesLeft === 0 || connected === 0 || free > 0) {
			pool.dispatch(request.options, request.handler);
			return;
		}

		setImmediate(() => {
			if (request.isNeeded()) {
				this._dispatchSoon(pool, request, cyclesLeft - 1);
			}
		});
	}

	private _options({identity, via}: Target): AttemptClientOptions {
		return {
			// No pipelining: a call queued behind a slow one would wait without the call engine's knowledge, and undici would
			// resend it on its own after a reset.
			pipelining: 1,
			allowH2: false,
			connect: via === undefined ? this._connectWithFallback(identity) : this._tunnelConnector(identity, via),
			keepAliveTimeout: this._settings.idleMilliseconds,
			keepAliveMaxTimeout: this._settings.idleMilliseconds,
			// The call engine enforces the deadline for the answer's head, but cannot detect silence within the body.
			headersTimeout: 0,
			bodyTimeout: this._settings.silenceMilliseconds ?? defaultSilenceMilliseconds,
		};
	}

	private _tunnelConnector(identity: BackendServerIdentity, via: string): buildConnector.connector {
		return tunnelConnector({
			via, identity, timeoutMilliseconds: this._settings.connectMilliseconds, resetCode,
		});
	}

	/** Opens a direct connection; if that fails, one through another VM. */
	private _connectWithFallback(identity: BackendServerIdentity): buildConnector.connector {
		return (options, callback) => {
			this._connect(options, (...result) => {
				const [error] = result;
				if (error === null) {
					callback(...result);
				} else {
					this._relays?.onDirectFailed(identity);
					this._connectRelayed(identity, options, {error, tried: new Set()}, callback);
				}
			});
		};
	}

	private _connectRelayed(identity: BackendServerIdentity, options: buildConnector.Options, {error, tried}: FailedConnection, callback: buildConnector.Callback): void {
		const via = tried.size < maxRelaysPerConnection ? this._relays?.nextRelay(identity, tried) : undefined;
		if (via === undefined) {
			callback(error, null);
			return;
		}

		tried.add(via);
		this._tunnelConnector(identity, via)(options, (...result) => {
			if (result[0] === null) {
				this._relays?.onRelayAsked(identity, via, true);
				callback(...result);
			} else if (result[0] instanceof NoRelayError) {
				this._relays?.onRelayAsked(identity, via, false);
				this._connectRelayed(identity, options, {error, tried}, callback);
			} else {
				callback(error, null);
			}
		});
	}
}
