import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {startFront, startRaw} from './test-utilities.test.ts';

const filmBytes = 200_000_000;
/** What sockets of both hops may hold on Linux at most, with room: far less than the film. */
const heldBytes = 64_000_000;
/** Longer than the test: who takes nothing is waited for here. */
const patience = 60_000;
const chunk = Buffer.alloc(65_536, 'f');
const quietPolls = 25;
const pollMilliseconds = 20;

/** Writes the film as fast as the socket takes it; `sent` tells how much has left this process. */
function pour(socket: Socket): {sent: () => number} {
	let written = 0;
	const more = (): void => {
		while (written < filmBytes) {
			const next = chunk.subarray(0, Math.min(chunk.length, filmBytes - written));
			written += next.length;
			if (!socket.write(next)) {
				socket.once('drain', more);
				return;
			}
		}
	};

	more();
	return {sent: () => written - socket.writableLength};
}

/** Waits until a number no longer grows. */
async function settled(read: () => number): Promise<number> {
	let last = -1;
	for (let quiet = 0; quiet < quietPolls; quiet++) {
		const value = read();
		quiet = value === last ? quiet : 0;
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
async function countBytes(socket: Socket, wanted: number): Promise<number> {
	let received = 0;
	return new Promise(resolve => {
		socket.on('data', bytes => {
			received += bytes.length;
			if (received >= wanted) {
				resolve(received);
			}
		});
		socket.resume();
	});
}

function open(store: DisposableStore, url: string): {socket: Socket; path: string} {
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
		let film: {sent: () => number} | undefined;
		const port = await startRaw(store, socket => {
			socket.once('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${filmBytes}\r\n\r\n`);
				film = pour(socket);
			});
		});
		const front = await startFront(store, [port], {stallMilliseconds: patience});
		const {socket, path} = open(store, front.url);
		socket.write(`GET ${path}/film HTTP/1.1\r\nhost: test\r\n\r\n`);
		const head = await firstBytes(socket);
		socket.pause();
		expect(await settled(() => film!.sent())).toBeLessThan(heldBytes);
		const rest = filmBytes - (head.length - head.indexOf('\r\n\r\n') - 4);
		expect(await countBytes(socket, rest)).toEqual(rest);
	});

	// The same the other way: footage is sent in to a backend server that takes it slowly.
	it('holds a caller back while the backend server takes nothing', async () => {
		let backend: Socket | undefined;
		let received = 0;
		const port = await startRaw(store, socket => {
			backend = socket;
			socket.once('data', (first: Buffer) => {
				received += first.length - first.indexOf('\r\n\r\n') - 4;
				socket.pause();
				socket.on('data', (bytes: Buffer) => {
					received += bytes.length;
					if (received >= filmBytes) {
						socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
					}
				});
				socket.pause();
			});
		});
		const front = await startFront(store, [port], {bodyBytes: filmBytes, stallMilliseconds: patience});
		const {socket, path} = open(store, front.url);
		socket.write(`PUT ${path}/film HTTP/1.1\r\nhost: test\r\njaydale-timeout-milliseconds: 60000\r\ncontent-length: ${filmBytes}\r\n\r\n`);
		const film = pour(socket);
		expect(await settled(() => film.sent())).toBeLessThan(heldBytes);
		backend!.resume();
		const answer = await firstBytes(socket);
		expect(answer.toString('latin1').split('\r\n')[0]).toEqual('HTTP/1.1 200 OK');
		expect(received).toEqual(filmBytes);
	});
});
