/** Closes a listener whose answers are short, such as pages and operators' requests. */
import {type Milliseconds} from '../../common/model/units.ts';
import {type GracefulServer} from './graceful-server.ts';

/**
 * Stops accepting connections; resolves when all open connections have closed, each after its current answer, or after
 * `maxMilliseconds`. A process that waited only for calls before it exited would reset these connections, and clients could not
 * find out whether their requests had taken effect.
 */
export async function closeListener(server: GracefulServer, maxMilliseconds: Milliseconds): Promise<void> {
	server.disableKeepAlive();
	return new Promise(resolve => {
		const timer = setTimeout(resolve, maxMilliseconds);
		server.once('close', () => {
			clearTimeout(timer);
			resolve();
		});
		server.stopListening();
	});
}
