/** Ports for programs that need to know their neighbours' before anybody listens. */
import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

/**
 * Below the range from which systems give ports to outgoing connections and to listeners that take any
 * (32768 upwards on Linux): a port of that range, free a moment ago, is taken by somebody else's next
 * connection on a busy machine, and the daemon that was to have it cannot listen.
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

/** Ports that were free a moment ago. All are held at once, so that none is given twice. */
export async function freePorts(count: number): Promise<number[]> {
	const listeners = await Promise.all(Array.from({length: count}, async () => listenOnRandomPort()));
	await Promise.all(listeners.map(async ({server}) => new Promise(resolve => {
		server.close(resolve);
	})));
	return listeners.map(({port}) => port);
}
