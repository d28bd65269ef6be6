import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {
	getCall, largeBytes, startTestListener, postHead, readAll, parseStatuses,
} from './open-listener.test.ts';

/** Heads are given up soon, so that a test does not wait for it. */
const shortTimeouts = {headersTimeout: 300, connectionsCheckingInterval: 100, requestTimeout: 0};

describe('bytes that are no call', () => {
	let store: DisposableStore;
	beforeEach(() => {
		store = new DisposableStore();
	});
	afterEach(() => {
		store.dispose();
	});

	// Guards a download against bytes behind it that never become a call.
	async function completesDownloadFollowedBy(bytes: string): Promise<boolean> {
		const {caller} = await startTestListener(store, (_path, outgoing) => {
			outgoing.end(Buffer.alloc(largeBytes));
		}, {options: shortTimeouts});
		caller.write(getCall('/1'));
		await delay(50);
		caller.write(bytes);
		await delay(800);
		const text = await readAll(caller);
		return text.length > largeBytes;
	}

	it('cut no answer that is under way: half a head', async () => {
		expect(await completesDownloadFollowedBy('GET /2 HTT')).toEqual(true);
	});

	it('cut no answer that is under way: junk', async () => {
		expect(await completesDownloadFollowedBy('\0\u0001junk\r\n\r\n')).toEqual(true);
	});

	// Guards a download against the time-out of calls behind it that were not read for lack of room.
	it('are not made of whole calls that were not read for lack of room', async () => {
		const {caller} = await startTestListener(store, (path, outgoing) => {
			outgoing.end(path === '/1' ? Buffer.alloc(largeBytes) : '');
		}, {options: shortTimeouts});
		caller.write(getCall('/1'));
		await delay(50);
		const padded = `GET /2 HTTP/1.1\r\nhost: one.example\r\npadding: ${'x'.repeat(1000)}\r\n\r\n`;
		caller.write(padded.repeat(400));
		await delay(1500);
		const text = await readAll(caller);
		expect(text.length > largeBytes).toEqual(true);
	});

	it('are refused in the middle of a body, too', async () => {
		const {caller, handledPaths} = await startTestListener(store, () => undefined);
		caller.write('POST /1 HTTP/1.1\r\nhost: one.example\r\ntransfer-encoding: chunked\r\n\r\n');
		while (handledPaths.length === 0) {
			await delay(1);
		}

		caller.write('no chunk\r\n');
		expect(parseStatuses(await readAll(caller))).toEqual(['400']);
	});

	it('do not answer the call in front of them', async () => {
		const {caller} = await startTestListener(store, (_path, outgoing) => {
			setTimeout(() => outgoing.end('ran'), 1000);
		}, {options: shortTimeouts});
		caller.write(`${getCall('/1')}GET /2 HTT`);
		expect(parseStatuses(await readAll(caller))).toEqual(['200']);
	});

	it('are refused, and the refusal arrives although more of them come', async () => {
		const {caller} = await startTestListener(store, (_path, outgoing) => {
			outgoing.end();
		});
		caller.write('GET / HTTP/1.1\r\nhost: one.example\r\nlong: ');
		for (let count = 0; count < 100; count++) {
			caller.write(Buffer.alloc(100_000, 'x'));
		}

		await delay(300);
		expect(parseStatuses(await readAll(caller))).toEqual(['431']);
	});

	// Guards a call that was handed on against the end of its connection by an unreadable one before it.
	it('leave no call behind them running without an answer', async () => {
		const {server, caller, handledPaths} = await startTestListener(store, (path, outgoing) => {
			setTimeout(() => outgoing.end(path), 50);
		});
		caller.write(`${getCall('/1')}GET /2 HTTP/1.1\r\n\r\n${postHead('/3')}`);
		const statuses = parseStatuses(await readAll(caller));
		await delay(100);
		expect([handledPaths, statuses, server.unfinishedAnswers]).toEqual([['/1'], ['200', '400'], 0]);
	});
});
