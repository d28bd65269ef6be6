/** HTTP server of the resource API. */
import {getRequestListener} from '@hono/node-server';
import {ResultAsync} from 'neverthrow';
import {type Failure} from '../../common/errors/failure.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {closeListener} from '../front/close-listener.ts';
import {GracefulServer} from '../front/graceful-server.ts';
import {type ListenOptions, listenOn} from '../listening.ts';
import {type ResourceApi} from './resource-api.ts';

/**
 * Time-out for the request head. Without it, a client that sends its head byte by byte holds a connection indefinitely;
 * operators' clients send theirs within milliseconds.
 */
const headTimeoutMilliseconds = 10_000;

/** Time-out for the complete request including its body; files for `apply` have a few hundred kilobytes. */
const requestTimeoutMilliseconds = 60_000;

/** Maximum number of connections. Operators and their programs are few; more connections indicate a fault or an attack. */
const maxConnections = 200;

/** Maximum time for which the end of the process waits for responses to operators; a write to the store is answered or lost within 2 s. */
const maxEndMilliseconds: Milliseconds = 3000;

export type OperatorServerFailure = Failure<'cannot-listen'>;

/** Serves the resource API; disposing it closes all its connections. */
export class OperatorServer extends Disposable {
	private readonly _server: GracefulServer;

	constructor(api: ResourceApi) {
		super();
		const listener = getRequestListener(async request => api.handle(request), {overrideGlobalObjects: false});
		this._server = this._register(new GracefulServer({headersTimeout: headTimeoutMilliseconds, requestTimeout: requestTimeoutMilliseconds}, (request, response) => {
			void listener(request, response);
		}));
		this._server.maxConnections = maxConnections;
	}

	/** Starts to listen and resolves with the port; the system chooses it if `port` is 0. */
	listen(address: string, port: number, options?: ListenOptions): ResultAsync<number, OperatorServerFailure> {
		return new ResultAsync(listenOn(this._server, port, address, options));
	}

	/** Closes the listener at the end of the process; resolves when all responses in progress are sent or the time limit is reached. */
	async end(): Promise<void> {
		return closeListener(this._server, maxEndMilliseconds);
	}
}
