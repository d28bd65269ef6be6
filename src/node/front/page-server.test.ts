import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {PageServer} from './page-server.ts';

/** More than the system takes in for somebody who does not read, so that the rest waits in the process. */
const pageBytes = 5_000_000;

describe('a server of pages', () => {
	// Guards a page that is under way against the end of its VM.
	it('hands out a page that is under way when its VM ends', async () => {
		const owned = new DisposableStore();
		const server = owned.add(new PageServer(() => ({status: 200, body: 'a'.repeat(pageBytes)}), 1000, 5000));
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
});
