/** Listens for operators and hands their requests to the resource API. */
import {createServer, type Server} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type ResourceApi} from './resource-api.ts';

/**
 * A client that sends its head byte by byte would hold a connection for good; operators' clients send
 * theirs within milliseconds.
 */
const headTimeoutMilliseconds = 10_000;

/** The whole request, its body included: apply files are a few hundred kilobytes. */
const requestTimeoutMilliseconds = 60_000;

/** Operators and their programs are few; more connections than this are a fault or an attack. */
const mostConnections = 200;

export type OperatorServerFailure = Failure<'cannot-listen'>;

/** The listening socket of the resource API; disposing it ends all its connections. */
export class OperatorServer extends Disposable {
	private readonly _server: Server;

	constructor(api: ResourceApi) {
		super();
		const listener = getRequestListener(async request => api.handle(request), {overrideGlobalObjects: false});
		const server = createServer({headersTimeout: headTimeoutMilliseconds, requestTimeout: requestTimeoutMilliseconds}, (request, response) => {
			void listener(request, response);
		});
		server.maxConnections = mostConnections;
		this._server = server;
		this._register(toDisposable(() => {
			server.close();
			server.closeAllConnections();
		}));
	}

	/** Begins to listen; the answer is the port, which was chosen by the system where 0 was asked for. */
	listen(address: string, port: number): ResultAsync<number, OperatorServerFailure> {
		return new ResultAsync(this._listen(address, port));
	}

	private async _listen(address: string, port: number): Promise<Result<number, OperatorServerFailure>> {
		const server = this._server;
		return new Promise(resolve => {
			const onError = (error: Error) => {
				resolve(err(failure('cannot-listen', `${address}:${port} cannot be listened on: ${error.message}`, {field: 'operators.port'})));
			};

			server.once('error', onError);
			server.listen(port, address, () => {
				server.off('error', onError);
				const bound = server.address();
				resolve(ok(bound !== null && typeof bound === 'object' ? bound.port : port));
			});
		});
	}
}
