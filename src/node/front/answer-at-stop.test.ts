import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

/** More than the system takes in for a caller that does not read, so that the rest waits in the process. */
const answerBytes = 16_000_000;

describe('the callers\' listener of a VM that stops', () => {
	for (const step of ['closeIdle', 'stopListening'] as const) {
		// Guards a download that its caller reads slowly against the end of idle connections.
		it(`hands an answer that is in whole over to its caller: ${step}`, async () => {
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

describe('an answer that is in whole', () => {
	/** A caller of a listener that has all of a large answer; the caller has read nothing of it. */
	async function startUnreadAnswer(store: DisposableStore, limitOverrides: {readonly stallMilliseconds: number; readonly handOverMilliseconds: number}) {
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

	// Guards planned stops and memory against a caller that takes nothing of its answer.
	it('is given up when its caller takes nothing of it for long', async () => {
		const store = new DisposableStore();
		const {server} = await startUnreadAnswer(store, {stallMilliseconds: 100, handOverMilliseconds: 300});
		const unfinished = server.unfinishedAnswers;
		while (server.unfinishedAnswers > 0) {
			await delay(10);
		}

		expect(unfinished).toEqual(1);
		store.dispose();
	});

	// Guards a slow reader of a whole answer against the time-out that is meant for answers still coming in.
	it('outlasts the time after which one that still comes in is given up', async () => {
		const store = new DisposableStore();
		const {caller} = await startUnreadAnswer(store, {stallMilliseconds: 100, handOverMilliseconds: 20_000});
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
