import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
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
});
