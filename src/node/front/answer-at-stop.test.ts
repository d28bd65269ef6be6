import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {startFront, startRaw} from './test-utilities.test.ts';

/** More than the system takes in for a caller that does not read, so that the rest waits in the process. */
const answerBytes = 16_000_000;

describe('the callers\' door of a VM that stops', () => {
	for (const step of ['closeIdle', 'stopListening'] as const) {
		// Story: a caller reads a download slower than its backend server sends it. All of it has come in and is written to the
		// caller's connection when the VM stops. The connection was taken for idle, since its answer is ended, and closed
		// with the rest still in the process: the caller had a part of a download and no word why.
		it(`hands an answer that is in whole over to its caller: ${step}`, async () => {
			const store = new DisposableStore();
			const port = await startRaw(store, socket => {
				socket.on('data', () => {
					socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${answerBytes}\r\nconnection: close\r\n\r\n`);
					socket.write(Buffer.alloc(answerBytes, 'a'));
				});
			});
			const {url, ended, server} = await startFront(store, [port], {stallMilliseconds: 5000});
			const {hostname, port: door, pathname} = new URL(url);
			const caller = connect(Number(door), hostname);
			store.add(toDisposable(() => caller.destroy()));
			caller.write(`GET ${pathname}/download HTTP/1.1\r\nhost: one.example\r\nconnection: close\r\n\r\n`);

			while (ended.length === 0) {
				await delay(10);
			}

			const unfinished = server.unfinishedAnswers;
			server[step]();
			let received = 0;
			await new Promise<void>(resolve => {
				caller.on('error', () => undefined);
				caller.on('close', resolve);
				caller.on('data', (chunk: Buffer) => {
					received += chunk.length;
				});
			});
			expect({unfinished, isWhole: received > answerBytes}).toEqual({unfinished: 1, isWhole: true});
			store.dispose();
		});
	}
});
