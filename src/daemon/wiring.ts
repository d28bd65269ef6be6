/** The one place where the parts of a daemon are made. */
import {randomInt} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {DefaultCallEngine} from '../common/calls/call-engine.ts';
import {WakeGuard} from '../common/calls/wake-guard.ts';
import {EntryVm, isCallEffect} from '../common/entry-vm/entry-vm.ts';
import {type EntryVmEffect, type EntryVmEvent} from '../common/entry-vm/types.ts';
import {describeFailure, type Failure} from '../common/errors/failure.ts';
import {FleetCoordinator} from '../common/fleet/fleet-coordinator.ts';
import {type AddressAnswer as FleetAnswer, type FleetSettings} from '../common/fleet/types.ts';
import {DisposableStore} from '../common/lifecycle/disposable.ts';
import {seededRandom} from '../common/random/random.ts';
import {type OperatorToken, type Settings} from '../common/settings/settings.ts';
import {OperatorDirectory} from '../node/api/operator-directory.ts';
import {OperatorServer} from '../node/api/operator-server.ts';
import {ResourceApi} from '../node/api/resource-api.ts';
import {ProcessClock} from '../node/clock.ts';
import {DeciderLoop} from '../node/decider-loop.ts';
import {FleetCarrier} from '../node/fleet/fleet-carrier.ts';
import {BackendConnections} from '../node/front/backend-connections.ts';
import {CallCarrier} from '../node/front/call-carrier.ts';
import {type AddressAnswer, CallerServer} from '../node/front/caller-server.ts';
import {LoadMeasurer} from '../node/front/load-measurer.ts';
import {StoreKeyClaimer} from '../node/front/store-key-claimer.ts';
import {type Logging} from '../node/logging/logging.ts';
import {GrpcPeerTransport} from '../node/peers/grpc-peer-transport.ts';
import {
	checkTlsFiles, type PeerCredentials, plainCredentials, watchTlsFiles,
} from '../node/peers/peer-credentials.ts';
import {HttpPlatformClient} from '../node/platform/http-platform-client.ts';
import {CountedMeasurer, CountedPlatformClient} from '../node/metrics/counted-parts.ts';
import {noMetrics} from '../node/metrics/no-metrics.ts';
import {StatsdMetrics} from '../node/metrics/statsd-metrics.ts';
import {QuarantineExchange} from '../node/peers/quarantine-exchange.ts';
import {BurnExchange} from '../node/peers/burn-exchange.ts';
import {BurnCopies} from '../common/burn/burn-copies.ts';
import {BurnLedger} from '../common/burn/burn-ledger.ts';
import {BurnReporter} from './burn-reporter.ts';
import {Daemon} from './daemon.ts';
import {FleetGateway} from './fleet-gateway.ts';
import {freshIdentity, type Hashes} from './identity.ts';
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
const smallestSubset = 16;

const largestSeed = 2 ** 31;

function joinAddress(address: string, port: number): string {
	return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
}

function splitAddress(text: string): {address: string; port: number} {
	const colon = text.lastIndexOf(':');
	return {address: text.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(text.slice(colon + 1))};
}

function toCallerAnswer(answer: FleetAnswer): AddressAnswer | undefined {
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
		answerKeepMilliseconds: settings.answers.keepForMilliseconds,
		smallestSubset,
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

function makeDaemon(settings: Settings, tokens: readonly OperatorToken[], {logging, hashes, credentials}: Made): Daemon {
	const owned = new DisposableStore();
	const clock = new ProcessClock();
	const {logger} = logging;
	const identity = freshIdentity();
	const random = seededRandom(randomInt(largestSeed));

	const metrics = settings.metrics.enabled
		? owned.add(new StatsdMetrics(settings, message => {
			logger.debug('metrics were not sent', {reason: message});
		}))
		: noMetrics;
	const httpClient = owned.add(new HttpPlatformClient(settings.platform.url, settings.platform.requestTimeoutMilliseconds));
	const platform = new CountedPlatformClient(httpClient, clock, metrics);
	const peers = owned.add(new GrpcPeerTransport(joinAddress(settings.peers.address, settings.peers.port), credentials, () => clock.now()));
	owned.add(peers.onTrouble(trouble => {
		logger.debug('message to another VM failed', {peer: trouble.address, failure: describeFailure(trouble.failure)});
	}));
	const fleet = fleetSettings(settings, identity);
	const fleetEngine = new FleetCoordinator(fleet, random, hashes.hash32);

	const connections = owned.add(new BackendConnections({connectMilliseconds, idleMilliseconds: backendIdleMilliseconds}));
	const callEngine = new WakeGuard(new DefaultCallEngine({random, settings: {dataCentre: settings.vm.dataCentre}}));
	const entryVm = new EntryVm(callEngine, fleetEngine);
	const loop = owned.add(new DeciderLoop<EntryVmEvent, EntryVmEffect>(entryVm, clock));
	const fleetCarrier = owned.add(new FleetCarrier(loop, clock, platform, peers));
	const measurer = new CountedMeasurer(new LoadMeasurer(connections), metrics);
	const keyClaimer = new StoreKeyClaimer(platform, clock, identity, hashes.digest);
	const callCarrier = owned.add(new CallCarrier(loop, measurer, keyClaimer));
	loop.setCarrier(effect => {
		if (isCallEffect(effect)) {
			callCarrier.carryOut(effect);
		} else {
			fleetCarrier.carryOut(effect);
		}
	});
	const callerServer = owned.add(new CallerServer({
		sink: loop,
		calls: callCarrier,
		connections,
		addresses: service => toCallerAnswer(fleetEngine.addresses(service, clock.now())),
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

	const ledger = new BurnLedger();
	const copies = new BurnCopies();
	const burnReporter = new BurnReporter({
		identity, vmName: settings.vm.name, callAddress: fleet.callAddress, clock, fleet: fleetEngine, calls: callEngine, ledger, copies,
	});
	const burnExchange = owned.add(new BurnExchange({
		transport: peers, clock, copies, own: () => burnReporter.own(), peers: () => burnReporter.peers(),
	}));

	const quarantine = owned.add(new QuarantineExchange(peers));
	owned.add(quarantine.onLifted(fingerprint => {
		loop.feed({type: 'quarantine-lifted', fingerprint});
	}));

	const gateway = new FleetGateway({
		vmName: settings.vm.name,
		dataCentre: settings.vm.dataCentre,
		clock,
		fleet: fleetEngine,
		fleetCarrier,
		calls: callEngine,
		liftEverywhere: async fingerprint => quarantine.lift(fingerprint, burnReporter.peers()),
		burn: async () => burnReporter.report(burnExchange),
		logger,
		logControl: logging,
		wallClock: () => new Date(),
	});
	const api = new ResourceApi({
		gateway, directory: new OperatorDirectory(tokens), logger, metrics, bodyBytes: settings.limits.operatorBodyBytes,
	});
	const operatorServer = owned.add(new OperatorServer(api));
	const pauseWatch = owned.add(new PauseWatch(clock, () => Date.now()));
	return new Daemon({
		settings, clock, logger, entryVm, loop, callCarrier, fleetCarrier, connections, callerServer, operatorServer, peers, pauseWatch, metrics, ledger, burnExchange,
	}, owned);
}

