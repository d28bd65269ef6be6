import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {
	getCall, largeBytes, startTestListener, postHead, readAll, parseStatuses,
} from './open-listener.test.ts';

/** Short head timeouts, so that the tests do not wait long. */
const shortTimeouts = {headersTimeout: 300, connectionsCheckingInterval: 100, requestTimeout: 0};

describe('input that is not a valid request', () => {
	let store: DisposableStore;
	beforeEach(() => {
		store = new DisposableStore();
	});
	afterEach(() => {
		store.dispose();
	});

	// Invalid input after a request must not truncate the answer to that request.
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

	it('does not cut an answer in progress: half of a head', async () => {
		expect(await completesDownloadFollowedBy('GET /2 HTT')).toEqual(true);
	});

	it('does not cut an answer in progress: arbitrary bytes', async () => {
		expect(await completesDownloadFollowedBy('\0\u0001junk\r\n\r\n')).toEqual(true);
	});

	// Pipelined requests stay unread while buffers are full; the head timeout must not fire for them and cut the download.
	it('does not include valid requests that are unread because buffers are full', async () => {
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

	it('is refused inside a chunked body', async () => {
		const {caller, handledPaths} = await startTestListener(store, () => undefined);
		caller.write('POST /1 HTTP/1.1\r\nhost: one.example\r\ntransfer-encoding: chunked\r\n\r\n');
		while (handledPaths.length === 0) {
			await delay(1);
		}

		caller.write('no chunk\r\n');
		expect(parseStatuses(await readAll(caller))).toEqual(['400']);
	});

	it('does not replace the answer to the call before it', async () => {
		const {caller} = await startTestListener(store, (_path, outgoing) => {
			setTimeout(() => outgoing.end('ran'), 1000);
		}, {options: shortTimeouts});
		caller.write(`${getCall('/1')}GET /2 HTT`);
		expect(parseStatuses(await readAll(caller))).toEqual(['200']);
	});

	it('is refused, and the refusal arrives although more input follows', async () => {
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

	// A request behind an invalid one must not be run, because the connection closes before it can be answered.
	it('does not leave a later call running without an answer', async () => {
		const {server, caller, handledPaths} = await startTestListener(store, (path, outgoing) => {
			setTimeout(() => outgoing.end(path), 50);
		});
		caller.write(`${getCall('/1')}GET /2 HTTP/1.1\r\n\r\n${postHead('/3')}`);
		const statuses = parseStatuses(await readAll(caller));
		await delay(100);
		expect([handledPaths, statuses, server.unfinishedAnswers]).toEqual([['/1'], ['200', '400'], 0]);
	});
});
