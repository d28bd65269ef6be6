import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

const bodyBytes = 200_000_000;
/** Upper bound for the bytes in the socket buffers of both hops on Linux, with a margin; far less than the body. */
const maxBufferedBytes = 64_000_000;
/** Longer than the test, so that neither a stall timeout nor the time limit of a call ends it. */
const longMilliseconds = 60_000;
const chunk = Buffer.alloc(65_536, 'f');
const requiredStablePolls = 25;
const pollMilliseconds = 20;

/** Writes the body as fast as the socket accepts it; `sent` returns the number of bytes that have left this process. */
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

/** Resolves with the value once it has stopped changing. */
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

/** Resumes reading; resolves with the number of received bytes once it reaches `expected`. */
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

describe('backpressure', () => {
	let store: DisposableStore;

	beforeEach(() => {
		store = new DisposableStore();
	});

	afterEach(() => {
		store.dispose();
	});

	// Without backpressure a VM buffers all that a fast backend server sends to a slow caller; a few large downloads then exhaust
	// its memory and end the process with all other calls.
	it('stops reading from the backend server while the caller does not read, and delivers the rest later', async () => {
		let writer: {sent: () => number} | undefined;
		const port = await startRawServer(store, socket => {
			socket.once('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
				writer = writeBody(socket);
			});
		});
		const front = await startFrontend(store, [port], {stallMilliseconds: longMilliseconds});
		const {socket, path} = connectTo(store, front.url);
		socket.write(`GET ${path}/film HTTP/1.1\r\nhost: test\r\n\r\n`);
		const head = await firstBytes(socket);
		socket.pause();
		expect(await waitUntilStable(() => writer!.sent())).toBeLessThan(maxBufferedBytes);
		const rest = bodyBytes - (head.length - head.indexOf('\r\n\r\n') - 4);
		expect(await countBytes(socket, rest)).toEqual(rest);
	});

	// The same for an upload to a backend server that reads slowly.
	it('stops reading from the caller while the backend server does not read', async () => {
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
		const front = await startFrontend(store, [port], {bodyBytes, stallMilliseconds: longMilliseconds}, longMilliseconds);
		const {socket, path} = connectTo(store, front.url);
		socket.write(`PUT ${path}/film HTTP/1.1\r\nhost: test\r\njaydale-timeout-milliseconds: ${longMilliseconds}\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
		const writer = writeBody(socket);
		expect(await waitUntilStable(() => writer.sent())).toBeLessThan(maxBufferedBytes);
		backend!.resume();
		const answer = await firstBytes(socket);
		expect(answer.toString('latin1').split('\r\n')[0]).toEqual('HTTP/1.1 200 OK');
		expect(received).toEqual(bodyBytes);
	});
});
