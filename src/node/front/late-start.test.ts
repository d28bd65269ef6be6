import {createServer} from 'node:net';
import {expect} from 'earl';
import {type AttemptFailure} from '../../common/calls/types.ts';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';

describe('an attempt whose connection opens too late', () => {
	it('sends nothing and says so', async () => {
		// A VM is stopped for six seconds while it opens a connection. Meanwhile the backend server begins to
		// leave. When the VM goes on, the connection is there, and the call would go out by a decision made
		// before the pause: the leaving backend server would get new work.
		const store = new DisposableStore();
		const received: string[] = [];
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', (bytes: Uint8Array) => received.push(bytes.toString()));
			store.add(toDisposable(() => {
				socket.destroy();
			}));
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
		const connections = store.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 1000}));
		const outcome = await new Promise<AttemptFailure | 'sent'>(resolve => {
			const attempt = new BackendAttempt(1, {
				onSent() {
					resolve('sent');
				},
				onHead: () => undefined,
				onData: () => true,
				onEnd: () => undefined,
				onFailure(_attempt, cause) {
					resolve(cause);
				},
			}, 0);
			attempt.start(connections.pool({identity: 'identity', address: '127.0.0.1', port}), {
				method: 'POST', path: '/', headers: [], body: undefined,
			});
		});
		expect(outcome).toEqual('not-sent');
		expect(received).toEqual([]);
		store.dispose();
	});
});
