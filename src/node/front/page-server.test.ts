import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {request} from 'undici';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {PageServer} from './page-server.ts';

/** More than the kernel buffers for a client that does not read, so that the rest stays in the process. */
const pageBytes = 5_000_000;

describe('PageServer', () => {
	// The end of the VM must not truncate a page that is being sent.
	it('completes a page that is in progress when the VM ends', async () => {
		const owned = new DisposableStore();
		const server = owned.add(new PageServer(() => ({status: 200, body: 'a'.repeat(pageBytes)}), 1000, {maxCloseMilliseconds: 5000}));
		const port = await server.listen(0, '127.0.0.1');
		const reader = connect(port._unsafeUnwrap(), '127.0.0.1');
		owned.add(toDisposable(() => reader.destroy()));
		reader.write('GET /metrics HTTP/1.1\r\nhost: one.example\r\n\r\n');
		await delay(100);
		let received = 0;
		const closed = new Promise<void>(resolve => {
			reader.on('error', () => undefined);
			reader.on('close', resolve);
			reader.on('data', (chunk: Uint8Array) => {
				received += chunk.length;
			});
		});
		await server.end();
		server.dispose();
		await closed;
		expect(received).toBeGreaterThan(pageBytes);
		owned.dispose();
	});

	// Guards callers against connections without an answer, and a planned stop against waiting for them.
	it('answers with 500 if a page cannot be made, and throws the exception on', async () => {
		const owned = new DisposableStore();
		const server = owned.add(new PageServer(() => {
			throw new TypeError('page');
		}, 1000));
		const port = await server.listen(0, '127.0.0.1');
		const handlers = process.listeners('unhandledRejection');
		process.removeAllListeners('unhandledRejection');
		const thrown = once(process, 'unhandledRejection');
		const {statusCode, body} = await request(`http://127.0.0.1:${port._unsafeUnwrap()}/`, {reset: true});
		await body.dump();
		const rejection: unknown[] = await thrown;
		for (const handler of handlers) {
			process.on('unhandledRejection', handler);
		}

		owned.dispose();
		expect([statusCode, String(rejection[0])]).toEqual([500, 'TypeError: page']);
	});
});
