import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {ConnectionBudget} from './connection-budget.ts';
import {connectionLimits, type ConnectionLimits} from './connection-limits.ts';
import {GracefulServer} from './graceful-server.ts';
import {
	connectTo, getCall, parseStatuses, readAll,
} from './open-listener.test.ts';

const megabyte = 1_048_576;

const wide: ConnectionLimits = {
	connections: 100, closingConnections: 10, headBytes: 100_000, waitingBytes: 1_000_000, waitingCallsPerConnection: 10,
};

describe('ConnectionBudget', () => {
	let store: DisposableStore;
	let answers: Map<string, ServerResponse>;
	let closed: string[];
	let budget: ConnectionBudget;

	async function startListener(name = 'callers', maxConnections = 100): Promise<GracefulServer> {
		const server = store.add(new GracefulServer({}, (incoming, outgoing) => {
			answers.set(incoming.url!, outgoing);
		}, undefined, {budget, name, maxConnections}));
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return server;
	}

	async function connectAndSend(server: GracefulServer, text: string): Promise<Socket> {
		const caller = await connectTo(store, server);
		caller.resume();
		caller.write(text);
		await delay(20);
		return caller;
	}

	beforeEach(() => {
		store = new DisposableStore();
		answers = new Map();
		closed = [];
	});
	afterEach(() => {
		store.dispose();
	});

	function limitTo(limits: Partial<ConnectionLimits>): void {
		budget = store.add(new ConnectionBudget({...wide, ...limits}));
		budget.onClosedForRoom(({listener, reason}) => closed.push(`${listener} ${reason}`));
	}

	// Guards the heap against incomplete heads.
	it('closes the largest incomplete heads of all listeners first', async () => {
		limitTo({headBytes: 10_000});
		const [callers, pages] = [await startListener(), await startListener('pages')];
		const call = await connectAndSend(callers, getCall('/1'));
		const small = await connectAndSend(callers, `GET / HTTP/1.1\r\nx: ${'y'.repeat(1000)}`);
		const large = await connectTo(store, pages);
		const refusal = readAll(large);
		large.write(`GET / HTTP/1.1\r\nx: ${'y'.repeat(6000)}`);
		await connectAndSend(callers, `GET / HTTP/1.1\r\nx: ${'y'.repeat(5000)}`);
		expect([parseStatuses(await refusal), call.destroyed, small.destroyed, closed]).toEqual([['408'], false, false, ['pages heads']]);
	});

	// Guards callers against VMs whose descriptors are taken by idle connections.
	it('closes the connection that has been idle for longest and cuts no call', async () => {
		limitTo({connections: 3});
		const server = await startListener();
		const busy = await connectAndSend(server, getCall('/busy'));
		const idle = await connectAndSend(server, getCall('/idle'));
		answers.get('/idle')!.end();
		await delay(20);
		const fresh = await connectTo(store, server);
		const isIdleClosed = once(idle, 'close');
		const next = await connectAndSend(server, getCall('/next'));
		await isIdleClosed;
		expect([busy.destroyed, fresh.destroyed, next.destroyed, [...answers.keys()], closed]).toEqual([false, false, false, ['/busy', '/idle', '/next'], ['callers connections']]);
	});

	// Guards the calls in progress against being cut for a new connection.
	it('refuses a new connection while each one has a call in progress', async () => {
		limitTo({});
		const server = await startListener('pages', 1);
		const busy = await connectAndSend(server, getCall('/busy'));
		const refused = await connectAndSend(server, getCall('/refused'));
		expect([busy.destroyed, refused.destroyed, [...answers.keys()], closed]).toEqual([false, true, ['/busy'], ['pages connections']]);
	});

	// Guards the heap against calls that wait behind an answer, and callers against taking a dropped call for one that ran.
	it('drops waiting calls beyond the bound and announces the close with the last answer', async () => {
		limitTo({waitingCallsPerConnection: 2});
		const server = await startListener();
		const caller = await connectTo(store, server);
		const text = readAll(caller);
		caller.write(Array.from({length: 400}, (_, index) => getCall(`/${index}`)).join(''));
		for (const path of ['/0', '/1', '/2']) {
			while (!answers.has(path)) {
				await delay(1);
			}

			answers.get(path)!.end();
		}

		const received = await text;
		expect([parseStatuses(received), received.split(/connection: close/iv).length - 1, answers.size, closed]).toEqual([['200', '200', '200'], 1, 3, ['callers waiting-calls']]);
	});

	// Guards callers of one connection after another against bounds that are not given back.
	it('counts nothing for connections that are closed and calls that are answered', async () => {
		limitTo({connections: 2, headBytes: 1500, waitingBytes: 9000});
		const server = await startListener();
		for (let round = 0; round < 5; round++) {
			const incomplete = await connectAndSend(server, `GET / HTTP/1.1\r\nx: ${'y'.repeat(1000)}`);
			incomplete.destroy();
			const caller = await connectAndSend(server, getCall(`/a${round}`) + getCall(`/b${round}`));
			answers.get(`/a${round}`)!.end();
			await delay(10);
			answers.get(`/b${round}`)!.end();
			await delay(10);
			caller.destroy();
			await delay(10);
		}

		expect([answers.size, closed]).toEqual([10, []]);
	});
});

describe('connectionLimits', () => {
	it('derives the bounds from the resources of the process', () => {
		const connectionsOf = (memoryMegabytes: number, descriptors: number) => {
			const {connections, headBytes} = connectionLimits({memoryMegabytes, descriptors, heapBytes: 96 * megabyte});
			return [connections, headBytes / megabyte];
		};

		expect([connectionsOf(202, 2069), connectionsOf(350, 4100), connectionsOf(64, 8192), connectionsOf(0, 0)]).toEqual([[1551, 4], [3075, 4], [1398, 4 / 3], [4194, 4]]);
	});
});
