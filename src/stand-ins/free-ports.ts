/** Finds free ports for programs whose settings contain each other's ports before any of them listens. */
import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

/** A range of ports: `min` is included, `max` is not. */
export type PortRange = {readonly min: number; readonly max: number};

/**
 * These ports lie below the ephemeral range (from 32768 on Linux), from which the system assigns ports to outgoing connections
 * and to listeners on port 0. On a busy machine, another connection may take a free port of that range before the daemon
 * listens on it.
 */
const daemonPorts: PortRange = {min: 20_000, max: 32_000};

/**
 * Ports for listeners that close and later listen again on the same port. The range does not overlap with the daemons' ports,
 * which are chosen some time before a daemon listens on them.
 */
export const reopenedPorts: PortRange = {min: 12_000, max: 20_000};

/** Ports that this process has returned. A program that is still starting has not bound its port yet. */
const returnedPorts = new Set<number>();

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

async function listenOnRandomPort({min, max}: PortRange): Promise<{server: Server; port: number}> {
	for (;;) {
		const port = randomInt(min, max);
		const server = returnedPorts.has(port) ? undefined : await tryListen(port);
		if (server !== undefined) {
			return {server, port};
		}
	}
}

/** Returns ports that were free during the call, each of them once until half of the range has been returned. */
export async function freePorts(count: number, range = daemonPorts): Promise<number[]> {
	if (returnedPorts.size > (range.max - range.min) / 2) {
		returnedPorts.clear();
	}

	const listeners = await Promise.all(Array.from({length: count}, async () => listenOnRandomPort(range)));
	for (const {port} of listeners) {
		returnedPorts.add(port);
	}

	await Promise.all(listeners.map(async ({server}) => new Promise(resolve => {
		server.close(resolve);
	})));
	return listeners.map(({port}) => port);
}
