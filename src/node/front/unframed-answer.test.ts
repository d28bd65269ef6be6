import {type Socket} from 'node:net';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';
import {startRaw} from './test-utilities.test.ts';
import {type AttemptListener} from './types.ts';

/** What becomes of one attempt against a backend server that answers so. */
async function outcomeOf(answer: (socket: Socket) => void): Promise<string> {
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
			onData: () => true,
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
