/** A node:http server for stand-ins that keeps track of its open sockets. */
import {type Socket} from 'node:net';
import {createServer, type RequestListener, type Server} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {Disposable, toDisposable} from '../common/lifecycle/disposable.ts';

/** Why a stand-in could not listen. */
export type ListenFailure = Failure<'not-listening'>;

/** Settings of a listener. */
export type HttpListenerSettings = {
	/** IP address to listen on. */
	readonly address: string;
	/** 0 selects a free port. */
	readonly port: number;
	/** Further connections are closed as soon as they are accepted; no limit if undefined. */
	readonly connectionLimit?: number;
};

/** Keeps every open socket, so that a stand-in can simulate a crash or silence on all of them. */
export class HttpListener extends Disposable {
	private readonly _server: Server;
	private readonly _sockets = new Set<Socket>();

	constructor(private readonly _settings: HttpListenerSettings, handleRequest: RequestListener) {
		super();
		this._server = createServer({keepAliveTimeout: 60_000, noDelay: true}, handleRequest);
		if (_settings.connectionLimit !== undefined) {
			this._server.maxConnections = _settings.connectionLimit;
		}

		this._server.on('connection', socket => {
			this._sockets.add(socket);
			socket.once('close', () => {
				this._sockets.delete(socket);
			});
		});
		this._register(toDisposable(() => {
			this._server.close();
			this.destroySockets();
		}));
	}

	/** Number of open connections. */
	get connections(): number {
		return this._sockets.size;
	}

	/** The currently open sockets. */
	openSockets(): readonly Socket[] {
		return [...this._sockets];
	}

	/** Destroys all open sockets without sending a response. */
	destroySockets(): void {
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	/** Starts to listen, and resolves with the port. */
	async listen(): Promise<Result<number, ListenFailure>> {
		return new Promise(resolve => {
			this._server.once('error', error => {
				resolve(err(failure('not-listening', `Cannot listen on ${this._settings.address}:${this._settings.port}: ${error.message}`)));
			});
			this._server.listen(this._settings.port, this._settings.address, () => {
				const bound = this._server.address();
				resolve(ok(typeof bound === 'object' && bound !== null ? bound.port : this._settings.port));
			});
		});
	}
}
