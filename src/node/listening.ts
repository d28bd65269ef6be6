/** Opening a door: a server listens on an address of this VM, or a typed failure says why not. */
import {type Server} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';

/** Resolves with the port, which the system has chosen where `port` is 0. `backlog` = connections that may wait to be taken. */
export async function listenOn(server: Server, port: number, address: string, backlog?: number): Promise<Result<number, Failure<'cannot-listen'>>> {
	return new Promise(resolve => {
		const onError = (error: Error) => {
			resolve(err(failure('cannot-listen', `${address}:${port} cannot be listened on: ${error.message}`)));
		};

		server.once('error', onError);
		server.listen(port, address, backlog, () => {
			server.off('error', onError);
			const bound = server.address();
			resolve(ok(typeof bound === 'object' && bound !== null ? bound.port : port));
		});
	});
}
