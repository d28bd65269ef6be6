import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';
import {startRawServer} from './test-utilities.test.ts';

const bodyBytes = 300_000;

/** Heads of answers after which the backend server closes the connection. */
const heads: Readonly<Record<string, string>> = {
	'HTTP/1.1 and a length': `HTTP/1.1 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`,
	'HTTP/1.0 and a length': `HTTP/1.0 200 OK\r\ncontent-length: ${bodyBytes}\r\n\r\n`,
	'HTTP/1.0 and no length': 'HTTP/1.0 200 OK\r\n\r\n',
	'a proxy-connection header': `HTTP/1.1 200 OK\r\nproxy-connection: close\r\ncontent-length: ${bodyBytes}\r\n\r\n`,
	'two connection headers': `HTTP/1.1 200 OK\r\nconnection: keep-alive\r\nconnection: close\r\ncontent-length: ${bodyBytes}\r\n\r\n`,
	'an unknown transfer coding': 'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n',
};

describe('a connection that ends while its complete answer is paused', () => {
	const owned = new DisposableStore();
	after(() => {
		owned.dispose();
	});

	// Guards slow callers against answers that are cut after their last byte, and the process against an assertion of undici.
	for (const [name, head] of Object.entries(heads)) {
		it(`does not fail an answer with ${name}`, async () => {
			const port = await startRawServer(owned, socket => {
				socket.once('data', () => {
					socket.end(head + 'f'.repeat(bodyBytes));
				});
			});
			const connections = owned.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 1000}));
			const ends: string[] = [];
			const attempt = new BackendAttempt(1, {
				onSent: () => undefined,
				onHead: () => undefined,
				onData: () => false,
				onEnd() {
					ends.push('complete');
				},
				onFailure(_attempt, failure) {
					ends.push(failure);
				},
			});
			attempt.start(connections.pool({identity: 'i-0', address: '127.0.0.1', port}), {
				method: 'GET', path: '/', headers: [], body: undefined,
			});
			for (let count = 0; ends.length === 0 && count < 400; count++) {
				await delay(5);
				attempt.resume();
			}

			expect([ends, attempt.receivedBytes]).toEqual([['complete'], bodyBytes]);
		});
	}
});
