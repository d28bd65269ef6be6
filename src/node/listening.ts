/** Opens listeners and returns a typed failure if that is impossible. */
import {type Server} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {type EarlyListener} from './early-listener.ts';

/** Options of a listener. */
export type ListenOptions = {
	/** Number of connections that the kernel queues until they are accepted. */
	readonly backlog?: number | undefined;
	/** A listener that is already open on this address. */
	readonly early?: EarlyListener | undefined;
	/** Called with each later error, such as a connection that could not be accepted. The listener stays open. */
	readonly onError?: ((error: Error) => void) | undefined;
};

/** Resolves with the port; the system chooses it if `port` is 0. May be called again after a failure. */
export async function listenOn(server: Server, port: number, address: string, {backlog, early, onError}: ListenOptions = {}): Promise<Result<number, Failure<'cannot-listen'>>> {
	return new Promise(resolve => {
		const onFailed = (error: Error) => {
			server.off('listening', onListening);
			resolve(err(failure('cannot-listen', `${address}:${port} cannot be listened on: ${error.message}`)));
		};

		const onListening = () => {
			server.off('error', onFailed);
			// Node throws an `error` event that has no handler, which would end the process.
			server.on('error', error => {
				onError?.(error);
			});
			const bound = server.address();
			resolve(ok(typeof bound === 'object' && bound !== null ? bound.port : port));
		};

		server.once('error', onFailed);
		server.once('listening', onListening);
		if (early?.transferTo(server, backlog) !== true) {
			server.listen(port, address, backlog);
		}
	});
}
