import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {type Pool} from 'undici';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {BackendConnections} from './backend-connections.ts';
import {startRawServer} from './test-utilities.test.ts';

const answerBytes = 8_000_000;

describe('a connection pool that is closed while calls use it', () => {
	const closeReasons: ReadonlyArray<readonly [string, (connections: BackendConnections, target: {readonly identity: string; readonly address: string; readonly port: number}) => void]> = [
		['its backend server is no longer configured', connections => {
			connections.retain(new Set());
		}],
		['another process has the same identity', (connections, target) => {
			connections.pool({...target, processStartedAt: 2});
		}],
	];
	for (const [reason, closePool] of closeReasons) {
		for (const delayMilliseconds of [0, 100]) {
			// Closing a pool must not fail calls that were dispatched to it just before.
			it(`completes the calls already dispatched: ${reason}, ${delayMilliseconds} ms after the call`, async () => {
				const store = new DisposableStore();
				const port = await startRawServer(store, socket => {
					socket.on('data', () => {
						socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${answerBytes}\r\n\r\n`);
						setTimeout(() => {
							socket.write(Buffer.alloc(answerBytes, 'a'));
						}, 200);
					});
				});
				const connections = store.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 1000}));
				const target = {
					identity: 'one', address: '127.0.0.1', port, processStartedAt: 1,
				};
				const pool: Pool = connections.pool(target);
				const answers = Promise.all([0, 1].map(async () => {
					const answer = await pool.request({method: 'GET', path: '/'});
					const body = await answer.body.arrayBuffer();
					return body.byteLength;
				}));
				await delay(delayMilliseconds);
				closePool(connections, target);
				expect(await answers).toEqual([answerBytes, answerBytes]);
				expect(pool.closed).toEqual(true);
				store.dispose();
			});
		}
	}
});
