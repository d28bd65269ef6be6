/** Lifecycle of an entry VM whose fleet is coordinated by the platform's store: opens the listeners, runs the deciders, and stops within the grace time. */
import {type Result} from 'neverthrow';
import {describeFailure, type Failure} from '../common/errors/failure.ts';
import {type EntryVm} from '../common/entry-vm/entry-vm.ts';
import {type EntryVmEffect, type EntryVmEvent} from '../common/entry-vm/types.ts';
import {type FleetStage} from '../common/fleet/types.ts';
import {
	Disposable, type DisposableLike, type DisposableStore, MutableDisposable,
} from '../common/lifecycle/disposable.ts';
import {Emitter} from '../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../common/model/units.ts';
import {type RegistryFleet} from '../common/registry/registry-fleet.ts';
import {type EntrySettings} from '../common/settings/entry-settings.ts';
import {type Clock} from '../node/clock.ts';
import {type DeciderLoop} from '../node/decider-loop.ts';
import {type EarlyListeners} from '../node/early-listener.ts';
import {ListenerOpener} from '../node/listener-opener.ts';
import {type FeedServer} from '../node/fleet/feed-server.ts';
import {type TunnelServer} from '../node/fleet/tunnel-server.ts';
import {type OutwardEffect, type StoreEffectExecutor} from '../node/fleet/store-effect-executor.ts';
import {type BackendConnections} from '../node/front/backend-connections.ts';
import {type CallEffectExecutor, type EndedCall, type RateLimitChanged} from '../node/front/call-effect-executor.ts';
import {type PageServer} from '../node/front/page-server.ts';
import {type ReadinessGate} from '../node/front/readiness-gate.ts';
import {type CutAnswerReport, type RoutedServer} from '../node/front/routed-server.ts';
import {type LimitSocket} from '../node/limits/limit-socket.ts';
import {LineBudget} from '../node/logging/line-budget.ts';
import {type LogControl, type Logger} from '../node/logging/types.ts';
import {type Metrics} from '../node/metrics/types.ts';
import {reportCallException} from './call-exception-log.ts';
import {
	describeAttempt, describeGrounds, describeLimit, describeSharing,
} from './describe-call.ts';
import {KeyRefusalLog} from './key-refusal-log.ts';
import {LinkLog} from './link-log.ts';
import {reportPoisonRequestChange} from './poison-request-log.ts';
import {StopReport} from './stop-report.ts';
import {UnexpectedErrors} from './unexpected-errors.ts';

/** Parts of the daemon, created by `entry-wiring.ts`. */
export type EntryDaemonParts = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly logControl: LogControl;
	readonly metrics: Metrics;
	readonly entryVm: EntryVm<RegistryFleet>;
	readonly loop: DeciderLoop<EntryVmEvent, EntryVmEffect>;
	readonly callEffectExecutor: CallEffectExecutor;
	readonly storeEffectExecutor: StoreEffectExecutor;
	readonly connections: BackendConnections;
	readonly routedServer: RoutedServer;
	readonly readinessServer: PageServer;
	/** Opened when this VM leaves the stage `starting`. */
	readonly readinessGate: ReadinessGate;
	readonly directoryServer: PageServer;
	readonly feedServer: FeedServer;
	/** Undefined = this VM has no endpoint for datagrams about rate limits. */
	readonly limitSocket: LimitSocket | undefined;
	readonly tunnelServer: TunnelServer;
	readonly metricsServer: PageServer;
	/** Listeners opened before the program was loaded, by endpoint. */
	readonly listeners: EarlyListeners;
};

/** Interval at which the calls in flight are reported to the fleet decider during a stop, which lasts seconds. Only a stop uses the number. */
const trafficReportIntervalMilliseconds: Milliseconds = 100;

/** Maximum log lines per second for good calls: twice the calls of a VM under light load, which are 10 to 15 per second. */
const maxGoodCallLinesPerSecond = 30;

/** Maximum log lines per second for calls that failed or were late. It is higher, since these lines explain failures. */
const maxBadCallLinesPerSecond = 100;

/** Splits `IP:PORT`. */
export function splitEndpoint(endpoint: string): {readonly address: string; readonly port: number} {
	const colon = endpoint.lastIndexOf(':');
	return {address: endpoint.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(endpoint.slice(colon + 1))};
}

export class EntryDaemon extends Disposable {
	private readonly _parts: EntryDaemonParts;
	private readonly _trafficTimer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onEnded = this._register(new Emitter<void>());
	private readonly _goodCallLines = new LineBudget(maxGoodCallLinesPerSecond);
	private readonly _badCallLines = new LineBudget(maxBadCallLinesPerSecond);
	private readonly _stopReport = new StopReport();
	private readonly _linkLog: LinkLog;
	private readonly _opener: ListenerOpener;
	private readonly _keyRefusalLog: KeyRefusalLog;

	/** Fires when the planned stop is over and the process may exit. */
	readonly onEnded = this._onEnded.event;

	constructor(parts: EntryDaemonParts, owned: DisposableStore) {
		super();
		this._parts = parts;
		this._linkLog = new LinkLog(parts.logger, parts.metrics);
		this._opener = this._register(new ListenerOpener(parts.clock, parts.logger));
		this._keyRefusalLog = new KeyRefusalLog(parts.logger, parts.metrics);
		this._register(owned);
		this._register(parts.storeEffectExecutor.onEffect(effect => {
			this._handleEffect(effect);
		}));
		this._register(parts.callEffectExecutor.onCallEnded(call => {
			this._logCall(call);
		}));
		this._register(parts.callEffectExecutor.onException(exception => {
			reportCallException(exception, parts.logger, parts.metrics);
		}));
		this._register(parts.callEffectExecutor.onPoisonRequestChanged(effect => {
			reportPoisonRequestChange(effect, parts.logger, parts.metrics);
		}));
		this._register(parts.callEffectExecutor.onLinkChanged(effect => {
			this._linkLog.record(effect.change);
		}));
		this._register(parts.callEffectExecutor.onRateLimitChanged(change => {
			this._logRateLimit(change);
		}));
		this._register(parts.routedServer.onAnswerCut(cut => {
			this._logCutAnswer(cut);
		}));
		this._register(parts.routedServer.onKeyRefused(refusal => {
			this._keyRefusalLog.record(refusal, parts.clock.now());
		}));
		this._register(parts.routedServer.onCallRefusedAtStop(() => {
			this._stopReport.recordRefusal();
		}));
	}

	/**
	 * Opens the listeners; resolves when all are open. The VM begins to read the store, registers itself and becomes ready once callers
	 * and other VMs can connect; the listeners for readiness and metrics may open later.
	 */
	async start(): Promise<void> {
		const {settings, loop, routedServer, readinessServer, directoryServer, feedServer, limitSocket, metricsServer} = this._parts;
		if (settings.listen.limits !== undefined) {
			const {address, port} = splitEndpoint(settings.listen.limits);
			limitSocket?.open(port, address);
		}

		const pagesOpened = Promise.all([this._open(readinessServer, 'readiness'), this._open(metricsServer, 'metrics')]);
		await Promise.all([this._open(routedServer, 'callers'), this._open(directoryServer, 'directory'), this._open(feedServer, 'peers')]);
		loop.feed({type: 'started'});
		await pagesOpened;
	}

	private async _open(listener: PageServer | RoutedServer | FeedServer, name: keyof EntrySettings['listen'] & string): Promise<void> {
		const endpoint = this._parts.settings.listen[name]!;
		const {address, port} = splitEndpoint(endpoint);
		const early = this._parts.listeners.get(endpoint);
		await this._opener.open(name, async onError => listener.listen(port, address, {early, onError}));
	}

	/** Keeps the process alive after unexpected errors, until this object is disposed. */
	handleUnexpectedErrors(): void {
		this._register(new UnexpectedErrors(this._parts));
	}

	/** Begins the planned stop; `onEnded` fires when it is over. */
	stop(): void {
		const callsInFlight = this._parts.routedServer.unfinishedAnswers;
		this._parts.logger.info('stop requested', {callsInFlight});
		this._stopReport.begin(callsInFlight);
		this._parts.loop.feed({type: 'stop-requested', by: 'signal'});
		this._reportTraffic();
	}

	/** Applies a changed settings file: the log level changes at once; other changed tables are logged and take effect at the next start. */
	reload(loaded: Result<EntrySettings, ReadonlyArray<Failure<string>>>): void {
		const {logger, logControl, settings} = this._parts;
		if (loaded.isErr()) {
			logger.error('settings rejected; the current settings remain in force', {failures: loaded.error.map(problem => describeFailure(problem)).join('; ')});
			return;
		}

		logControl.setLevel(loaded.value.log.level);
		const before = new Map(Object.entries(settings).map(([table, value]) => [table, JSON.stringify(value)]));
		const changed = Object.entries(loaded.value).filter(([table, value]) => table !== 'log' && before.get(table) !== JSON.stringify(value)).map(([table]) => table);
		logger.info('settings read again', {level: loaded.value.log.level, takenAtNextStart: changed.join(',')});
	}

	private _handleEffect(effect: OutwardEffect): void {
		const {connections, logger, metrics, routedServer, tunnelServer} = this._parts;
		switch (effect.type) {
			case 'configured': {
				connections.retain(new Set(effect.configuration.backendServers.keys()));
				tunnelServer.configure(effect.configuration.backendServers);
				metrics.evacuations(effect.configuration.evacuatedDataCentres?.size ?? 0);
				if (effect.configuration.routing !== undefined) {
					routedServer.configure(effect.configuration.routing, effect.configuration);
				}

				break;
			}

			case 'configuration-rejected': {
				metrics.configurationRejected(effect.route);
				break;
			}

			case 'store-era': {
				metrics.storeEra(effect.era, effect.isRestored);
				break;
			}

			case 'stage': {
				this._enter(effect.stage);
				break;
			}

			case 'log': {
				logger[effect.level](effect.message, effect.details);
				break;
			}

			case 'cut-off': {
				// A store-led fleet serves with the configuration it has.
				break;
			}
		}
	}

	private _enter(stage: FleetStage): void {
		this._parts.logger.info('stage entered', {stage, callsInFlight: this._parts.routedServer.unfinishedAnswers});
		this._stopReport.enter(stage, this._parts.clock.now());
		this._parts.routedServer.enter(stage);
		if (stage !== 'starting') {
			this._parts.readinessGate.open();
		}

		if (stage === 'leaving' || stage === 'draining') {
			for (const pages of this._pageServers) {
				pages.disableKeepAlive();
			}
		}

		if (stage === 'ended') {
			const listeners = [this._parts.routedServer, ...this._pageServers];
			void Promise.all(listeners.map(async listener => listener.end())).then(() => {
				this._parts.logger.info('stop over', this._stopReport.summary());
				this._onEnded.fire();
			});
		}
	}

	private get _pageServers(): readonly PageServer[] {
		const {readinessServer, directoryServer, metricsServer} = this._parts;
		return [readinessServer, directoryServer, metricsServer];
	}

	/** Logs a completed call. Good calls and bad calls each have a budget of lines per second; the next line written states how many were omitted. */
	private _logCall({summary, traceId, organisation}: EndedCall): void {
		const {logger, clock, metrics} = this._parts;
		metrics.callEnded(summary);
		if (organisation !== undefined) {
			metrics.organisationCallEnded(organisation, summary.isGood);
		}

		for (const {via} of summary.trail ?? []) {
			metrics.attemptStarted(via === undefined ? 'direct' : 'relayed');
		}

		this._stopReport.recordCall(summary);
		const budget = summary.isGood ? this._goodCallLines : this._badCallLines;
		const {isWritten, leftOut} = budget.admit(clock.now());
		if (!isWritten || !logger.isEnabled('info')) {
			return;
		}

		const {service, outcome, reason, attempts, milliseconds, queuedMilliseconds, priority, sharing, grounds, suspicion, limit, trail = []} = summary;
		logger.info('call ended', {
			traceId,
			service,
			...(organisation === undefined ? {} : {organisation}),
			outcome,
			reason,
			attempts,
			milliseconds: Math.round(milliseconds),
			queuedMilliseconds: Math.round(queuedMilliseconds),
			trail: trail.map(record => describeAttempt(record)).join('; '),
			...(reason === undefined ? {} : {priority, grounds: [...(sharing === undefined ? [] : [describeSharing(sharing)]), describeGrounds(grounds)].join('; ')}),
			...(limit === undefined ? {} : {limit: describeLimit(limit)}),
			...suspicion,
			...(leftOut === 0 ? {} : {leftOut}),
		});
	}

	private _logRateLimit({identity, service, rateLimit, source, status, limitedServers}: RateLimitChanged): void {
		const {logger, metrics} = this._parts;
		metrics.rateLimits(limitedServers);
		if (rateLimit === 'unreadable') {
			metrics.rateLimitUnreadable(service);
			logger.warn('backend server announced an unreadable rate limit', {backendServer: identity, service, source});
		} else if (source === 'entry-removed') {
			logger.info('backend server with a rate limit left the registry; its process keeps the limit', {backendServer: identity, service});
		} else if (source === 'entry-returned') {
			logger.info('backend server with a rate limit returned to the registry', {backendServer: identity, service, callsPerSecond: rateLimit});
		} else if (rateLimit === undefined) {
			logger.info('backend server no longer announces a rate limit', {
				backendServer: identity, service, source, ...(status === undefined ? {} : {status}),
			});
		} else {
			logger.info('backend server announced a rate limit', {
				backendServer: identity, service, callsPerSecond: rateLimit, source,
			});
		}
	}

	/** Logs an answer that was cut. The answer of a call that ended well may still be cut while it is sent, and only this line shows that. */
	private _logCutAnswer({closedBy, ...cut}: CutAnswerReport): void {
		const {logger, clock, metrics} = this._parts;
		metrics.answerCut(closedBy);
		if (closedBy === 'here') {
			this._stopReport.recordCutAnswer();
		}

		const {isWritten, leftOut} = this._badCallLines.admit(clock.now());
		if (isWritten) {
			logger[closedBy === 'here' ? 'warn' : 'info']('answer cut', {...cut, closedBy, ...(leftOut === 0 ? {} : {leftOut})});
		}
	}

	private _reportTraffic(): void {
		// Calls of other VMs that go by way of this one count as well.
		const callsInFlight = this._parts.routedServer.unfinishedAnswers + this._parts.tunnelServer.busy;
		this._parts.loop.feed({type: 'traffic', traffic: {openConnections: callsInFlight, idleConnections: 0, callsInFlight}});
		this._trafficTimer.value = this._parts.clock.after(trafficReportIntervalMilliseconds, () => {
			this._reportTraffic();
		});
	}
}

