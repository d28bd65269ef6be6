import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

/** More than the kernel buffers for a caller that does not read, so that the rest stays in the process. */
const answerBytes = 16_000_000;

describe('CallerServer during a planned stop', () => {
	for (const step of ['closeIdle', 'stopListening'] as const) {
		// Closing idle connections must not truncate a download that its caller reads slowly.
		it(`delivers an answer that was received completely before the stop: ${step}`, async () => {
			const store = new DisposableStore();
			const port = await startRawServer(store, socket => {
				socket.on('data', () => {
					socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${answerBytes}\r\nconnection: close\r\n\r\n`);
					socket.write(Buffer.alloc(answerBytes, 'a'));
				});
			});
			const {url, ended, server} = await startFrontend(store, [port], {stallMilliseconds: 5000});
			const {hostname, port: listener, pathname} = new URL(url);
			const caller = connect(Number(listener), hostname);
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

describe('an answer that has been received completely', () => {
	/** Starts a call whose large answer the listener has received completely; its caller has read none of it. */
	async function startUnreadAnswer(store: DisposableStore, limitOverrides: {readonly stallMilliseconds: number; readonly completeAnswerStallMilliseconds: number}) {
		const port = await startRawServer(store, socket => {
			socket.on('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${answerBytes}\r\nconnection: close\r\n\r\n`);
				socket.write(Buffer.alloc(answerBytes, 'a'));
			});
		});
		const {url, ended, server} = await startFrontend(store, [port], limitOverrides);
		const {hostname, port: listener, pathname} = new URL(url);
		const caller = connect(Number(listener), hostname);
		caller.on('error', () => undefined);
		store.add(toDisposable(() => caller.destroy()));
		caller.write(`GET ${pathname}/download HTTP/1.1\r\nhost: one.example\r\nconnection: close\r\n\r\n`);
		while (ended.length === 0) {
			await delay(10);
		}

		return {caller, server};
	}

	// A caller that never reads its answer must neither delay a planned stop nor hold memory forever.
	it('is dropped if its caller reads nothing within completeAnswerStallMilliseconds', async () => {
		const store = new DisposableStore();
		const {server} = await startUnreadAnswer(store, {stallMilliseconds: 100, completeAnswerStallMilliseconds: 300});
		const unfinished = server.unfinishedAnswers;
		while (server.unfinishedAnswers > 0) {
			await delay(10);
		}

		expect(unfinished).toEqual(1);
		store.dispose();
	});

	// The shorter stall timeout applies only while the backend server is still sending the answer.
	it('is not dropped after the shorter stallMilliseconds', async () => {
		const store = new DisposableStore();
		const {caller} = await startUnreadAnswer(store, {stallMilliseconds: 100, completeAnswerStallMilliseconds: 20_000});
		await delay(800);
		let received = 0;
		caller.on('data', (chunk: Buffer) => {
			received += chunk.length;
		});
		await new Promise<void>(resolve => {
			caller.on('close', resolve);
		});
		expect(received > answerBytes).toEqual(true);
		store.dispose();
	});
});
