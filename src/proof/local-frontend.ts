/** A listener for callers with a real call engine within this process, and backend servers on raw sockets. */
import {createServer, type Server, type Socket} from 'node:net';
import {DefaultCallEngine} from '../common/calls/call-engine.ts';
import {type CallSummary} from '../common/calls/types.ts';
import {isCallEffect} from '../common/entry-vm/entry-vm.ts';
import {type DisposableStore, toDisposable} from '../common/lifecycle/disposable.ts';
import {backendServerSchema, serviceSchema} from '../common/model/resources.ts';
import {OrganisationDirectory} from '../common/organisations/organisation-directory.ts';
import {JaydaleDialect} from '../common/protocol/jaydale-dialect.ts';
import {seededRandom} from '../common/random/random.ts';
import {ProcessClock} from '../node/clock.ts';
import {DeciderLoop} from '../node/decider-loop.ts';
import {BackendConnections} from '../node/front/backend-connections.ts';
import {CallEffectExecutor} from '../node/front/call-effect-executor.ts';
import {CallerServer, type CallerServerLimits} from '../node/front/caller-server.ts';
import {HttpLoadProbeClient} from '../node/front/http-load-probe-client.ts';
import {keyDigest} from '../node/key-digest.ts';
import {HeldMemory} from '../node/memory/held-memory.ts';

export const limits = {
	headBytes: 16_384, headMilliseconds: 5000, stallMilliseconds: 300, idleMilliseconds: 5000, bodyBytes: 200_000, keptBodyBytes: 65_536, connections: 100,
};

/** The services do not claim idempotency keys. */
const unusedKeyClaimer = {claim: () => undefined, release: async () => undefined};

export type Frontend = {readonly url: string; readonly ended: CallSummary[]; readonly server: CallerServer};

/**
 * Starts the callers' listener with a real engine and one backend server on each of the given ports. `timeoutMilliseconds` is
 * the time limit of the service; a caller's header can lower it but not raise it.
 */
export async function startFrontend(store: DisposableStore, ports: readonly number[], limitOverrides: Partial<CallerServerLimits> = {}, timeoutMilliseconds = 2000): Promise<Frontend> {
	const connections = store.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 5000}));
	const engine = new DefaultCallEngine({random: seededRandom(1), settings: {dataCentre: 'north'}});
	const loop = store.add(new DeciderLoop(engine, new ProcessClock()));
	const calls = store.add(new CallEffectExecutor(loop, new HttpLoadProbeClient(connections, new JaydaleDialect()), unusedKeyClaimer));
	loop.setExecutor(effect => {
		if (isCallEffect(effect)) {
			calls.execute(effect);
		}
	});
	const server = store.add(new CallerServer({
		sink: loop,
		calls,
		connections,
		addresses: () => undefined,
		fingerprint: ({method, path}) => `${method} ${path}`,
		organisations: new OrganisationDirectory(keyDigest),
		heldMemory: store.add(new HeldMemory()),
	}, {...limits, ...limitOverrides}));
	const ended: CallSummary[] = [];
	store.add(calls.onCallEnded(({summary}) => {
		ended.push(summary);
	}));
	const service = serviceSchema.parse({
		kind: 'service', name: 'orders', timeoutMilliseconds, retryShare: 1,
	});
	const servers = ports.map((port, index) => backendServerSchema.parse({
		kind: 'backend-server', name: `orders-${index}`, service: 'orders', address: '127.0.0.1', port, dataCentre: 'north',
	}));
	loop.feed({
		type: 'configured',
		configuration: {
			version: 1,
			services: new Map([['orders', service]]),
			backendServers: new Map(servers.map(item => [`identity-of-${item.name}`, item])),
			sharingRules: [],
		},
	});
	const port = await server.listen(0, '127.0.0.1');
	return {url: `http://127.0.0.1:${port._unsafeUnwrap()}/services/orders`, ended, server};
}

/** Starts a TCP server that acts as a misbehaving backend server; resolves with its port. */
export async function startRawServer(store: DisposableStore, onSocket: (socket: Socket) => void): Promise<number> {
	const server: Server = createServer(socket => {
		socket.on('error', () => undefined);
		onSocket(socket);
	});
	const sockets = new Set<Socket>();
	server.on('connection', socket => {
		sockets.add(socket);
	});
	store.add(toDisposable(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	}));
	return new Promise(resolve => {
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			resolve(typeof address === 'object' && address !== null ? address.port : 0);
		});
	});
}
