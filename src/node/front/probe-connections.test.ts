import {createServer, type Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type CallEvent} from '../../common/calls/types.ts';
import {JaydaleDialect} from '../../common/protocol/jaydale-dialect.ts';
import {BackendServerStandIn} from '../../stand-ins/backend-server/backend-server-stand-in.ts';
import {BackendAttempt} from './backend-attempt.ts';
import {BackendConnections} from './backend-connections.ts';
import {HttpLoadProbeClient} from './http-load-probe-client.ts';
import {startBackend} from './test-utilities.test.ts';

type Options = {readonly answerDelays?: readonly number[]};

/** Probes one backend server with a timeout of 50 ms; counts its connections. */
async function startProbing(store: DisposableStore, {answerDelays = []}: Options) {
	let opened = 0;
	let requests = 0;
	const server: Server = createServer((_incoming, outgoing) => {
		setTimeout(() => outgoing.end('{}'), answerDelays[requests++] ?? 0);
	});
	server.on('connection', () => opened++);
	store.add(toDisposable(() => {
		server.closeAllConnections();
		server.close();
	}));
	const port = await new Promise<number>(resolve => {
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			resolve(typeof address === 'object' && address !== null ? address.port : 0);
		});
	});
	const connections = store.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 5000}));
	const client = new HttpLoadProbeClient(connections, new JaydaleDialect());
	let lastId = 0;
	const probe = async (): Promise<CallEvent> => new Promise(resolve => {
		client.probe({
			type: 'measure', service: 'orders', path: '/load', loadProbeId: ++lastId, identity: 'one', address: '127.0.0.1', port, timeoutMilliseconds: 50,
		}, {
			feed(event) {
				resolve(event);
			},
		});
	});
	return {probe, opened: () => opened};
}

describe('connections of load probes', () => {
	const store = new DisposableStore();
	after(() => {
		store.dispose();
	});

	// Guards backend servers against new connections whenever a VM or a backend server is busy for a moment.
	it('stay open if an answer comes after the timeout', async () => {
		const {probe, opened} = await startProbing(store, {answerDelays: [0, 150]});
		await probe();
		const late = await probe();
		await delay(200);
		await probe();
		expect([late.type === 'measured' && late.report === undefined, opened()]).toEqual([true, 1]);
	});

	// Guards probes against a timeout whose cause is this VM: its timers run before the answers that arrived meanwhile.
	it('are not given up for answers that arrived while this VM was busy', async () => {
		const {probe, opened} = await startProbing(store, {});
		await probe();
		const pending = probe();
		await delay(5);
		const until = performance.now() + 100;
		while (performance.now() < until) {
			// Keeps the event loop busy beyond the timeout.
		}

		const event = await pending;
		await probe();
		expect([event.type, opened()]).toEqual(['measured', 1]);
	});

	// Guards calls against the late answer to a probe, and backend servers against a new connection for each probe or call.
	it('are reused by probes, and never by calls', async () => {
		const backend = store.add(new BackendServerStandIn({workMilliseconds: 5}));
		const port = await startBackend(backend);
		const connections = store.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 5000}));
		const client = new HttpLoadProbeClient(connections, new JaydaleDialect());
		const target = {identity: 'one', address: '127.0.0.1', port};
		const opened = {calls: 0, 'load-probes': 0};
		connections.pool(target, 'calls').on('connect', () => opened.calls++);
		connections.pool(target, 'load-probes').on('connect', () => opened['load-probes']++);
		for (let index = 1; index <= 20; index++) {
			await new Promise<void>(resolve => {
				client.probe({
					type: 'measure', service: 'orders', path: '/load', loadProbeId: index, ...target, timeoutMilliseconds: 1000,
				}, {
					feed() {
						resolve();
					},
				});
			});
			await new Promise<void>(resolve => {
				const attempt = new BackendAttempt(index, {
					onSent: () => undefined,
					onHead: () => undefined,
					onData: () => true,
					onEnd() {
						resolve();
					},
					onFailure() {
						throw new Error('unexpected failure');
					},
				});
				connections.dispatch(target, 'calls', {
					options: attempt.dispatchOptions({
						method: 'GET', path: `/services/orders/${index}`, headers: [], body: undefined,
					}),
					handler: attempt,
					isNeeded: () => attempt.isNeeded,
				});
			});
		}

		expect([opened, backend.counts().measured]).toEqual([{calls: 1, 'load-probes': 1}, 20]);
	});
});
