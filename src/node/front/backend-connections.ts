/**
 * Connections to backend servers. The number of connections follows the calls in flight, which the
 * call engine bounds; idle ones close after `idleMilliseconds`.
 */
import {buildConnector, Client, Pool} from 'undici';
import {type BackendServerIdentity, type CallEffect} from '../../common/calls/types.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

type Target = Pick<CallEffect & {type: 'start-attempt'}, 'identity' | 'address' | 'port' | 'processStartedAt'>;

/** Connections to one process of a backend server. */
type ProcessPool = {readonly pool: Pool; readonly origin: string; readonly processStartedAt: number | undefined};

/** Settings of connections to backend servers. */
export type ConnectionSettings = {
	readonly connectMilliseconds: Milliseconds;
	readonly idleMilliseconds: Milliseconds;
	/** Longest time without a byte of an answer that has begun. */
	readonly silenceMilliseconds?: Milliseconds;
};

/**
 * Guards callers against a connection that goes silent in the middle of an answer: no deadline ends an answer
 * that has begun, so its caller would wait without end. Time in which the caller itself reads slowly does not
 * count. Ten seconds leave room for a backend server that pauses; what breaks off may be resumed elsewhere.
 */
const usualSilenceMilliseconds: Milliseconds = 10_000;

/** Base URL of an address; IPv6 numbers stand in brackets. */
export function originOf(address: string, port: number): string {
	return address.includes(':') ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}

/** Code of a reset that the library must not take for an end; see `resetAware`. */
const resetCode = 'JAYDALE_CONNECTION_RESET';

/**
 * Guards against half an answer that looks whole. An answer without a length ends with its connection, and undici
 * takes a reset of that connection for its end too: a backend server that crashes in the middle would hand its caller a
 * short body as a complete one. Under another code undici treats the reset as the failure that it is.
 */
function resetAware(connect: buildConnector.connector): buildConnector.connector {
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

/** One pool for each backend server. */
export class BackendConnections extends Disposable {
	private readonly _pools = new Map<BackendServerIdentity, ProcessPool>();
	private readonly _settings: ConnectionSettings;
	private readonly _connect: buildConnector.connector;

	constructor(settings: ConnectionSettings) {
		super();
		this._settings = settings;
		this._connect = resetAware(buildConnector({timeout: settings.connectMilliseconds}));
		this._register(toDisposable(() => {
			for (const {pool} of this._pools.values()) {
				void pool.destroy();
			}

			this._pools.clear();
		}));
	}

	/**
	 * The shared pool of a backend server's process. Guards calls against connections to a process that another one has
	 * replaced under its identity: they may be silent for good, or lead to an address that is no longer its own.
	 */
	pool({identity, address, port, processStartedAt}: Target): Pool {
		const origin = originOf(address, port);
		const known = this._pools.get(identity);
		if (known?.origin === origin && known.processStartedAt === processStartedAt) {
			return known.pool;
		}

		void known?.pool.close();
		const pool = new Pool(origin, this._options());
		this._pools.set(identity, {pool, origin, processStartedAt});
		return pool;
	}

	/** A connection of its own, used for one attempt and then closed. */
	fresh(target: Target): Client {
		return new Client(originOf(target.address, target.port), this._options());
	}

	/** Ends the pools of backend servers that are no longer declared, after their calls in flight. */
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
			// One call a connection: a pipelined call behind a slow one would wait unseen, and undici
			// would send it again by itself after a reset.
			pipelining: 1,
			allowH2: false,
			connect: this._connect,
			keepAliveTimeout: this._settings.idleMilliseconds,
			keepAliveMaxTimeout: this._settings.idleMilliseconds,
			// Deadlines belong to the call engine; these only bound what it cannot see.
			headersTimeout: 0,
			bodyTimeout: this._settings.silenceMilliseconds ?? usualSilenceMilliseconds,
		};
	}
}
