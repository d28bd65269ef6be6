/** Executes the effects of the fleet engine: requests to the platform, messages between VMs, answers to operators. */
import {type ExternalFleetEffect} from '../../common/entry-vm/types.ts';
import {
	type FleetEvent, type FleetStage, type OperatorAnswer, type OperatorChange,
} from '../../common/fleet/types.ts';
import {Disposable, type DisposableLike, MutableDisposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type Clock} from '../clock.ts';
import {type EventSink} from '../decider-loop.ts';
import {type PeerTransport, type PlatformClient} from './types.ts';

/** Effects that the daemon passes to the front or the logs. */
export type DaemonEffect = Exclude<ExternalFleetEffect, {type: 'store' | 'send' | 'operator-answer' | 'follow-feed' | 'publish-feed' | 'send-updates' | 'compare-evidence' | 'announce' | 'probe-vm'}>;

type FleetSinkEvent = Extract<FleetEvent, {type: 'started' | 'store-replied' | 'peer-message' | 'peer-unreachable' | 'vm-list' | 'operator-change' | 'operator-drain'}>;

/** Executes fleet effects and feeds the results back to the engine. */
export class FleetEffectExecutor extends Disposable {
	private readonly _sink: EventSink<FleetSinkEvent>;
	private readonly _clock: Clock;
	private readonly _platform: PlatformClient;
	private readonly _peers: PeerTransport;
	private readonly _waitingOperators = new Map<number, (answer: OperatorAnswer) => void>();
	private readonly _vmListTimer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onEffect = this._register(new Emitter<DaemonEffect>());
	private readonly _onStage = this._register(new Emitter<FleetStage>());
	private _lastRequestId = 0;
	private _isDisposed = false;

	/** Fires for each effect that the daemon handles. */
	readonly onEffect = this._onEffect.event;
	/** Fires when the VM enters another stage of its lifecycle. */
	readonly onStage = this._onStage.event;

	constructor(sink: EventSink<FleetSinkEvent>, clock: Clock, platform: PlatformClient, peers: PeerTransport) {
		super();
		this._sink = sink;
		this._clock = clock;
		this._platform = platform;
		this._peers = peers;
		this._register(this._peers.onMessage(message => {
			this._sink.feed({type: 'peer-message', message});
		}));
		this._register(this._peers.onUnreachable(to => {
			this._sink.feed({type: 'peer-unreachable', to});
		}));
	}

	/** Starts the engine and reads the platform's list of VMs at the given interval. */
	start(listIntervalMilliseconds: Milliseconds): void {
		this._sink.feed({type: 'started'});
		void this._readVmList(listIntervalMilliseconds);
	}

	override dispose(): void {
		this._isDisposed = true;
		super.dispose();
	}

	/** Submits an operator's change; resolves with its outcome. */
	async change(change: OperatorChange): Promise<OperatorAnswer> {
		this._lastRequestId += 1;
		const requestId = this._lastRequestId;
		return new Promise(resolve => {
			this._waitingOperators.set(requestId, resolve);
			this._sink.feed({type: 'operator-change', requestId, change});
		});
	}

	/** Drains a VM by order of an operator. */
	drain(identity: string): void {
		this._sink.feed({type: 'operator-drain', identity});
	}

	execute(effect: ExternalFleetEffect): void {
		switch (effect.type) {
			case 'store': {
				void this._executeStoreOperation(effect);
				break;
			}

			case 'send': {
				this._peers.send(effect.to, effect.message);
				break;
			}

			case 'operator-answer': {
				this._waitingOperators.get(effect.requestId)?.(effect.answer);
				this._waitingOperators.delete(effect.requestId);
				break;
			}

			case 'announce':
			case 'probe-vm':
			case 'follow-feed':
			case 'publish-feed':
			case 'send-updates':
			case 'compare-evidence': {
				// Only a fleet that is coordinated through the store uses these; here VMs exchange peer messages instead.
				break;
			}

			case 'stage': {
				this._onEffect.fire(effect);
				this._onStage.fire(effect.stage);
				break;
			}

			default: {
				this._onEffect.fire(effect);
			}
		}
	}

	private async _executeStoreOperation(effect: ExternalFleetEffect & {type: 'store'}): Promise<void> {
		const reply = await this._platform.execute(effect.operation);
		this._sink.feed({type: 'store-replied', requestId: effect.requestId, reply});
	}

	private async _readVmList(intervalMilliseconds: Milliseconds): Promise<void> {
		const vms = await this._platform.listVms();
		if (this._isDisposed) {
			return;
		}

		if (vms !== undefined) {
			this._sink.feed({type: 'vm-list', vms});
		}

		this._vmListTimer.value = this._clock.after(intervalMilliseconds, () => {
			void this._readVmList(intervalMilliseconds);
		});
	}
}
