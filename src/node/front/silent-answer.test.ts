import {createServer, type Socket} from 'node:net';
import {expect} from 'earl';
import {type Pool} from 'undici';
import {type AttemptFailure} from '../../common/calls/types.ts';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';

describe('an answer that falls silent', () => {
	it('fails as silent, so that its caller does not wait without end', async () => {
		// A landing engineer downloads a map. In the middle something between the VM and the backend server
		// loses track of the connection: no byte comes any more, and no end. The caller waited without end,
		// since no deadline ends an answer that has begun.
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
