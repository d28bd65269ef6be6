/** Carries out what the fleet engine decides: requests to the platform, messages between VMs, answers to operators. */
import {type OuterFleetEffect} from '../../common/entry-vm/types.ts';
import {
	type FleetEvent, type FleetStage, type OperatorAnswer, type OperatorChange,
} from '../../common/fleet/types.ts';
import {Disposable, type DisposableLike, MutableDisposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type Clock} from '../clock.ts';
import {type EventSink} from '../decider-loop.ts';
import {type PeerTransport, type PlatformClient} from './types.ts';

/** Effects that concern the front or the logs. */
export type OutwardEffect = Exclude<OuterFleetEffect, {type: 'store' | 'send' | 'operator-answer' | 'follow-feed' | 'publish-feed' | 'announce' | 'probe-vm'}>;

type OuterFleetEvent = Extract<FleetEvent, {type: 'started' | 'store-replied' | 'peer-message' | 'peer-unreachable' | 'vm-list' | 'operator-change' | 'operator-drain'}>;

/** The fleet engine's hands. */
export class FleetCarrier extends Disposable {
	private readonly _sink: EventSink<OuterFleetEvent>;
	private readonly _clock: Clock;
	private readonly _platform: PlatformClient;
	private readonly _peers: PeerTransport;
	private readonly _waitingOperators = new Map<number, (answer: OperatorAnswer) => void>();
	private readonly _listTimer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onEffect = this._register(new Emitter<OutwardEffect>());
	private readonly _onStage = this._register(new Emitter<FleetStage>());
	private _lastRequestId = 0;
	private _isDisposed = false;

	/** Something for the front or the logs. */
	readonly onEffect = this._onEffect.event;
	/** The VM has come to another stage of its life. */
	readonly onStage = this._onStage.event;

	constructor(sink: EventSink<OuterFleetEvent>, clock: Clock, platform: PlatformClient, peers: PeerTransport) {
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

	/** Starts the engine and the reading of the platform's list of VMs. */
	start(listEveryMilliseconds: Milliseconds): void {
		this._sink.feed({type: 'started'});
		void this._readList(listEveryMilliseconds);
	}

	override dispose(): void {
		this._isDisposed = true;
		super.dispose();
	}

	/** An operator's change; resolves with what became of it. */
	async change(change: OperatorChange): Promise<OperatorAnswer> {
		this._lastRequestId += 1;
		const requestId = this._lastRequestId;
		return new Promise(resolve => {
			this._waitingOperators.set(requestId, resolve);
			this._sink.feed({type: 'operator-change', requestId, change});
		});
	}

	/** An operator orders a VM to stop in the planned way. */
	drain(identity: string): void {
		this._sink.feed({type: 'operator-drain', identity});
	}

	/** Carries out one effect of the fleet engine. */
	carryOut(effect: OuterFleetEffect): void {
		switch (effect.type) {
			case 'store': {
				void this._ask(effect);
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
			case 'publish-feed': {
				// A fleet that leads itself has messages of its own for this.
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

	private async _ask(effect: OuterFleetEffect & {type: 'store'}): Promise<void> {
		const reply = await this._platform.execute(effect.operation);
		this._sink.feed({type: 'store-replied', requestId: effect.requestId, reply});
	}

	private async _readList(every: Milliseconds): Promise<void> {
		const vms = await this._platform.listVms();
		if (this._isDisposed) {
			return;
		}

		if (vms !== undefined) {
			this._sink.feed({type: 'vm-list', vms});
		}

		this._listTimer.value = this._clock.after(every, () => {
			void this._readList(every);
		});
	}
}
