/** Ports for programs that need to know their neighbours' before anybody listens. */
import {createServer, type Server} from 'node:net';

async function hold(): Promise<{server: Server; port: number}> {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, '127.0.0.1', () => {
			const bound = server.address();
			resolve({server, port: typeof bound === 'object' && bound !== null ? bound.port : 0});
		});
	});
}

/**
 * Ports that were free a moment ago. All are held at once, so that none is given twice; another
 * program could still take one before its user does, which then fails to listen and says so.
 */
export async function freePorts(count: number): Promise<number[]> {
	const held = await Promise.all(Array.from({length: count}, async () => hold()));
	await Promise.all(held.map(async ({server}) => new Promise(resolve => {
		server.close(resolve);
	})));
	return held.map(({port}) => port);
}
