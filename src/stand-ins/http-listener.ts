/** A node:http server of a stand-in: its port, its sockets and their end in one place. */
import {type Socket} from 'node:net';
import {createServer, type RequestListener, type Server} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {Disposable, toDisposable} from '../common/lifecycle/disposable.ts';

/** Why a stand-in could not start. */
export type ListenFailure = Failure<'not-listening'>;

/** What a listener needs to know. */
export type HttpListenerSettings = {
	/** IP number to listen on. */
	readonly address: string;
	/** 0 = any free port. */
	readonly port: number;
	/** Connections beyond this are closed as soon as they are accepted; undefined = no limit. */
	readonly connectionLimit?: number;
};

/** Listens and keeps track of every open socket, so that a crash or a silence can be played on all. */
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

	/** Open connections. */
	get connections(): number {
		return this._sockets.size;
	}

	/** The sockets open now. */
	openSockets(): readonly Socket[] {
		return [...this._sockets];
	}

	/** Cuts every open connection without a word. */
	destroySockets(): void {
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	/** Starts to listen; the value is the port. */
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
