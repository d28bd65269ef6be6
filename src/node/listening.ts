/** Opens listeners and returns a typed failure if that is impossible. */
import {type Server} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {type EarlyListener} from './early-listener.ts';

/** Options of a listener. */
export type ListenOptions = {
	/** Number of connections that the kernel queues until they are accepted. */
	readonly backlog?: number | undefined;
	/** A listener that is already open on this address. */
	readonly early?: EarlyListener | undefined;
};

/** Resolves with the port; the system chooses it if `port` is 0. */
export async function listenOn(server: Server, port: number, address: string, {backlog, early}: ListenOptions = {}): Promise<Result<number, Failure<'cannot-listen'>>> {
	return new Promise(resolve => {
		const onError = (error: Error) => {
			resolve(err(failure('cannot-listen', `${address}:${port} cannot be listened on: ${error.message}`)));
		};

		server.once('error', onError);
		const onListening = () => {
			server.off('error', onError);
			const bound = server.address();
			resolve(ok(typeof bound === 'object' && bound !== null ? bound.port : port));
		};

		if (early?.transferTo(server, backlog, onListening) !== true) {
			server.listen(port, address, backlog, onListening);
		}
	});
}
