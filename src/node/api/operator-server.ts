/** Listens for operators and hands their requests to the resource API. */
import {getRequestListener} from '@hono/node-server';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {closeListener} from '../front/close-listener.ts';
import {GracefulServer} from '../front/graceful-server.ts';
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

/** Longest that the end of the process waits for operators' answers: a write to the store is answered or lost within 2 s. */
const longestEnd: Milliseconds = 3000;

export type OperatorServerFailure = Failure<'cannot-listen'>;

/** The listening socket of the resource API; disposing it ends all its connections. */
export class OperatorServer extends Disposable {
	private readonly _server: GracefulServer;

	constructor(api: ResourceApi) {
		super();
		const listener = getRequestListener(async request => api.handle(request), {overrideGlobalObjects: false});
		this._server = this._register(new GracefulServer({headersTimeout: headTimeoutMilliseconds, requestTimeout: requestTimeoutMilliseconds}, (request, response) => {
			void listener(request, response);
		}));
		this._server.maxConnections = mostConnections;
	}

	/** Begins to listen; the answer is the port, which was chosen by the system where 0 was asked for. */
	listen(address: string, port: number): ResultAsync<number, OperatorServerFailure> {
		return new ResultAsync(this._listen(address, port));
	}

	/** The process ends: resolves when the answers under way are out, or when the longest time for them is over. */
	async end(): Promise<void> {
		return closeListener(this._server, longestEnd);
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
