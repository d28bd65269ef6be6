import {connect, type Socket} from 'node:net';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {listenOn} from '../listening.ts';
import {markCloseDelimited} from './cut-answer.ts';
import {GracefulServer} from './graceful-server.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

const partBytes = 300_000;
const part = 'f'.repeat(partBytes);

/** How a backend server begins its answer, which lacks its end. */
const framings = {
	'without a length': `HTTP/1.1 200 OK\r\n\r\n${part}`,
	'without a length, before a close': `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${part}`,
	'with a length': `HTTP/1.1 200 OK\r\nContent-Length: ${2 * partBytes}\r\n\r\n${part}`,
	chunked: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${partBytes.toString(16)}\r\n${part}\r\n`,
} as const;

type Version = '1.0' | '1.1';

/** The two ways to tell that an answer is not complete. */
type Signs = {readonly isReset: boolean; readonly framed: 'complete' | 'incomplete' | 'not framed'};

/** Reads an answer whose backend server resets its connection in the middle. */
async function readCutAnswer(framing: string, version: Version): Promise<Signs> {
	const store = new DisposableStore();
	let backend: Socket | undefined;
	const port = await startRawServer(store, socket => {
		socket.once('data', () => {
			backend = socket;
			socket.write(framing);
		});
	});
	const front = await startFrontend(store, [port], {stallMilliseconds: 60_000});
	const signs = await readUntilClosed(`${front.url}/film`, version, () => {
		backend!.resetAndDestroy();
	});
	store.dispose();
	return signs;
}

/** Reads an answer, and calls `onPart` when the part has arrived; resolves with how a caller can tell its end. */
async function readUntilClosed(url: string, version: Version, onPart: () => void): Promise<Signs> {
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
			const isComplete = text.endsWith('0\r\n\r\n') || text.length > 2 * partBytes;
			resolve({isReset, framed: isFramed ? (isComplete ? 'complete' : 'incomplete') : 'not framed'});
		});
		socket.write(`GET ${pathname} HTTP/${version}\r\nHost: one\r\n\r\n`);
	});
}

describe('an answer that has failed after its head', () => {
	for (const [name, framing] of Object.entries(framings)) {
		// Guards callers against a truncated answer that ends like a complete one, also where they take a reset for a regular end.
		it(`does not look complete when its backend server resets the connection: ${name}`, async () => {
			const {framed} = await readCutAnswer(framing, '1.1');
			expect(framed).toEqual('incomplete');
		});
	}

	// Guards callers of HTTP/1.0, which understands no chunks, against the same.
	it('does not look complete to a caller of HTTP/1.0 when its backend server resets the connection: without a length', async () => {
		expect(await readCutAnswer(framings['without a length'], '1.0')).toEqual({isReset: true, framed: 'not framed'});
	});

	// The same if the reset arrives together with the last bytes, which the event loop reports as a regular end.
	it('does not look complete when its last bytes and the reset arrive together: without a length', async () => {
		const store = new DisposableStore();
		const port = await startRawServer(store, socket => {
			socket.once('data', () => {
				socket.write(framings['without a length'].slice(0, -1), () => {
					setTimeout(() => {
						socket.write('f');
						socket.resetAndDestroy();
					}, 30);
				});
			});
		});
		const front = await startFrontend(store, [port]);
		const signs = new Set<string>();
		for (let call = 0; call < 20; call++) {
			const first = await readUntilClosed(`${front.url}/film`, '1.0', () => undefined);
			const second = await readUntilClosed(`${front.url}/film`, '1.1', () => undefined);
			signs.add(`HTTP/1.0: ${first.isReset ? 'reset' : 'closed'}, HTTP/1.1: ${second.framed}`);
		}

		store.dispose();
		expect([...signs]).toEqual(['HTTP/1.0: reset, HTTP/1.1: incomplete']);
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
		const signs = await readUntilClosed(`http://127.0.0.1:${port._unsafeUnwrap()}/film`, '1.1', () => {
			server.destroyConnections();
		});
		store.dispose();
		expect(signs).toEqual({isReset: true, framed: 'not framed'});
	});
});
