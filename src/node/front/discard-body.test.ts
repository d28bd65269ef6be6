import {once} from 'node:events';
import {connect} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {discardBody} from './discard-body.ts';
import {GracefulServer} from './graceful-server.ts';

const maxBytes = 200_000;

describe('a body that is discarded', () => {
	// Guards a VM's link against callers that send without end after a refusal.
	it('is read up to the largest size of a body, then its connection is closed', async () => {
		const store = new DisposableStore();
		const server = store.add(new GracefulServer({}, (incoming, outgoing) => {
			discardBody(incoming, maxBytes);
			outgoing.writeHead(404, {'content-length': 0}).end();
		}));
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const address = server.address();
		const caller = connect(typeof address === 'object' && address !== null ? address.port : 0, '127.0.0.1');
		caller.on('error', () => undefined);
		caller.write('POST /a HTTP/1.1\r\nHost: one\r\nTransfer-Encoding: chunked\r\n\r\n');
		await once(caller, 'data');
		const chunkBytes = 10_000;
		for (let sent = 0; sent < 10 * maxBytes && !caller.destroyed; sent += chunkBytes) {
			caller.write(`${chunkBytes.toString(16)}\r\n${'u'.repeat(chunkBytes)}\r\n`);
			await setImmediate();
		}

		const isClosed = caller.destroyed;
		store.dispose();
		expect(isClosed).toEqual(true);
	});
});
