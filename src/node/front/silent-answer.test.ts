import {createServer, type Socket} from 'node:net';
import {expect} from 'earl';
import {type Pool} from 'undici';
import {type AttemptFailure} from '../../common/calls/types.ts';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';

describe('an answer whose connection goes silent', () => {
	it('fails with "silent" after silenceMilliseconds', async () => {
		// A device between the VM and the backend server may lose a connection's state in the middle of a download: neither data
		// nor a close arrives any more. No deadline applies to an answer that has begun, so the caller would wait forever.
		const store = new DisposableStore();
		const server = createServer((socket: Socket) => {
			store.add(toDisposable(() => {
				socket.destroy();
			}));
			socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf '));
		});
		store.add(toDisposable(() => {
			server.close();
		}));
		const port = await new Promise<number>(resolve => {
			server.listen(0, '127.0.0.1', () => {
				const address = server.address();
				resolve(typeof address === 'object' && address !== null ? address.port : 0);
			});
		});
		const connections = store.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 1000, silenceMilliseconds: 300}));
		const failure = await new Promise<AttemptFailure>(resolve => {
			const attempt = new BackendAttempt(1, {
				onSent: () => undefined,
				onHead: () => undefined,
				onData: () => true,
				onEnd: () => undefined,
				onFailure(_attempt, cause) {
					resolve(cause);
				},
			});
			const pool: Pool = connections.pool({identity: 'identity', address: '127.0.0.1', port});
			attempt.start(pool, {
				method: 'GET', path: '/', headers: [], body: undefined,
			});
		});
		expect(failure).toEqual('silent');
		store.dispose();
	});
});
