import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {
	connectTo, getCall, largeBytes, startTestListener, postHead, readAll, parseStatuses,
} from './open-listener.test.ts';

async function waitForCount(items: readonly unknown[], count: number): Promise<void> {
	while (items.length < count) {
		await delay(1);
	}
}

describe('GracefulServer', () => {
	let store: DisposableStore;
	beforeEach(() => {
		store = new DisposableStore();
	});
	afterEach(() => {
		store.dispose();
	});

	// A pipelined call must not be lost because the connection closes after the answer before it.
	it('answers a pipelined call before it closes the connection', async () => {
		const answers: ServerResponse[] = [];
		const {server, caller, handledPaths} = await startTestListener(store, (_path, outgoing) => {
			answers.push(outgoing);
		});
		caller.write(postHead('/1'));
		await waitForCount(answers, 1);

		server.disableKeepAlive();
		caller.write(postHead('/2'));
		await delay(20);
		expect(handledPaths).toEqual(['/1']);
		answers[0]!.end('first');
		await waitForCount(answers, 2);

		answers[1]!.end('second');
		const text = await readAll(caller);
		expect([handledPaths, parseStatuses(text), text.split(/connection: close/iv).length - 1]).toEqual([['/1', '/2'], ['200', '200'], 1]);
	});

	it('never handles a call that arrives after an answer with connection: close', async () => {
		const {server, caller, handledPaths} = await startTestListener(store, (_path, outgoing) => {
			outgoing.writeHead(200, {'content-length': 5});
			outgoing.write('fi');
			setTimeout(() => outgoing.end('rst'), 50);
		});
		server.disableKeepAlive();
		caller.write(postHead('/1'));
		await once(caller, 'readable');
		caller.write(postHead('/2'));
		const text = await readAll(caller);
		expect([handledPaths, text.endsWith('first')]).toEqual([['/1'], true]);
	});

	// The same for a call that may run beside the one whose answer announced the close: it would run and then be cut.
	it('never handles a concurrent call that arrives after an answer with connection: close', async () => {
		const answers: ServerResponse[] = [];
		const {server, caller, handledPaths} = await startTestListener(store, (_path, outgoing) => {
			answers.push(outgoing);
		}, {mayRunConcurrently: () => true});
		server.disableKeepAlive();
		caller.write(getCall('/1'));
		await waitForCount(answers, 1);
		answers[0]!.writeHead(200, {'content-length': 5});
		answers[0]!.write('fi');
		await once(caller, 'readable');
		caller.write(getCall('/2'));
		await delay(20);
		answers[0]!.end('rst');
		const text = await readAll(caller);
		expect([handledPaths, text.endsWith('first')]).toEqual([['/1'], true]);
	});

	// Guards pipelined calls that have run against a connection that closes before their answers.
	it('answers a concurrent call that arrives while a complete answer waits behind another one', async () => {
		const answers: ServerResponse[] = [];
		const {server, caller, handledPaths} = await startTestListener(store, (_path, outgoing) => {
			answers.push(outgoing);
		}, {mayRunConcurrently: () => true});
		caller.write(getCall('/1'));
		await waitForCount(answers, 1);
		server.disableKeepAlive();
		caller.write(getCall('/2'));
		await waitForCount(answers, 2);
		answers[1]!.end('second');
		caller.write(getCall('/3'));
		await waitForCount(answers, 3);
		answers[0]!.end('first');
		answers[2]!.end('third');
		server.closeIdleConnections();
		const text = await readAll(caller);
		expect([handledPaths, parseStatuses(text), text.endsWith('third')]).toEqual([['/1', '/2', '/3'], ['200', '200', '200'], true]);
	});

	// Closing a socket with unread bytes resets the connection, which would discard the refusal.
	it('delivers a refusal while its caller is still sending', async () => {
		const {server, caller} = await startTestListener(store, (_path, outgoing) => {
			outgoing.writeHead(503, {'content-length': 2});
			outgoing.end('no');
		});
		server.disableKeepAlive();
		caller.write(postHead('/1', largeBytes));
		const sending = setInterval(() => caller.write(Buffer.alloc(100_000)), 1);
		setTimeout(() => {
			clearInterval(sending);
			caller.end();
		}, 200);
		const text = await readAll(caller);
		expect(text.startsWith('HTTP/1.1 503')).toEqual(true);
	});

	it('closes idle connections, but none with a partial request or an incomplete answer', async () => {
		const {server, caller: slow, cutAnswers} = await startTestListener(store, (path, outgoing) => {
			outgoing.end(path === '/idle' ? 'x' : Buffer.alloc(largeBytes));
		});
		const idle = await connectTo(store, server);
		idle.write(getCall('/idle'));
		await once(idle, 'readable');
		const half = await connectTo(store, server);
		half.write('GET /half HTT');
		slow.write(postHead('/slow'));
		await delay(50);
		server.disableKeepAlive();
		server.closeIdleConnections();
		await Promise.all([once(idle.resume(), 'end'), delay(50)]);
		half.write('P/1.1\r\nhost: one.example\r\n\r\n');
		const [slowText, halfText] = await Promise.all([readAll(slow), readAll(half)]);
		expect([slowText.length > largeBytes, halfText.length > largeBytes, cutAnswers]).toEqual([true, true, []]);
	});

	it('reports an answer cut by its caller, and one cut by this side', async () => {
		const answers: ServerResponse[] = [];
		const {caller, cutAnswers, server} = await startTestListener(store, (_path, outgoing) => {
			answers.push(outgoing);
			outgoing.end(Buffer.alloc(largeBytes));
		});
		const other = await connectTo(store, server);
		caller.write(postHead('/1'));
		await waitForCount(answers, 1);

		other.write(postHead('/2'));
		await waitForCount(answers, 2);

		caller.resetAndDestroy();
		while (cutAnswers.length === 0) {
			await delay(1);
		}

		answers[1]!.destroy();
		while (cutAnswers.length === 1) {
			await delay(1);
		}

		expect(cutAnswers.map(({closedBy, isWhole, bytesLeft}) => ({closedBy, isWhole, hasBytesLeft: bytesLeft > 0}))).toEqual([
			{closedBy: 'caller', isWhole: true, hasBytesLeft: true},
			{closedBy: 'here', isWhole: true, hasBytesLeft: true},
		]);
	});

	it('keeps the connection open for a caller that reads a refusal only after it has sent its body', async () => {
		const {server, caller} = await startTestListener(store, (_path, outgoing) => {
			outgoing.writeHead(503, {'content-length': 2});
			outgoing.end('no');
		}, {allowHalfOpen: true});
		server.disableKeepAlive();
		caller.write(postHead('/1', largeBytes));
		for (let count = 0; count < 100; count++) {
			caller.write(Buffer.alloc(100_000));
			await delay(2);
		}

		caller.once('end', () => caller.end());
		expect(parseStatuses(await readAll(caller))).toEqual(['503']);
	});

	it('counts a half-closed connection as unfinished until the linger time is over', async () => {
		const {server, caller} = await startTestListener(store, (_path, outgoing) => {
			outgoing.end('x');
		}, {allowHalfOpen: true});
		server.disableKeepAlive();
		caller.write(getCall('/1'));
		await once(caller.resume(), 'end');
		const counted = server.unfinishedAnswers;
		while (server.unfinishedAnswers > 0) {
			await delay(10);
		}

		expect(counted).toEqual(1);
	});

	it('closes a connection that becomes idle after closeIdleConnections', async () => {
		const answers: ServerResponse[] = [];
		const {server, caller} = await startTestListener(store, (_path, outgoing) => {
			outgoing.writeHead(200, {'content-length': 2});
			outgoing.write('a');
			answers.push(outgoing);
		});
		caller.write(getCall('/1'));
		await once(caller, 'readable');
		server.disableKeepAlive();
		server.closeIdleConnections();
		await delay(20);
		answers[0]!.end('b');
		const text = await readAll(caller);
		expect(text.endsWith('ab')).toEqual(true);
	});

	it('never handles a call that arrives after its idle connection was half-closed', async () => {
		const {server, caller, handledPaths} = await startTestListener(store, (_path, outgoing) => {
			outgoing.end('x');
		}, {allowHalfOpen: true});
		caller.write(getCall('/1'));
		await once(caller, 'readable');
		await delay(20);
		server.closeIdleConnections();
		await once(caller.resume(), 'end');
		caller.write(getCall('/2'));
		await delay(50);
		expect(handledPaths).toEqual(['/1']);
	});

	// The first call of a new connection may be in transit when idle connections are closed.
	it('does not close a connection that has not carried a call yet', async () => {
		const {server, caller} = await startTestListener(store, (_path, outgoing) => {
			outgoing.end('x');
		});
		server.disableKeepAlive();
		server.closeIdleConnections();
		await delay(50);
		caller.write(getCall('/1'));
		expect(parseStatuses(await readAll(caller))).toEqual(['200']);
	});
});
