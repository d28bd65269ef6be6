import {connect, type Socket} from 'node:net';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';
import {type AttemptListener} from './types.ts';

/** Runs one attempt against a backend server that answers as given; resolves with `whole` or the failure. */
async function attemptOutcome(answer: (socket: Socket) => void, onData = () => true): Promise<string> {
	const store = new DisposableStore();
	const port = await startRawServer(store, socket => {
		socket.once('data', () => {
			answer(socket);
		});
	});
	const connections = store.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 5000}));
	const outcome = await new Promise<string>(resolve => {
		const listener: AttemptListener = {
			onSent: () => undefined,
			onHead: () => undefined,
			onData,
			onEnd() {
				resolve('whole');
			},
			onFailure(_attempt, failure) {
				resolve(failure);
			},
		};
		new BackendAttempt(1, listener).start(connections.pool({identity: 'one', address: '127.0.0.1', port}), {
			method: 'GET', path: '/', headers: [], body: undefined,
		});
	});
	store.dispose();
	return outcome;
}

describe('a close-delimited answer', () => {
	it('is complete when its connection closes', async () => {
		const outcome = await attemptOutcome(socket => {
			socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it');
		});
		expect(outcome).toEqual('whole');
	});

	// undici treats a reset as the end of a close-delimited answer, so that a truncated body would look complete.
	it('fails when its connection is reset', async () => {
		const outcome = await attemptOutcome(socket => {
			socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
			});
		});
		expect(outcome).toEqual('reset-during-answer');
	});

	// The same if the backend server did not send `Connection: close`.
	it('fails when its connection is reset, also without a Connection header', async () => {
		const outcome = await attemptOutcome(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
			});
		});
		expect(outcome).toEqual('reset-during-answer');
	});
});

describe('an answer that its reader pauses', () => {
	// undici fails an assertion, which ends the process, if the connection closes while its answer is paused.
	for (const head of ['Connection: close', 'Connection: close\r\nContent-Length: 3', 'X: y']) {
		it(`completes when its connection closes (${head.replaceAll('\r\n', ', ')})`, async () => {
			const outcome = await attemptOutcome(socket => {
				socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n\r\nabc`);
			}, () => false);
			expect(outcome).toEqual('whole');
		});
	}
});

describe('a call with a close-delimited answer', () => {
	const store = new DisposableStore();
	let url: URL;

	before(async () => {
		const port = await startRawServer(store, socket => {
			socket.once('data', () => {
				socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it');
			});
		});
		const front = await startFrontend(store, [port]);
		url = new URL(`${front.url}/a`);
	});

	after(() => {
		store.dispose();
	});

	// Guards callers against a truncated answer that looks complete because its end depends on how the connection ends.
	it('is answered in chunks', async () => {
		const answer = await rawAnswer(url, '1.1');
		expect(answer.toLowerCase().includes('\r\ntransfer-encoding: chunked\r\n')).toEqual(true);
		expect(answer.endsWith('\r\n\r\n9\r\nall of it\r\n0\r\n\r\n')).toEqual(true);
	});

	it('is answered with a close-delimited answer if its caller understands no chunks', async () => {
		const answer = await rawAnswer(url, '1.0');
		expect(/^(?:content-length|transfer-encoding):/imv.test(answer)).toEqual(false);
		expect(answer.endsWith('\r\n\r\nall of it')).toEqual(true);
	});
});

/** Sends a request; resolves with all bytes received until the connection is closed. */
async function rawAnswer({port, pathname}: URL, version: string): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(Number(port), '127.0.0.1', () => {
			socket.write(`GET ${pathname} HTTP/${version}\r\nHost: one\r\nConnection: close\r\n\r\n`);
		});
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString();
		});
		socket.on('close', () => {
			resolve(text);
		});
	});
}
