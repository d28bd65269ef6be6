import {once} from 'node:events';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {GracefulServer} from './graceful-server.ts';

const call = 'GET / HTTP/1.1\r\nhost: one.example\r\n\r\n';

describe('GracefulServer.closeIdleConnections', () => {
	const owned = new DisposableStore();
	after(() => {
		owned.dispose();
	});

	/** Opens a connection to a new server and completes this many calls on it. */
	async function openConnection(calls: number): Promise<{server: GracefulServer; caller: Socket; read: () => string}> {
		const server = owned.add(new GracefulServer({}, (_incoming, outgoing) => {
			outgoing.end('answer');
		}));
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a server on a port has such an address.
		const {port} = server.address() as AddressInfo;
		const caller = connect(port, '127.0.0.1');
		owned.add(toDisposable(() => caller.destroy()));
		let text = '';
		caller.on('error', () => undefined);
		caller.on('data', (chunk: Buffer) => {
			text += chunk.toString();
		});
		await Promise.all([once(server, 'connection'), once(caller, 'connect')]);
		for (let count = 0; count < calls; count++) {
			caller.write(call);
			await once(caller, 'data');
		}

		await delay(20);
		text = '';
		return {server, caller, read: () => text};
	}

	// A call that is still in the kernel's receive buffer must not be lost when idle connections are closed.
	for (const [calls, which] of [[0, 'the first call'], [1, 'the next call']] as const) {
		it(`answers ${which} of a connection if it was sent before the close`, async () => {
			const {server, caller, read} = await openConnection(calls);
			server.disableKeepAlive();
			caller.write(call);
			server.closeIdleConnections();
			await once(caller, 'close');
			expect(read().startsWith('HTTP/1.1 200')).toEqual(true);
		});
	}

	// A connection that is accepted while idle ones are closed must not lose its first call.
	it('answers the first call of a connection that is accepted while idle ones are closed', async () => {
		const {server} = await openConnection(0);
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a server on a port has such an address.
		const {port} = server.address() as AddressInfo;
		let text = '';
		const lateConnection = new Promise<Socket>(resolve => {
			setImmediate(() => {
				const caller = connect(port, '127.0.0.1');
				owned.add(toDisposable(() => caller.destroy()));
				caller.on('error', () => undefined);
				caller.on('data', (chunk: Buffer) => {
					text += chunk.toString();
				});
				caller.write(call);
				resolve(caller);
			});
		});
		server.disableKeepAlive();
		server.closeIdleConnections();
		await once(await lateConnection, 'close');
		expect(text.startsWith('HTTP/1.1 200')).toEqual(true);
	});
});
