/** The end of a listener whose answers are short: pages, and operators' requests. */
import {type Milliseconds} from '../../common/model/units.ts';
import {type GracefulServer} from './graceful-server.ts';

/**
 * Takes no new connections; resolves when those open have ended, each after the answer that is under way on it, or when the
 * time is over. Guards answers against the end of a process that only calls held up: what the listener still owed was
 * reset with it, and whoever had asked could not tell what had become of it.
 */
export async function closeListener(server: GracefulServer, longest: Milliseconds): Promise<void> {
	server.leave();
	return new Promise(resolve => {
		const timer = setTimeout(resolve, longest);
		server.close(() => {
			// A listener that never listened has nothing under way, and its failure to close says nothing else.
			clearTimeout(timer);
			resolve();
		});
	});
}
