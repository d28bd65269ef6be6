/** Ports for programs that need to know their neighbours' before anybody listens. */
import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

/**
 * Below the range from which systems give ports to outgoing connections and to listeners that take any
 * (32768 upwards on Linux): a port of that range, free a moment ago, is taken by somebody else's next
 * connection on a busy machine, and the daemon that was to have it cannot listen.
 */
const lowestPort = 20_000;
const highestPort = 32_000;

async function tryHold(port: number): Promise<Server | undefined> {
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

async function hold(): Promise<{server: Server; port: number}> {
	for (;;) {
		const port = randomInt(lowestPort, highestPort);
		const server = await tryHold(port);
		if (server !== undefined) {
			return {server, port};
		}
	}
}

/** Ports that were free a moment ago. All are held at once, so that none is given twice. */
export async function freePorts(count: number): Promise<number[]> {
	const held = await Promise.all(Array.from({length: count}, async () => hold()));
	await Promise.all(held.map(async ({server}) => new Promise(resolve => {
		server.close(resolve);
	})));
	return held.map(({port}) => port);
}
