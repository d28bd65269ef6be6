import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

const bodyBytes = 200_000_000;
/** What sockets of both hops may hold on Linux at most, with room: far less than the film. */
const maxBufferedBytes = 64_000_000;
/** Longer than the test: who takes nothing is waited for here. */
const longStallMilliseconds = 60_000;
const chunk = Buffer.alloc(65_536, 'f');
const requiredStablePolls = 25;
const pollMilliseconds = 20;

/** Writes the film as fast as the socket takes it; `sent` tells how much has left this process. */
function writeBody(socket: Socket): {sent: () => number} {
	let written = 0;
	const writeMore = (): void => {
		while (written < bodyBytes) {
			const next = chunk.subarray(0, Math.min(chunk.length, bodyBytes - written));
			written += next.length;
			if (!socket.write(next)) {
				socket.once('drain', writeMore);
				return;
			}
		}
	};

	writeMore();
	return {sent: () => written - socket.writableLength};
}

/** Waits until a number no longer grows. */
async function waitUntilStable(read: () => number): Promise<number> {
	let last = -1;
	for (let stablePolls = 0; stablePolls < requiredStablePolls; stablePolls++) {
		const value = read();
		stablePolls = value === last ? stablePolls : 0;
		last = value;
		await delay(pollMilliseconds);
	}

	return last;
}

async function firstBytes(socket: Socket): Promise<Buffer> {
	return new Promise(resolve => {
		socket.once('data', resolve);
	});
}

/** Reads on until as many bytes have come as are wanted. */
async function countBytes(socket: Socket, expected: number): Promise<number> {
	let received = 0;
	return new Promise(resolve => {
		socket.on('data', bytes => {
			received += bytes.length;
			if (received >= expected) {
				resolve(received);
			}
		});
		socket.resume();
	});
}

function connectTo(store: DisposableStore, url: string): {socket: Socket; path: string} {
	const {hostname, port, pathname} = new URL(url);
	const socket = connect(Number(port), hostname);
	socket.on('error', () => undefined);
	store.add(toDisposable(() => {
		socket.destroy();
	}));
	return {socket, path: pathname};
}

describe('back pressure', () => {
	let store: DisposableStore;

	beforeEach(() => {
		store = new DisposableStore();
	});

	afterEach(() => {
		store.dispose();
	});

	// A judge's slow line takes a film for an hour. The backend server sends as fast as it can, the VM keeps
	// what the line has not taken, and a few such downloads end the process with everybody else's calls.
	it('holds a backend server back while its caller takes nothing, and passes the rest on later', async () => {
		let upload: {sent: () => number} | undefined;
		const port = await startRawServer(store, socket => {
			socket.once('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
				upload = writeBody(socket);
			});
		});
		const front = await startFrontend(store, [port], {stallMilliseconds: longStallMilliseconds});
		const {socket, path} = connectTo(store, front.url);
		socket.write(`GET ${path}/film HTTP/1.1\r\nhost: test\r\n\r\n`);
		const head = await firstBytes(socket);
		socket.pause();
		expect(await waitUntilStable(() => upload!.sent())).toBeLessThan(maxBufferedBytes);
		const rest = bodyBytes - (head.length - head.indexOf('\r\n\r\n') - 4);
		expect(await countBytes(socket, rest)).toEqual(rest);
	});

	// The same the other way: footage is sent in to a backend server that takes it slowly.
	it('holds a caller back while the backend server takes nothing', async () => {
		let backend: Socket | undefined;
		let received = 0;
		const port = await startRawServer(store, socket => {
			backend = socket;
			socket.once('data', (first: Buffer) => {
				received += first.length - first.indexOf('\r\n\r\n') - 4;
				socket.pause();
				socket.on('data', (bytes: Buffer) => {
					received += bytes.length;
					if (received >= bodyBytes) {
						socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
					}
				});
				socket.pause();
			});
		});
		const front = await startFrontend(store, [port], {bodyBytes, stallMilliseconds: longStallMilliseconds});
		const {socket, path} = connectTo(store, front.url);
		socket.write(`PUT ${path}/film HTTP/1.1\r\nhost: test\r\njaydale-timeout-milliseconds: 60000\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
		const upload = writeBody(socket);
		expect(await waitUntilStable(() => upload.sent())).toBeLessThan(maxBufferedBytes);
		backend!.resume();
		const answer = await firstBytes(socket);
		expect(answer.toString('latin1').split('\r\n')[0]).toEqual('HTTP/1.1 200 OK');
		expect(received).toEqual(bodyBytes);
	});
});
