/** The one place where the parts of a daemon are made. */
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
import {seededRandom} from '../common/random/random.ts';
import {type OperatorToken, type Settings} from '../common/settings/settings.ts';
import {OperatorDirectory} from '../node/api/operator-directory.ts';
import {OperatorServer} from '../node/api/operator-server.ts';
import {ResourceApi} from '../node/api/resource-api.ts';
import {type Clock, ProcessClock} from '../node/clock.ts';
import {DeciderLoop} from '../node/decider-loop.ts';
import {entropySeed} from '../node/entropy.ts';
import {FleetCarrier} from '../node/fleet/fleet-carrier.ts';
import {BackendConnections} from '../node/front/backend-connections.ts';
import {CallEffectExecutor} from '../node/front/call-effect-executor.ts';
import {type AddressList, CallerServer} from '../node/front/caller-server.ts';
import {HttpLoadProbeClient} from '../node/front/http-load-probe-client.ts';
import {StoreKeyClaimer} from '../node/front/store-key-claimer.ts';
import {type Logging} from '../node/logging/logging.ts';
import {type Logger} from '../node/logging/types.ts';
import {CountedMeasurer, CountedPlatformClient} from '../node/metrics/counted-parts.ts';
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
import {Daemon} from './daemon.ts';
import {FleetGateway} from './fleet-gateway.ts';
import {newIdentity, type Hashes} from './identity.ts';
import {PauseWatch} from './pause-watch.ts';

/** Time for a new connection to a backend server: 1 ms is usual, a lost packet costs 1 s more. */
const connectMilliseconds = 1500;

/** Idle connections to backend servers close after this long: they count against the 250 shared by all VMs. */
const backendIdleMilliseconds = 30_000;

/** A caller's whole head must be there after this long. */
const headMilliseconds = 10_000;

/** A caller that takes no byte for this long is gone: TCP alone tells only after a quarter of an hour. */
const stallMilliseconds = 120_000;

/** Idle connections of callers; longer than the usual gap between two calls of one caller. */
const callerIdleMilliseconds = 60_000;

/** Number of VMs that carry one service at least: two may fail, and the answers still spread. */
const minSubsetSize = 16;

function joinAddress(address: string, port: number): string {
	return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
}

function splitAddress(text: string): {address: string; port: number} {
	const colon = text.lastIndexOf(':');
	return {address: text.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(text.slice(colon + 1))};
}

function toCallerAnswer(answer: FleetAnswer): AddressList | undefined {
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

/** Makes a daemon from checked settings. Nothing listens yet. */
export function wireDaemon(settings: Settings, tokens: readonly OperatorToken[], logging: Logging, hashes: Hashes): Result<Daemon, Failure<string>> {
	const credentials = peerCredentials(settings, new Date());
	return credentials.isErr() ? err(credentials.error) : ok(makeDaemon(settings, tokens, {logging, hashes, credentials: credentials.value}));
}

type Made = {readonly logging: Logging; readonly hashes: Hashes; readonly credentials: PeerCredentials};

/** What every part may need. */
type Base = {
	readonly settings: Settings;
	readonly owned: DisposableStore;
	readonly clock: Clock;
	readonly logging: Logging;
	readonly logger: Logger;
	readonly hashes: Hashes;
	readonly metrics: Metrics;
	readonly identity: string;
};

function makeBase(settings: Settings, {logging, hashes}: Made): Base {
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

/** The deciders and the loop round them. */
function makeDeciders({settings, owned, clock, hashes, identity}: Base) {
	const random = seededRandom(entropySeed());
	const fleet = fleetSettings(settings, identity);
	const calls = new WakeGuard(new DefaultCallEngine({random, settings: {dataCentre: settings.vm.dataCentre}}));
	const entryVm = new EntryVm(calls, new FleetCoordinator(fleet, random, hashes.hash32));
	const loop = owned.add(new DeciderLoop<EntryVmEvent, EntryVmEffect>(entryVm, clock));
	return {callAddress: fleet.callAddress, entryVm, loop};
}

type Deciders = ReturnType<typeof makeDeciders>;

/** Connections to the platform's service and to other VMs. */
function makeOutside({settings, owned, clock, logger, metrics}: Base, credentials: PeerCredentials) {
	const client = owned.add(new HttpPlatformClient(settings.platform.url, settings.platform.requestTimeoutMilliseconds));
	const platform = new CountedPlatformClient(client, clock, metrics);
	const peers = owned.add(new GrpcPeerTransport(joinAddress(settings.peers.address, settings.peers.port), credentials, () => clock.now()));
	owned.add(peers.onTrouble(trouble => {
		logger.debug('message to another VM failed', {peer: trouble.address, failure: describeFailure(trouble.failure)});
	}));
	return {platform, peers};
}

type Outside = ReturnType<typeof makeOutside>;

/** The path of a call: callers' listener, attempts, measuring, claims of keys. */
function makeFront({settings, owned, clock, hashes, metrics, identity}: Base, {entryVm, loop}: Deciders, {platform}: Outside) {
	const connections = owned.add(new BackendConnections({connectMilliseconds, idleMilliseconds: backendIdleMilliseconds}));
	const measurer = new CountedMeasurer(new HttpLoadProbeClient(connections, new JaydaleDialect()), metrics);
	const keyClaimer = new StoreKeyClaimer(platform, clock, identity, hashes.digest);
	const callCarrier = owned.add(new CallEffectExecutor(loop, measurer, keyClaimer));
	const callerServer = owned.add(new CallerServer({
		sink: loop,
		calls: callCarrier,
		connections,
		addresses: service => toCallerAnswer(entryVm.fleet.addresses(service, clock.now())),
		fingerprint: hashes.fingerprint,
	}, {
		headBytes: settings.limits.headBytes,
		headMilliseconds,
		stallMilliseconds,
		idleMilliseconds: callerIdleMilliseconds,
		bodyBytes: settings.limits.bodyBytes,
		keptBodyBytes: settings.limits.replayBytes,
		connections: settings.limits.connections,
	}));
	return {connections, callCarrier, callerServer};
}

/** Counts for the report on burn, and their exchange between VMs. */
function makeBurn({settings, owned, clock, identity}: Base, {callAddress, entryVm}: Deciders, {peers}: Outside) {
	const ledger = new BurnLedger();
	const copies = new BurnCopies();
	const burnReporter = new BurnReporter({
		identity, vmName: settings.vm.name, callAddress, clock, fleet: entryVm.fleet, calls: entryVm.calls, ledger, copies,
	});
	const burnExchange = owned.add(new BurnExchange({
		transport: peers, clock, copies, own: () => burnReporter.own(), peers: () => burnReporter.peers(),
	}));
	return {ledger, burnReporter, burnExchange};
}

type Burn = ReturnType<typeof makeBurn>;

/** Every VM hears when an operator lifts a quarantine. */
function makeQuarantine({owned}: Base, {loop}: Deciders, {peers}: Outside): QuarantineExchange {
	const quarantine = owned.add(new QuarantineExchange(peers));
	owned.add(quarantine.onLifted(fingerprint => {
		loop.feed({type: 'quarantine-lifted', fingerprint});
	}));
	return quarantine;
}

type GatewayNeeds = {readonly fleetCarrier: FleetCarrier; readonly burn: Burn; readonly quarantine: QuarantineExchange};

/** The operators' listener. */
function makeOperatorServer(base: Base, tokens: readonly OperatorToken[], {entryVm}: Deciders, {fleetCarrier, burn, quarantine}: GatewayNeeds): OperatorServer {
	const {settings, owned, clock, logging, logger, metrics} = base;
	const gateway = new FleetGateway({
		vmName: settings.vm.name,
		dataCentre: settings.vm.dataCentre,
		clock,
		fleet: entryVm.fleet,
		fleetCarrier,
		calls: entryVm.calls,
		liftEverywhere: async fingerprint => quarantine.lift(fingerprint, burn.burnReporter.peers()),
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

function makeDaemon(settings: Settings, tokens: readonly OperatorToken[], made: Made): Daemon {
	const base = makeBase(settings, made);
	const deciders = makeDeciders(base);
	const outside = makeOutside(base, made.credentials);
	const fleetCarrier = base.owned.add(new FleetCarrier(deciders.loop, base.clock, outside.platform, outside.peers));
	const front = makeFront(base, deciders, outside);
	const burn = makeBurn(base, deciders, outside);
	const quarantine = makeQuarantine(base, deciders, outside);
	const operatorServer = makeOperatorServer(base, tokens, deciders, {fleetCarrier, burn, quarantine});
	const pauseWatch = base.owned.add(new PauseWatch(base.clock, () => Date.now()));
	deciders.loop.setCarrier(effect => {
		if (isCallEffect(effect)) {
			front.callCarrier.execute(effect);
		} else {
			fleetCarrier.carryOut(effect);
		}
	});
	return new Daemon({
		...base, ...deciders, ...front, ...burn, fleetCarrier, operatorServer, peers: outside.peers, pauseWatch,
	}, base.owned);
}
