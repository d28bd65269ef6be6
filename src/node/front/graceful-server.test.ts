import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {
	connectTo, getCall, largeBytes, startTestListener, postHead, readAll, parseStatuses,
} from './open-listener.test.ts';

describe('a listener that ends its connections', () => {
	let store: DisposableStore;
	beforeEach(() => {
		store = new DisposableStore();
	});
	afterEach(() => {
		store.dispose();
	});

	// Guards pipelined calls against a connection that ends with the answer before theirs.
	it('answers a call that was sent behind another before it ends the connection', async () => {
		const answers: ServerResponse[] = [];
		const {server, caller, handledPaths} = await startTestListener(store, (_path, outgoing) => {
			answers.push(outgoing);
		});
		caller.write(postHead('/1'));
		while (answers.length === 0) {
			await delay(1);
		}

		server.disableKeepAlive();
		caller.write(postHead('/2'));
		await delay(20);
		expect(handledPaths).toEqual(['/1']);
		answers[0]!.end('first');
		while (answers.length === 1) {
			await delay(1);
		}

		answers[1]!.end('second');
		const text = await readAll(caller);
		expect([handledPaths, parseStatuses(text), text.split(/connection: close/iv).length - 1]).toEqual([['/1', '/2'], ['200', '200'], 1]);
	});

	it('never takes a call that comes behind the answer which ends its connection', async () => {
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

	// Guards a refusal against being discarded by a reset while its caller still sends.
	it('lets a refusal arrive while its caller still sends', async () => {
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

	it('ends idle connections, and neither those with half a call in nor those with an answer to hand over', async () => {
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

	it('tells of an answer that its caller leaves, and of one that is broken off here', async () => {
		const answers: ServerResponse[] = [];
		const {caller, cutAnswers, server} = await startTestListener(store, (_path, outgoing) => {
			answers.push(outgoing);
			outgoing.end(Buffer.alloc(largeBytes));
		});
		const other = await connectTo(store, server);
		caller.write(postHead('/1'));
		while (answers.length === 0) {
			await delay(1);
		}

		other.write(postHead('/2'));
		while (answers.length === 1) {
			await delay(1);
		}

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

	it('waits with its end for a caller that reads a refusal only when its body is out', async () => {
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

	it('counts an end that its caller has not confirmed, and gives it up in the end', async () => {
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

	it('ends a connection that comes to rest after idle ones have ended', async () => {
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

	it('never takes a call that crosses the end of its idle connection', async () => {
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

	// Guards the first call of a new connection against the end of idle connections.
	it('leaves a connection open that waits for its first call', async () => {
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
