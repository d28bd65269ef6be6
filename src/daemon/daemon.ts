/** Lifecycle of a daemon: opens the listeners, runs the engines, and ends when the fleet engine enters the stage `ended`. */
import {type EventLoopUtilization, performance} from 'node:perf_hooks';
import {err, type Result} from 'neverthrow';
import {describeFailure, failure, type Failure} from '../common/errors/failure.ts';
import {type BurnLedger} from '../common/burn/burn-ledger.ts';
import {type EntryVm} from '../common/entry-vm/entry-vm.ts';
import {type EntryVmEffect, type EntryVmEvent} from '../common/entry-vm/types.ts';
import {type FleetStage} from '../common/fleet/types.ts';
import {
	Disposable, type DisposableLike, type DisposableStore, MutableDisposable,
} from '../common/lifecycle/disposable.ts';
import {Emitter} from '../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../common/model/units.ts';
import {traceHeader} from '../common/protocol/headers.ts';
import {type Settings} from '../common/settings/settings.ts';
import {type OperatorServer} from '../node/api/operator-server.ts';
import {type Clock} from '../node/clock.ts';
import {ListenerOpener} from '../node/listener-opener.ts';
import {type DeciderLoop} from '../node/decider-loop.ts';
import {type FleetEffectExecutor, type DaemonEffect} from '../node/fleet/fleet-effect-executor.ts';
import {type BackendConnections} from '../node/front/backend-connections.ts';
import {type CallEffectExecutor, type EndedCall} from '../node/front/call-effect-executor.ts';
import {type CallerServer} from '../node/front/caller-server.ts';
import {type Logger} from '../node/logging/types.ts';
import {type Metrics} from '../node/metrics/types.ts';
import {type BurnExchange} from '../node/peers/burn-exchange.ts';
import {type GrpcPeerTransport, type PeerTraffic} from '../node/peers/grpc-peer-transport.ts';
import {reportCallException} from './call-exception-log.ts';
import {KeyRefusalLog} from './key-refusal-log.ts';
import {type PauseDetector} from './pause-detector.ts';
import {reportPoisonRequestChange} from './poison-request-log.ts';
import {StopReport} from './stop-report.ts';
import {UnexpectedErrors} from './unexpected-errors.ts';

/** Parts of a daemon, created by `wiring.ts`. */
export type DaemonParts = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly entryVm: EntryVm;
	readonly loop: DeciderLoop<EntryVmEvent, EntryVmEffect>;
	readonly callEffectExecutor: CallEffectExecutor;
	readonly fleetEffectExecutor: FleetEffectExecutor;
	readonly connections: BackendConnections;
	readonly callerServer: CallerServer;
	readonly operatorServer: OperatorServer;
	readonly peers: GrpcPeerTransport;
	readonly pauseDetector: PauseDetector;
	readonly metrics: Metrics;
	readonly ledger: BurnLedger;
	readonly burnExchange: BurnExchange;
};

/** Ports on which the daemon listens. */
export type DaemonPorts = {
	readonly callers: number;
	readonly operators: number;
	readonly peers: number;
};

export type StartFailure = Failure<'cannot-listen'>;

/** Interval at which this VM's load and connections are reported to the fleet engine. */
const loadReportIntervalMilliseconds: Milliseconds = 500;

export class Daemon extends Disposable {
	private readonly _parts: DaemonParts;
	private readonly _loadTimer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onEnded = this._register(new Emitter<void>());
	private _previousUtilisation: EventLoopUtilization = performance.eventLoopUtilization();
	private _lastUtilisation = 0;
	private _reportedTraffic: PeerTraffic;
	private readonly _stopReport = new StopReport();
	private readonly _opener: ListenerOpener;

	/** Fires when the planned stop is over and the process may exit. */
	readonly onEnded = this._onEnded.event;

	constructor(parts: DaemonParts, owned: DisposableStore) {
		super();
		this._parts = parts;
		this._reportedTraffic = parts.peers.traffic;
		this._opener = this._register(new ListenerOpener(parts.clock, parts.logger));
		this._register(owned);
		this._register(parts.fleetEffectExecutor.onEffect(effect => {
			this._handleEffect(effect);
		}));
		this._register(parts.callEffectExecutor.onCallEnded(call => {
			this._recordCall(call);
		}));
		this._register(parts.callEffectExecutor.onException(exception => {
			reportCallException(exception, parts.logger, parts.metrics);
		}));
		this._register(parts.callEffectExecutor.onPoisonRequestChanged(effect => {
			reportPoisonRequestChange(effect, parts.logger, parts.metrics);
		}));
		this._register(parts.callerServer.onAnswerCut(({closedBy, bytesLeft, isWhole, incoming}) => {
			parts.metrics.answerCut(closedBy);
			if (closedBy === 'here') {
				this._stopReport.recordCutAnswer();
				parts.logger.warn('answer cut', {
					traceparent: String(incoming.headers[traceHeader] ?? ''), bytesLeft, isWhole, closedBy,
				});
			}
		}));
		const keyRefusalLog = new KeyRefusalLog(parts.logger, parts.metrics);
		this._register(parts.callerServer.onKeyRefused(refusal => {
			keyRefusalLog.record(refusal, parts.clock.now());
		}));
		this._register(parts.pauseDetector.onWoke(milliseconds => {
			parts.loop.feed({type: 'woke', milliseconds});
		}));
	}

	/**
	 * Opens the listeners; one whose port is in use is tried again until it is open. The callers' listener is the last, so that peers and
	 * operators can already supply a configuration.
	 */
	async start(): Promise<Result<DaemonPorts, StartFailure>> {
		const {settings, fleetEffectExecutor, callerServer, operatorServer, pauseDetector} = this._parts;
		const peers = await this._opener.open('peers', async () => this._parts.peers.listen());
		if (peers.isErr()) {
			return err(failure('cannot-listen', describeFailure(peers.error), {field: 'peers', cause: peers.error}));
		}

		const operators = await this._opener.open('operators', async onError => operatorServer.listen(settings.operators.address, settings.operators.port, {onError}));
		const callers = await this._opener.open('callers', async onError => callerServer.listen(settings.callers.port, settings.callers.address, {onError}));

		pauseDetector.start();
		this._parts.burnExchange.start();
		fleetEffectExecutor.start(settings.platform.pollMilliseconds);
		this._reportLoad();
		return operators.andThen(operatorsPort => callers.map(callersPort => ({callers: callersPort, operators: operatorsPort, peers: peers.value})))
			.mapErr(cause => failure('cannot-listen', cause.message, {cause}));
	}

	/** Keeps the process alive after unexpected errors, until this object is disposed. */
	handleUnexpectedErrors(): void {
		this._register(new UnexpectedErrors(this._parts));
	}

	/** Begins the planned stop; `onEnded` fires when it is over. */
	stop(): void {
		this._parts.loop.feed({type: 'stop-requested', by: 'signal'});
	}

	private _handleEffect(effect: DaemonEffect): void {
		const {connections, logger} = this._parts;
		switch (effect.type) {
			case 'configured': {
				connections.retain(new Set(effect.configuration.backendServers.keys()));
				this._parts.callerServer.configure(effect.configuration);
				this._parts.ledger.retain(new Set(effect.configuration.services.keys()));
				break;
			}

			case 'store-era': {
				this._parts.metrics.storeEra(effect.era, effect.isRestored);
				break;
			}

			case 'cut-off': {
				logger.warn(effect.isCutOff ? 'cut off from the platform and all other VMs' : 'in contact again');
				break;
			}

			case 'stage': {
				this._enter(effect.stage);
				break;
			}

			case 'configuration-rejected': {
				this._parts.metrics.configurationRejected(effect.route);
				break;
			}

			case 'log': {
				logger[effect.level](effect.message, effect.details);
				break;
			}
		}
	}

	private _recordCall({summary, traceId, organisation}: EndedCall): void {
		const {ledger, metrics, logger, clock} = this._parts;
		this._stopReport.recordCall(summary);
		ledger.count(summary.service, summary.isGood, clock.now());
		metrics.callEnded(summary);
		if (organisation !== undefined) {
			metrics.organisationCallEnded(organisation, summary.isGood);
		}

		const level = summary.isGood ? 'trace' : 'debug';
		if (logger.isEnabled(level)) {
			logger[level]('call ended', {
				traceId,
				service: summary.service,
				...(organisation === undefined ? {} : {organisation}),
				outcome: summary.outcome,
				reason: summary.reason,
				attempts: summary.attempts,
				milliseconds: summary.milliseconds,
				queuedMilliseconds: summary.queuedMilliseconds,
			});
		}
	}

	private _enter(stage: FleetStage): void {
		const callsInFlight = this._parts.callerServer.unfinishedAnswers;
		this._parts.logger.info('stage entered', {stage, callsInFlight});
		if (stage !== 'starting' && stage !== 'serving') {
			this._stopReport.begin(callsInFlight);
			this._stopReport.enter(stage, this._parts.clock.now());
		}

		switch (stage) {
			case 'closing-idle': {
				this._parts.callerServer.closeIdle();
				break;
			}

			case 'draining': {
				this._parts.callerServer.stopListening();
				break;
			}

			case 'ended': {
				this._parts.logger.info('stop over', this._stopReport.summary());
				void Promise.all([this._parts.burnExchange.sendCopies(), this._parts.operatorServer.end()]).then(() => {
					this._onEnded.fire();
				});
				break;
			}

			default:
		}
	}

	private _reportLoad(): void {
		void this._parts.callerServer.countConnections().then(openConnections => {
			const callsInFlight = this._parts.callerServer.unfinishedAnswers;
			const idleConnections = Math.max(0, openConnections - callsInFlight);
			this._parts.loop.feed({type: 'traffic', traffic: {openConnections, idleConnections, callsInFlight}});
			this._reportGauges(openConnections);
		});
		const latest = performance.eventLoopUtilization();
		const {utilization} = performance.eventLoopUtilization(latest, this._previousUtilisation);
		this._previousUtilisation = latest;
		this._lastUtilisation = utilization;
		this._parts.loop.feed({type: 'utilisation', utilisation: utilization});
		this._loadTimer.value = this._parts.clock.after(loadReportIntervalMilliseconds, () => {
			this._reportLoad();
		});
	}

	private _reportGauges(connections: number): void {
		const {metrics, entryVm, clock} = this._parts;
		const now = clock.now();
		const calls = entryVm.calls.load();
		const fleet = entryVm.fleet.status(now);
		metrics.gauges({
			callsInFlight: calls.callsInFlight,
			callsQueued: calls.callsQueued,
			connections,
			configurationVersion: fleet.configurationVersion,
			utilisation: this._lastUtilisation,
			measuringPart: fleet.shares.loadProbeFraction,
		});
		const {traffic} = this._parts.peers;
		metrics.peerTraffic('in', traffic.messagesIn - this._reportedTraffic.messagesIn, traffic.bytesIn - this._reportedTraffic.bytesIn);
		metrics.peerTraffic('out', traffic.messagesOut - this._reportedTraffic.messagesOut, traffic.bytesOut - this._reportedTraffic.bytesOut);
		this._reportedTraffic = traffic;
	}
}
