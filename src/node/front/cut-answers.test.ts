import {connect, type Socket} from 'node:net';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {listenOn} from '../listening.ts';
import {markCloseDelimited} from './cut-answer.ts';
import {GracefulServer} from './graceful-server.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

const partBytes = 300_000;
const part = 'f'.repeat(partBytes);

/** How a backend server begins its answer, which lacks its end, and by what a caller can tell. */
const framings = {
	'without a length': {framing: `HTTP/1.1 200 OK\r\n\r\n${part}`, sign: 'reset'},
	'without a length, before a close': {framing: `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${part}`, sign: 'reset'},
	'with a length': {framing: `HTTP/1.1 200 OK\r\nContent-Length: ${2 * partBytes}\r\n\r\n${part}`, sign: 'bytes are missing'},
	chunked: {framing: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${partBytes.toString(16)}\r\n${part}\r\n`, sign: 'bytes are missing'},
} as const;

/** Reads an answer whose backend server resets its connection in the middle. */
async function readCutAnswer(framing: string): Promise<string> {
	const store = new DisposableStore();
	let backend: Socket | undefined;
	const port = await startRawServer(store, socket => {
		socket.once('data', () => {
			backend = socket;
			socket.write(framing);
		});
	});
	const front = await startFrontend(store, [port], {stallMilliseconds: 60_000});
	const outcome = await readUntilClosed(`${front.url}/film`, () => {
		backend!.resetAndDestroy();
	});
	store.dispose();
	return outcome;
}

/** Reads an answer, and calls `onPart` when the part has arrived; resolves with how a caller can tell its end. */
async function readUntilClosed(url: string, onPart: () => void): Promise<string> {
	return new Promise(resolve => {
		const {hostname, port, pathname} = new URL(url);
		const socket = connect(Number(port), hostname);
		let text = '';
		let isReset = false;
		socket.on('data', chunk => {
			const wasShort = text.length < partBytes;
			text += chunk.toString('latin1');
			if (wasShort && text.length >= partBytes) {
				onPart();
			}
		});
		socket.on('error', () => {
			isReset = true;
		});
		socket.on('close', () => {
			const isFramed = /^(?:content-length|transfer-encoding):/imv.test(text.slice(0, text.indexOf('\r\n\r\n')));
			const framed = text.endsWith('0\r\n\r\n') || text.length > 2 * partBytes ? 'complete' : 'bytes are missing';
			resolve(isReset ? 'reset' : (isFramed ? framed : 'complete'));
		});
		socket.write(`GET ${pathname} HTTP/1.1\r\nHost: one\r\n\r\n`);
	});
}

describe('an answer that has failed after its head', () => {
	for (const [name, {framing, sign}] of Object.entries(framings)) {
		// Guards callers against a truncated answer that ends like a complete one.
		it(`does not look complete when its backend server resets the connection: ${name}`, async () => {
			expect(await readCutAnswer(framing)).toEqual(sign);
		});
	}

	// The same if the reset arrives together with the last bytes, which the event loop reports as a regular end.
	it('does not look complete when its last bytes and the reset arrive together: without a length', async () => {
		const store = new DisposableStore();
		const port = await startRawServer(store, socket => {
			socket.once('data', () => {
				socket.write(framings['without a length'].framing.slice(0, -1), () => {
					setTimeout(() => {
						socket.write('f');
						socket.resetAndDestroy();
					}, 30);
				});
			});
		});
		const front = await startFrontend(store, [port]);
		const ends = new Set<string>();
		for (let call = 0; call < 20; call++) {
			ends.add(await readUntilClosed(`${front.url}/film`, () => undefined));
		}

		store.dispose();
		expect([...ends]).toEqual(['reset']);
	});

	// The same for answers that are still being sent when the process ends.
	it('does not look complete when the VM closes all connections: without a length', async () => {
		const store = new DisposableStore();
		const server = store.add(new GracefulServer({}, (_incoming, outgoing) => {
			outgoing.removeHeader('transfer-encoding');
			outgoing.shouldKeepAlive = false;
			outgoing.writeHead(200, ['connection', 'close']);
			markCloseDelimited(outgoing);
			outgoing.write(part);
		}, () => false));
		const port = await listenOn(server, 0, '127.0.0.1');
		const outcome = await readUntilClosed(`http://127.0.0.1:${port._unsafeUnwrap()}/film`, () => {
			server.destroyConnections();
		});
		store.dispose();
		expect(outcome).toEqual('reset');
	});
});
