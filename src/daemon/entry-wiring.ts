/**
 * Creates and connects the parts of an entry VM whose fleet is coordinated by the platform's store. It is separate from
 * `wiring.ts`, for the VM of a self-coordinated fleet, because each import costs start time and memory: this VM needs neither
 * gRPC nor the resource API nor membership.
 */
import {getHeapStatistics} from 'node:v8';
import {DefaultCallEngine} from '../common/calls/call-engine.ts';
import {OwnerRateQuota} from '../common/calls/backend-rates/rate-quota.ts';
import {EntryVm, isCallEffect} from '../common/entry-vm/entry-vm.ts';
import {type EntryVmEffect, type EntryVmEvent} from '../common/entry-vm/types.ts';
import {DisposableStore} from '../common/lifecycle/disposable.ts';
import {Limits} from '../common/limits/limits.ts';
import {OrganisationDirectory} from '../common/organisations/organisation-directory.ts';
import {type RoutedDialect} from '../common/protocol/dialect.ts';
import {seededRandom} from '../common/random/random.ts';
import {RegistryFleet} from '../common/registry/registry-fleet.ts';
import {type DocumentCodec, type RegistrySettings, type StoreLayout} from '../common/registry/types.ts';
import {defaultMemberHeartbeatMilliseconds} from '../common/registry/vm-loss-budget.ts';
import {RouteTable} from '../common/routing/route-table.ts';
import {type EntrySettings} from '../common/settings/entry-settings.ts';
import {ProcessClock} from '../node/clock.ts';
import {DeciderLoop} from '../node/decider-loop.ts';
import {type EarlyListeners} from '../node/early-listener.ts';
import {entropySeed} from '../node/entropy.ts';
import {FeedClient} from '../node/fleet/feed-client.ts';
import {FeedServer} from '../node/fleet/feed-server.ts';
import {StoreEffectExecutor} from '../node/fleet/store-effect-executor.ts';
import {TunnelServer} from '../node/fleet/tunnel-server.ts';
import {UpdateClient} from '../node/fleet/update-client.ts';
import {VmProbeClient} from '../node/fleet/vm-probe-client.ts';
import {type PlatformClient} from '../node/fleet/types.ts';
import {LimitSocket} from '../node/limits/limit-socket.ts';
import {BackendConnections} from '../node/front/backend-connections.ts';
import {CallEffectExecutor} from '../node/front/call-effect-executor.ts';
import {ConnectionBudget} from '../node/front/connection-budget.ts';
import {connectionLimits, limitOrInfinity} from '../node/front/connection-limits.ts';
import {HttpLoadProbeClient} from '../node/front/http-load-probe-client.ts';
import {type Page, PageServer} from '../node/front/page-server.ts';
import {RoutedServer} from '../node/front/routed-server.ts';
import {ReadinessGate} from '../node/front/readiness-gate.ts';
import {keyDigest} from '../node/key-digest.ts';
import {type Logging} from '../node/logging/logging.ts';
import {heldBytesOf, HeldMemory} from '../node/memory/held-memory.ts';
import {CountedLoadProbeClient, CountedPlatformClient} from '../node/metrics/counted-clients.ts';
import {PageMetrics} from '../node/metrics/page-metrics.ts';
import {EntryDaemon} from './entry-daemon.ts';
import {HeldMemoryLog} from './held-memory-log.ts';
import {newIdentity, type Hashes} from './identity.ts';
import {PauseDetector} from './pause-detector.ts';
import {quarantinePages} from './quarantine-pages.ts';
import {RoomLog} from './room-log.ts';

/** A connection opens within about 1 ms, or 3 ms to another data centre. One that hangs until this timeout costs a tenth of a call's time. */
const connectMilliseconds = 300;

/** Shorter than the idle timeout of backend servers, which they announce in a header of their answers. */
const backendIdleTimeoutMilliseconds = 9000;

/** A caller that reads no byte for this long is assumed to be gone. */
const stallMilliseconds = 5000;

/** Pause between two watches, as a fraction of the time within which a change must be in force. */
const watchPauseFraction = 0.4;

/** Idle connections to the directory are kept for as long as callers wait between two requests. */
const pageIdleTimeoutMilliseconds = 6000;

/**
 * A pause of the VM of this length, in which its clock stands still, ends its rights to grant rate limits. The margin of a
 * lease covers shorter ones.
 */
const minPauseMilliseconds = 250;

/**
 * Maximum connections to a listener, as a share of the descriptors. Each other VM has a connection for the feed and others for
 * tunnels to the listener for peers.
 */
const listenerShares = {
	directory: 1 / 4, readiness: 1 / 16, peers: 1 / 2, metrics: 1 / 16,
} as const;

const metricsPath = '/metrics';

/** Addresses of the VMs that a caller may use, and how long it may cache them. */
type AddressList = {readonly addresses: readonly string[]; readonly keepForMilliseconds: number};

/** Platform-specific parts: the store client, the document codec and the dialect of its callers and backend servers. */
export type PlatformParts = {
	readonly store: PlatformClient & {dispose(): void};
	readonly documents: DocumentCodec;
	readonly layout: StoreLayout;
	readonly dialect: RoutedDialect;
	/** Statuses that callers interpret as "the call has not run". */
	readonly notRunStatuses: ReadonlySet<number>;
	/** Returns the directory's page for a URL, or `undefined` if the URL is not the directory's. */
	readonly directoryPage: (url: string, answer: (service: string, dataCentre: string | undefined) => AddressList) => Page | undefined;
	/** Path of the page from which the platform reads whether this VM is ready. */
	readonly readinessPath: string;
	/** Listeners opened before the program was loaded. */
	readonly listeners?: EarlyListeners;
};

/** Creates an answer once the readiness gate lets requests through. */
async function answerWhenReady<Answer>(readinessGate: ReadinessGate, make: () => Answer): Promise<Answer> {
	return new Promise(resolve => {
		readinessGate.whenReady(() => {
			resolve(make());
		});
	});
}

async function metricsPage(metrics: PageMetrics): Promise<Page> {
	return {status: 200, contentType: 'text/plain; version=0.0.4', body: await metrics.text()};
}

function registrySettings(settings: EntrySettings, layout: StoreLayout): RegistrySettings {
	return {
		identity: newIdentity(),
		own: {
			callAddress: settings.listen.callers, peerAddress: settings.listen.peers, dataCentre: settings.vm.dataCentre, linkMegabits: settings.vm.linkMegabits,
		},
		...(settings.listen.limits === undefined ? {} : {limitsAddress: settings.listen.limits}),
		layout,
		leaseMilliseconds: settings.store.leaseSeconds * 1000,
		memberHeartbeatMilliseconds: defaultMemberHeartbeatMilliseconds,
		watchPauseMilliseconds: settings.store.convergeSeconds * 1000 * watchPauseFraction,
		convergeMilliseconds: settings.store.convergeSeconds * 1000,
		seeds: settings.seeds,
		heartbeatMilliseconds: settings.store.heartbeatSeconds * 1000,
		addressTtlMilliseconds: settings.directory.keepForSeconds * 1000,
		graceMilliseconds: settings.stop.graceSeconds * 1000,
	};
}

/** Creates an entry VM from validated settings. No listener is open yet. */
export function wireEntryDaemon(settings: EntrySettings, platform: PlatformParts, logging: Logging, hashes: Hashes): EntryDaemon {
	const owned = new DisposableStore();
	const {logger} = logging;
	const clock = new ProcessClock();
	const random = seededRandom(entropySeed());
	const metrics = new PageMetrics();
	owned.add(platform.store);
	const calls = new DefaultCallEngine({
		rateQuota: new OwnerRateQuota(hashes.hash32),
		memberHash: hashes.hash32,
		rateLimits: 'granted',
		random,
		settings: {dataCentre: settings.vm.dataCentre, notRunStatuses: platform.notRunStatuses, retryBurst: settings.calls.retryBurst},
	});
	const fleet = new RegistryFleet(registrySettings(settings, platform.layout), platform.documents, random);
	const limits = settings.listen.limits === undefined ? new Limits() : new Limits({dataCentre: settings.vm.dataCentre, random, hash: hashes.hash32});
	const entryVm = new EntryVm(calls, fleet, limits);
	const loop = owned.add(new DeciderLoop<EntryVmEvent, EntryVmEffect>(entryVm, clock));
	const storeEffectExecutor = owned.add(new StoreEffectExecutor(loop, new CountedPlatformClient(platform.store, clock, metrics)));
	const feedClient = owned.add(new FeedClient(loop, logger));
	const vmProbeClient = owned.add(new VmProbeClient(loop));
	const updateClient = owned.add(new UpdateClient(loop, logger, metrics));
	const {memoryMegabytes, descriptors} = settings.vm;
	const connectionBudget = owned.add(new ConnectionBudget(connectionLimits({memoryMegabytes, descriptors, heapBytes: getHeapStatistics().heap_size_limit})));
	const roomLog = new RoomLog(logger, metrics);
	owned.add(connectionBudget.onClosedForRoom(closed => {
		roomLog.record(closed, clock.now());
	}));
	const boundsOf = (name: keyof typeof listenerShares) => ({budget: connectionBudget, name, maxConnections: Math.ceil(limitOrInfinity(descriptors) * listenerShares[name])});
	const tunnelServer = owned.add(new TunnelServer({
		hasLinkTo: identity => calls.hasLinkTo(identity),
		relayTo: identity => calls.relayTo(identity),
		onDirectFailed(identity) {
			loop.feed({type: 'link-failed', identity});
		},
	}, metrics));
	const heldMemory = owned.add(new HeldMemory(heldBytesOf(settings.vm.memoryMegabytes)));
	owned.add(new HeldMemoryLog(heldMemory, clock, logger, metrics));
	const feedServer = owned.add(new FeedServer(metrics, {
		fullFrame: () => fleet.feed(clock.now()), isServing: identity => fleet.isServing(identity), compareEvidence: known => fleet.compareEvidence(known, clock.now()),
	}, loop, tunnelServer, {budget: heldMemory.peerMessages, bounds: boundsOf('peers')}));
	const connections = owned.add(new BackendConnections({connectMilliseconds, idleMilliseconds: backendIdleTimeoutMilliseconds}));
	connections.setRelays({
		nextRelay: (identity, tried) => calls.nextRelay(identity, tried, clock.now()),
		onRelayAsked(identity, via, hasLink) {
			calls.onRelayAsked(identity, via, hasLink, clock.now());
		},
		onDirectFailed(identity) {
			loop.feed({type: 'link-failed', identity});
		},
	});
	const callEffectExecutor = owned.add(new CallEffectExecutor(loop, new CountedLoadProbeClient(new HttpLoadProbeClient(connections, platform.dialect), metrics), noKeyClaimer));
	const readinessGate = owned.add(new ReadinessGate());
	const routedServer = owned.add(new RoutedServer({
		sink: loop,
		calls: callEffectExecutor,
		connections,
		dialect: platform.dialect,
		routes: new RouteTable(random),
		organisations: new OrganisationDirectory(keyDigest),
		fingerprint: hashes.fingerprint,
		readinessGate,
		heldMemory,
		connectionBudget,
	}, {
		keptBodyBytes: settings.calls.replayBytes, connections: settings.calls.connections, stallMilliseconds,
	}));
	const readinessServer = owned.add(new PageServer(url => {
		const isReady = fleet.status(clock.now()).stage === 'serving';
		return url === platform.readinessPath ? {status: isReady ? 200 : 503} : undefined;
	}, pageIdleTimeoutMilliseconds, {bounds: boundsOf('readiness')}));
	const directoryServer = owned.add(new PageServer(async url => answerWhenReady(readinessGate, () => platform.directoryPage(url, (service, dataCentre) => {
		const {addresses, keepForMilliseconds} = fleet.addresses(service, dataCentre);
		return {addresses: addresses.map(({address}) => address), keepForMilliseconds};
	})), pageIdleTimeoutMilliseconds, {bounds: boundsOf('directory')}));
	const metricsServer = owned.add(new PageServer(quarantinePages({
		entries: () => calls.status(clock.now()).quarantined,
		lift(fingerprint) {
			logger.info('quarantine lifted by an operator', {fingerprint});
			loop.feed({type: 'quarantine-lifted', fingerprint});
		},
	}, async url => {
		if (settings.listen.limits !== undefined) {
			const {heldSlots, ageMilliseconds = 0} = fleet.limitRights(clock.now());
			metrics.limitRights(heldSlots, ageMilliseconds);
		}

		return url === metricsPath ? metricsPage(metrics) : undefined;
	}), pageIdleTimeoutMilliseconds, {bounds: boundsOf('metrics')}));
	const limitSocket = settings.listen.limits === undefined
		? undefined
		: owned.add(new LimitSocket({
			sink: loop, clock, logger, metrics,
		}));
	if (limitSocket !== undefined) {
		// Each event could grant tokens by a right that has ended during a pause.
		const pauseDetector = owned.add(new PauseDetector(clock, () => Date.now(), minPauseMilliseconds));
		pauseDetector.onWoke(milliseconds => {
			logger.warn('the VM was suspended', {milliseconds: Math.round(milliseconds)});
			loop.feed({type: 'woke', milliseconds});
		});
		pauseDetector.start();
		loop.setBeforeEvent(() => {
			pauseDetector.check();
		});
	}

	loop.setExecutor(effect => {
		if (isCallEffect(effect)) {
			callEffectExecutor.execute(effect);
			return;
		}

		switch (effect.type) {
			case 'follow-feed': {
				feedClient.subscribe(effect.source);
				break;
			}

			case 'publish-feed': {
				feedServer.publish(effect.frame);
				break;
			}

			case 'probe-vm': {
				vmProbeClient.probe(effect.identity, effect.address);
				break;
			}

			case 'send-updates': {
				updateClient.send(effect.to, effect.updates);
				break;
			}

			case 'compare-evidence': {
				updateClient.compare(effect.to, effect.known);
				break;
			}

			case 'send-datagram': {
				limitSocket?.send(effect.to, effect.message);
				break;
			}

			case 'announce': {
				feedClient.announce(effect.announcement);
				break;
			}

			default: {
				storeEffectExecutor.execute(effect);
			}
		}
	});
	return new EntryDaemon({
		settings,
		clock,
		logger,
		logControl: logging,
		metrics,
		entryVm,
		loop,
		callEffectExecutor,
		storeEffectExecutor,
		connections,
		routedServer,
		readinessServer,
		directoryServer,
		readinessGate,
		feedServer,
		limitSocket,
		tunnelServer,
		metricsServer,
		listeners: platform.listeners ?? new Map(),
	}, owned);
}

/** Routes claim no idempotency keys: the type of a route declares whether its calls may run more than once. */
const noKeyClaimer = {claim: () => undefined, release: async () => undefined};
