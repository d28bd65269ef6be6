/** Creates and connects the parts of a daemon of a self-coordinated fleet. */
import {err, ok, type Result} from 'neverthrow';
import {BurnCopies} from '../common/burn/burn-copies.ts';
import {BurnLedger} from '../common/burn/burn-ledger.ts';
import {DefaultCallEngine} from '../common/calls/call-engine.ts';
import {WakeGuard} from '../common/calls/wake-guard.ts';
import {EntryVm, isCallEffect} from '../common/entry-vm/entry-vm.ts';
import {type EntryVmEffect, type EntryVmEvent} from '../common/entry-vm/types.ts';
import {describeFailure, type Failure} from '../common/errors/failure.ts';
import {FleetCoordinator} from '../common/fleet/fleet-coordinator.ts';
import {type AddressAnswer as FleetAnswer, type FleetSettings} from '../common/fleet/types.ts';
import {DisposableStore} from '../common/lifecycle/disposable.ts';
import {JaydaleDialect} from '../common/protocol/jaydale-dialect.ts';
import {OrganisationDirectory} from '../common/organisations/organisation-directory.ts';
import {seededRandom} from '../common/random/random.ts';
import {type OperatorToken, type Settings} from '../common/settings/settings.ts';
import {OperatorDirectory} from '../node/api/operator-directory.ts';
import {OperatorServer} from '../node/api/operator-server.ts';
import {ResourceApi} from '../node/api/resource-api.ts';
import {type Clock, ProcessClock} from '../node/clock.ts';
import {DeciderLoop} from '../node/decider-loop.ts';
import {entropySeed} from '../node/entropy.ts';
import {FleetEffectExecutor} from '../node/fleet/fleet-effect-executor.ts';
import {BackendConnections} from '../node/front/backend-connections.ts';
import {CallEffectExecutor} from '../node/front/call-effect-executor.ts';
import {type AddressList, CallerServer} from '../node/front/caller-server.ts';
import {HttpLoadProbeClient} from '../node/front/http-load-probe-client.ts';
import {StoreKeyClaimer} from '../node/front/store-key-claimer.ts';
import {keyDigest} from '../node/key-digest.ts';
import {type Logging} from '../node/logging/logging.ts';
import {type Logger} from '../node/logging/types.ts';
import {HeldMemory} from '../node/memory/held-memory.ts';
import {CountedLoadProbeClient, CountedPlatformClient} from '../node/metrics/counted-clients.ts';
import {noMetrics} from '../node/metrics/no-metrics.ts';
import {StatsdMetrics} from '../node/metrics/statsd-metrics.ts';
import {type Metrics} from '../node/metrics/types.ts';
import {BurnExchange} from '../node/peers/burn-exchange.ts';
import {GrpcPeerTransport} from '../node/peers/grpc-peer-transport.ts';
import {
	checkTlsFiles, type PeerCredentials, plainCredentials, watchTlsFiles,
} from '../node/peers/peer-credentials.ts';
import {QuarantineExchange} from '../node/peers/quarantine-exchange.ts';
import {HttpPlatformClient} from '../node/platform/http-platform-client.ts';
import {BurnReporter} from './burn-reporter.ts';
import {HeldMemoryLog} from './held-memory-log.ts';
import {Daemon} from './daemon.ts';
import {FleetGateway} from './fleet-gateway.ts';
import {newIdentity, type Hashes} from './identity.ts';
import {PauseDetector} from './pause-detector.ts';

/** A connection to a backend server usually opens within 1 ms; a lost packet adds 1 s. */
const connectMilliseconds = 1500;

/** Idle connections to backend servers are closed, since they count towards the limit of 250 that all VMs share. */
const backendIdleTimeoutMilliseconds = 30_000;

/** Time within which the whole head of a request must arrive. */
const headMilliseconds = 10_000;

/** A caller that reads no byte for this long is assumed to be gone. TCP alone reports that only after a quarter of an hour. */
const stallMilliseconds = 120_000;

/** Idle timeout of callers' connections; longer than the usual gap between two calls of one caller. */
const callerIdleTimeoutMilliseconds = 60_000;

/** Minimum number of VMs that serve one service. The load still spreads if two of them fail. */
const minSubsetSize = 16;

function joinAddress(address: string, port: number): string {
	return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
}

function splitAddress(text: string): {address: string; port: number} {
	const colon = text.lastIndexOf(':');
	return {address: text.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(text.slice(colon + 1))};
}

function toAddressList(answer: FleetAnswer): AddressList | undefined {
	if (answer.addresses.length === 0) {
		return undefined;
	}

	const vms = answer.addresses.map(choice => ({...splitAddress(choice.address), weight: choice.weight}));
	return {vms, keepForMilliseconds: answer.keepForMilliseconds};
}

function fleetSettings(settings: Settings, identity: string): FleetSettings {
	return {
		identity,
		peerAddress: joinAddress(settings.vm.address, settings.peers.port),
		callAddress: joinAddress(settings.vm.address, settings.callers.port),
		dataCentre: settings.vm.dataCentre,
		seeds: settings.peers.seeds,
		defaultPeerPort: settings.peers.port,
		shareSlots: settings.shares.slots,
		shareLeaseMilliseconds: settings.shares.leaseMilliseconds,
		addressTtlMilliseconds: settings.answers.keepForMilliseconds,
		minSubsetSize,
	};
}

function peerCredentials(settings: Settings, now: Date): Result<PeerCredentials, Failure<string>> {
	const {tls} = settings.peers;
	return tls === undefined ? ok(plainCredentials()) : checkTlsFiles(tls, settings.vm.address, now).map(() => watchTlsFiles(tls, settings.vm.address));
}

/** Creates a daemon from validated settings. No listener is open yet. Fails if the TLS files of the peers' listener are unusable. */
export function wireDaemon(settings: Settings, tokens: readonly OperatorToken[], logging: Logging, hashes: Hashes): Result<Daemon, Failure<string>> {
	const credentials = peerCredentials(settings, new Date());
	return credentials.isErr() ? err(credentials.error) : ok(makeDaemon(settings, tokens, {logging, hashes, credentials: credentials.value}));
}

type WiringInputs = {readonly logging: Logging; readonly hashes: Hashes; readonly credentials: PeerCredentials};

/** Dependencies shared by all parts. */
type SharedParts = {
	readonly settings: Settings;
	readonly owned: DisposableStore;
	readonly clock: Clock;
	readonly logging: Logging;
	readonly logger: Logger;
	readonly hashes: Hashes;
	readonly metrics: Metrics;
	readonly identity: string;
};

function makeSharedParts(settings: Settings, {logging, hashes}: WiringInputs): SharedParts {
	const owned = new DisposableStore();
	const {logger} = logging;
	const metrics = settings.metrics.enabled
		? owned.add(new StatsdMetrics(settings, message => {
			logger.debug('metrics were not sent', {reason: message});
		}))
		: noMetrics;
	return {
		settings, owned, clock: new ProcessClock(), logging, logger, hashes, metrics, identity: newIdentity(),
	};
}

/** Creates the deciders and the loop that runs them. */
function makeDeciders({settings, owned, clock, hashes, identity}: SharedParts) {
	const random = seededRandom(entropySeed());
	const fleet = fleetSettings(settings, identity);
	const calls = new WakeGuard(new DefaultCallEngine({random, settings: {dataCentre: settings.vm.dataCentre}}));
	const entryVm = new EntryVm(calls, new FleetCoordinator(fleet, random, hashes.hash32));
	const loop = owned.add(new DeciderLoop<EntryVmEvent, EntryVmEffect>(entryVm, clock));
	return {callAddress: fleet.callAddress, entryVm, loop};
}

type Deciders = ReturnType<typeof makeDeciders>;

/** Creates the clients of the platform's service and of the other VMs. */
function makeClients({settings, owned, clock, logger, metrics}: SharedParts, credentials: PeerCredentials) {
	const client = owned.add(new HttpPlatformClient(settings.platform.url, settings.platform.requestTimeoutMilliseconds));
	const platform = new CountedPlatformClient(client, clock, metrics);
	const peers = owned.add(new GrpcPeerTransport(joinAddress(settings.peers.address, settings.peers.port), credentials, () => clock.now()));
	owned.add(peers.onFailure(trouble => {
		logger.debug('message to another VM failed', {peer: trouble.address, failure: describeFailure(trouble.failure)});
	}));
	return {platform, peers};
}

type Clients = ReturnType<typeof makeClients>;

/** Creates the parts that a call passes: the callers' listener, attempts, load probes, and claims of idempotency keys. */
function makeCallPath({settings, owned, clock, logger, hashes, metrics, identity}: SharedParts, {entryVm, loop}: Deciders, {platform}: Clients) {
	const connections = owned.add(new BackendConnections({connectMilliseconds, idleMilliseconds: backendIdleTimeoutMilliseconds}));
	const loadProbeClient = new CountedLoadProbeClient(new HttpLoadProbeClient(connections, new JaydaleDialect()), metrics);
	const keyClaimer = new StoreKeyClaimer(platform, clock, identity, hashes.digest);
	const callEffectExecutor = owned.add(new CallEffectExecutor(loop, loadProbeClient, keyClaimer));
	const heldMemory = owned.add(new HeldMemory());
	owned.add(new HeldMemoryLog(heldMemory, clock, logger, metrics));
	const callerServer = owned.add(new CallerServer({
		sink: loop,
		calls: callEffectExecutor,
		connections,
		addresses: service => toAddressList(entryVm.fleet.addresses(service, clock.now())),
		fingerprint: hashes.fingerprint,
		organisations: new OrganisationDirectory(keyDigest),
		heldMemory,
	}, {
		headBytes: settings.limits.headBytes,
		headMilliseconds,
		stallMilliseconds,
		idleMilliseconds: callerIdleTimeoutMilliseconds,
		bodyBytes: settings.limits.bodyBytes,
		keptBodyBytes: settings.limits.replayBytes,
		connections: settings.limits.connections,
	}));
	return {connections, callEffectExecutor, callerServer};
}

/** Creates the counters for the burn report and their exchange between VMs. */
function makeBurn({settings, owned, clock, identity}: SharedParts, {callAddress, entryVm}: Deciders, {peers}: Clients) {
	const ledger = new BurnLedger();
	const copies = new BurnCopies();
	const burnReporter = new BurnReporter({
		identity, vmName: settings.vm.name, callAddress, clock, fleet: entryVm.fleet, calls: entryVm.calls, ledger, copies,
	});
	const burnExchange = owned.add(new BurnExchange({
		transport: peers, clock, copies, own: () => burnReporter.ownCounts(), peers: () => burnReporter.peerAddresses(),
	}));
	return {ledger, burnReporter, burnExchange};
}

type Burn = ReturnType<typeof makeBurn>;

/** Creates the exchange that sends a lifted quarantine to all VMs, and feeds those received to the deciders. */
function makeQuarantine({owned}: SharedParts, {loop}: Deciders, {peers}: Clients): QuarantineExchange {
	const quarantine = owned.add(new QuarantineExchange(peers));
	owned.add(quarantine.onLifted(fingerprint => {
		loop.feed({type: 'quarantine-lifted', fingerprint});
	}));
	return quarantine;
}

type GatewayDependencies = {readonly fleetEffectExecutor: FleetEffectExecutor; readonly burn: Burn; readonly quarantine: QuarantineExchange};

function makeOperatorServer(sharedParts: SharedParts, tokens: readonly OperatorToken[], {entryVm}: Deciders, {fleetEffectExecutor, burn, quarantine}: GatewayDependencies): OperatorServer {
	const {settings, owned, clock, logging, logger, metrics} = sharedParts;
	const gateway = new FleetGateway({
		vmName: settings.vm.name,
		dataCentre: settings.vm.dataCentre,
		clock,
		fleet: entryVm.fleet,
		fleetEffectExecutor,
		calls: entryVm.calls,
		liftOnAllVms: async fingerprint => quarantine.lift(fingerprint, burn.burnReporter.peerAddresses()),
		burn: async () => burn.burnReporter.report(burn.burnExchange),
		logger,
		logControl: logging,
		wallClock: () => new Date(),
	});
	const api = new ResourceApi({
		gateway, directory: new OperatorDirectory(tokens), logger, metrics, bodyBytes: settings.limits.operatorBodyBytes,
	});
	return owned.add(new OperatorServer(api));
}

function makeDaemon(settings: Settings, tokens: readonly OperatorToken[], inputs: WiringInputs): Daemon {
	const sharedParts = makeSharedParts(settings, inputs);
	const deciders = makeDeciders(sharedParts);
	const clients = makeClients(sharedParts, inputs.credentials);
	const fleetEffectExecutor = sharedParts.owned.add(new FleetEffectExecutor(deciders.loop, sharedParts.clock, clients.platform, clients.peers));
	const callPath = makeCallPath(sharedParts, deciders, clients);
	const burn = makeBurn(sharedParts, deciders, clients);
	const quarantine = makeQuarantine(sharedParts, deciders, clients);
	const operatorServer = makeOperatorServer(sharedParts, tokens, deciders, {fleetEffectExecutor, burn, quarantine});
	const pauseDetector = sharedParts.owned.add(new PauseDetector(sharedParts.clock, () => Date.now()));
	deciders.loop.setExecutor(effect => {
		if (isCallEffect(effect)) {
			callPath.callEffectExecutor.execute(effect);
		} else if (effect.type !== 'send-datagram') {
			// Limit slots are leases in the store of the platform; a fleet that coordinates itself has none.
			fleetEffectExecutor.execute(effect);
		}
	});
	return new Daemon({
		...sharedParts, ...deciders, ...callPath, ...burn, fleetEffectExecutor, operatorServer, peers: clients.peers, pauseDetector,
	}, sharedParts.owned);
}
