/** Opening a listener: a server listens on an address of this VM, or a typed failure says why not. */
import {type Server} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {type EarlyListener} from './early-listener.ts';

/** How a listener is opened. */
export type ListenOptions = {
	/** Connections that may wait to be taken. */
	readonly backlog?: number | undefined;
	/** A listener at this address that was opened before. */
	readonly early?: EarlyListener | undefined;
};

/** Resolves with the port, which the system has chosen where `port` is 0. */
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

		if (early?.handTo(server, backlog, onListening) !== true) {
			server.listen(port, address, backlog, onListening);
		}
	});
}
