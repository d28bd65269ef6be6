/** Finds free ports for programs whose settings contain each other's ports before any of them listens. */
import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

/**
 * These ports lie below the ephemeral range (from 32768 on Linux), from which the system assigns ports to outgoing connections
 * and to listeners on port 0. On a busy machine, another connection may take a free port of that range before the daemon
 * listens on it.
 */
const minPort = 20_000;
const maxPort = 32_000;

async function tryListen(port: number): Promise<Server | undefined> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(server);
		});
	});
}

async function listenOnRandomPort(): Promise<{server: Server; port: number}> {
	for (;;) {
		const port = randomInt(minPort, maxPort);
		const server = await tryListen(port);
		if (server !== undefined) {
			return {server, port};
		}
	}
}

/** Returns ports that were free during the call. Listens on all of them at once, so that no port is returned twice. */
export async function freePorts(count: number): Promise<number[]> {
	const listeners = await Promise.all(Array.from({length: count}, async () => listenOnRandomPort()));
	await Promise.all(listeners.map(async ({server}) => new Promise(resolve => {
		server.close(resolve);
	})));
	return listeners.map(({port}) => port);
}
