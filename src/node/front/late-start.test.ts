import {createServer} from 'node:net';
import {expect} from 'earl';
import {type AttemptFailure} from '../../common/calls/types.ts';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';

describe('an attempt whose connection opens after the start timeout', () => {
	it('sends nothing and fails with "not-sent"', async () => {
		// A VM is suspended for six seconds while it opens a connection, and the backend server begins to shut down in this time.
		// When the VM resumes, the connection is open. Without the start timeout the VM would send the call by a decision made
		// before the suspension, and the backend server would receive new work while it shuts down.
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
