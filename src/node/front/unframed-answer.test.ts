import {connect, type Socket} from 'node:net';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';
import {startFront, startRaw} from './test-utilities.test.ts';
import {type AttemptListener} from './types.ts';

/** What becomes of one attempt against a backend server that answers so. */
async function outcomeOf(answer: (socket: Socket) => void, onData = () => true): Promise<string> {
	const store = new DisposableStore();
	const port = await startRaw(store, socket => {
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
		const outcome = await outcomeOf(socket => {
			socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it');
		});
		expect(outcome).toEqual('whole');
	});

	// Story: a backend server crashes in the middle of an answer that has no length. Its connection is reset, and the
	// library takes that for the end of the answer; the caller gets half a document that looks whole.
	// Cause: a reset and an end were told apart by nobody.
	it('has failed when its connection is reset', async () => {
		const outcome = await outcomeOf(socket => {
			socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf', () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
			});
		});
		expect(outcome).toEqual('reset-during-answer');
	});

	// Story: the same, but without the word that the connection is to close: the library then expects to keep it.
	it('has failed when its connection is reset, also without the word that it closes', async () => {
		const outcome = await outcomeOf(socket => {
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
	// Story: a caller reads slowly, so the attempt pauses; the backend server has sent everything and closes. The library
	// asserts that nobody pauses at such an end, and the whole process dies with every call on it.
	// Cause: an end that stands for the end of the answer, met while paused.
	for (const head of ['Connection: close', 'Connection: close\r\nContent-Length: 3', 'X: y']) {
		it(`ends well when its connection does (${head.replaceAll('\r\n', ', ')})`, async () => {
			const outcome = await outcomeOf(socket => {
				socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n\r\nabc`);
			}, () => false);
			expect(outcome).toEqual('whole');
		});
	}
});

describe('a call whose answer has no length', () => {
	// Story: a backend server dies in the middle of an answer that has no length; its connection closes as at the end of
	// one. The caller gets the half that came, with a length that jaydale counted: it looks whole.
	// Cause: jaydale framed what nobody had framed. Passed on as it came, the answer ends with the connection.
	it('is answered without a length too', async () => {
		const store = new DisposableStore();
		const port = await startRaw(store, socket => {
			socket.once('data', () => {
				socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf');
			});
		});
		const front = await startFront(store, [port]);
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
