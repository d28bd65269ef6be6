/** The life of an entry VM whose fleet the platform's store leads: its doors open, its deciders run, and it ends in time. */
import {type Failure} from '../common/errors/failure.ts';
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
import {type OutwardEffect, type StoreCarrier} from '../node/fleet/store-carrier.ts';
import {type BackendConnections} from '../node/front/backend-connections.ts';
import {type CallCarrier, type EndedCall} from '../node/front/call-carrier.ts';
import {type PageServer} from '../node/front/page-server.ts';
import {type RoutedServer} from '../node/front/routed-server.ts';
import {type Logger} from '../node/logging/types.ts';

/** The parts of the daemon, made by the wiring. */
export type EntryDaemonParts = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly entryVm: EntryVm<RegistryFleet>;
	readonly loop: DeciderLoop<EntryVmEvent, EntryVmEffect>;
	readonly callCarrier: CallCarrier;
	readonly storeCarrier: StoreCarrier;
	readonly connections: BackendConnections;
	readonly routedServer: RoutedServer;
	readonly readinessServer: PageServer;
	readonly directoryServer: PageServer;
	readonly peerServer: PageServer;
};

/** How often the decider of the stop hears of calls in flight: a stop has seconds, and only a stop needs it. */
const trafficEvery: Milliseconds = 100;

/** Splits `IP:PORT`. */
export function splitEndpoint(endpoint: string): {readonly address: string; readonly port: number} {
	const colon = endpoint.lastIndexOf(':');
	return {address: endpoint.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(endpoint.slice(colon + 1))};
}

/** One running entry VM. */
export class EntryDaemon extends Disposable {
	private readonly _parts: EntryDaemonParts;
	private readonly _trafficTimer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onEnded = this._register(new Emitter<void>());

	/** The planned stop is over: the process may end. */
	readonly onEnded = this._onEnded.event;

	constructor(parts: EntryDaemonParts, owned: DisposableStore) {
		super();
		this._parts = parts;
		this._register(owned);
		this._register(parts.storeCarrier.onEffect(effect => {
			this._carryOut(effect);
		}));
		this._register(parts.callCarrier.onCallEnded(call => {
			this._logCall(call);
		}));
	}

	/** Reads the store at once, and opens the doors meanwhile. */
	async start(): Promise<Failure<'cannot-listen'> | undefined> {
		const {settings, loop, routedServer, readinessServer, directoryServer, peerServer} = this._parts;
		loop.feed({type: 'started'});
		const doors = [
			[routedServer, settings.listen.callers],
			[readinessServer, settings.listen.readiness],
			[directoryServer, settings.listen.directory],
			[peerServer, settings.listen.peers],
		] as const;
		const opened = await Promise.all(doors.map(async ([door, endpoint]) => {
			const {address, port} = splitEndpoint(endpoint);
			return door.listen(port, address);
		}));
		for (const result of opened) {
			if (result.isErr()) {
				return result.error;
			}
		}

		return undefined;
	}

	/** Begins the planned stop; `onEnded` tells when it is over. */
	stop(): void {
		this._parts.logger.info('stop requested', {callsInFlight: this._parts.routedServer.unfinishedAnswers});
		this._parts.loop.feed({type: 'stop-requested', by: 'signal'});
		this._tellTraffic();
	}

	private _carryOut(effect: OutwardEffect): void {
		const {connections, logger, routedServer} = this._parts;
		switch (effect.type) {
			case 'configured': {
				connections.retain(new Set(effect.configuration.backendServers.keys()));
				if (effect.configuration.routing !== undefined) {
					routedServer.configure(effect.configuration.routing);
				}

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

			default:
		}
	}

	private _enter(stage: FleetStage): void {
		this._parts.logger.info('stage entered', {stage, callsInFlight: this._parts.routedServer.unfinishedAnswers});
		this._parts.routedServer.enter(stage);
		if (stage === 'ended') {
			this._onEnded.fire();
		}
	}

	private _logCall({summary, traceId}: EndedCall): void {
		const {logger} = this._parts;
		const level = summary.reason === undefined ? 'debug' : 'info';
		if (logger.isEnabled(level)) {
			logger[level]('call ended', {
				traceId,
				service: summary.service,
				outcome: summary.outcome,
				reason: summary.reason,
				attempts: summary.attempts,
				milliseconds: Math.round(summary.milliseconds),
				queuedMilliseconds: Math.round(summary.queuedMilliseconds),
			});
		}
	}

	private _tellTraffic(): void {
		const callsInFlight = this._parts.routedServer.unfinishedAnswers;
		this._parts.loop.feed({type: 'traffic', traffic: {openConnections: callsInFlight, idleConnections: 0, callsInFlight}});
		this._trafficTimer.value = this._parts.clock.after(trafficEvery, () => {
			this._tellTraffic();
		});
	}
}

