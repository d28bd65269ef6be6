import {connect, type Socket} from 'node:net';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';
import {type AttemptListener} from './types.ts';

/** What becomes of one attempt against a backend server that answers so. */
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

describe('an answer without a length', () => {
	it('is whole when its connection ends', async () => {
		const outcome = await attemptOutcome(socket => {
			socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it');
		});
		expect(outcome).toEqual('whole');
	});

	// Guards callers against a reset that looks like the end of an answer without a length.
	it('has failed when its connection is reset', async () => {
		const outcome = await attemptOutcome(socket => {
			socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
			});
		});
		expect(outcome).toEqual('reset-during-answer');
	});

	// Guards against the same where the backend server did not announce that it closes.
	it('has failed when its connection is reset, also without the word that it closes', async () => {
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

describe('an answer that its reader makes wait', () => {
	// Guards the process against an assertion of the library when a paused answer ends with its connection.
	for (const head of ['Connection: close', 'Connection: close\r\nContent-Length: 3', 'X: y']) {
		it(`ends well when its connection does (${head.replaceAll('\r\n', ', ')})`, async () => {
			const outcome = await attemptOutcome(socket => {
				socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n\r\nabc`);
			}, () => false);
			expect(outcome).toEqual('whole');
		});
	}
});

describe('a call whose answer has no length', () => {
	// Guards callers against half an answer that gets a length here and looks whole.
	it('is answered without a length too', async () => {
		const store = new DisposableStore();
		const port = await startRawServer(store, socket => {
			socket.once('data', () => {
				socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf');
			});
		});
		const front = await startFrontend(store, [port]);
		const answer = await rawAnswer(new URL(front.url).port, `${new URL(front.url).pathname}/a`);
		store.dispose();
		expect(answer.toLowerCase().includes('content-length')).toEqual(false);
		expect(answer.toLowerCase().includes('transfer-encoding')).toEqual(false);
		expect(answer.endsWith('\r\n\r\nhalf')).toEqual(true);
	});
});

/** Everything that comes back on one connection until it is closed. */
async function rawAnswer(port: string, path: string): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(Number(port), '127.0.0.1', () => {
			socket.write(`GET ${path} HTTP/1.1\r\nHost: one\r\n\r\n`);
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
