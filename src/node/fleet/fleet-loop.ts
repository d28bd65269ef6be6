/** Feeds the fleet engine one event at a time and carries out its effects. */
import {
	type FleetEffect, type FleetEngine, type FleetEvent, type FleetStage, type OperatorAnswer, type OperatorChange,
} from '../../common/fleet/types.ts';
import {Disposable, type DisposableLike, MutableDisposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type Clock} from '../clock.ts';
import {type PeerTransport, type PlatformClient} from './types.ts';

/** Effects that concern the call engine, the front or the logs. */
export type OutwardEffect = Exclude<FleetEffect, {type: 'store' | 'send' | 'operator-answer'}>;

/** The loop round one fleet engine. */
export class FleetLoop extends Disposable {
	private readonly _engine: FleetEngine;
	private readonly _clock: Clock;
	private readonly _platform: PlatformClient;
	private readonly _peers: PeerTransport;
	private readonly _pending: FleetEvent[] = [];
	private readonly _waitingOperators = new Map<number, (answer: OperatorAnswer) => void>();
	private readonly _timer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _listTimer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onEffect = this._register(new Emitter<OutwardEffect>());
	private readonly _onStage = this._register(new Emitter<FleetStage>());
	private _lastRequestId = 0;
	private _isRunning = false;
	private _isDisposed = false;
	private _wakeUpAt: Instant | undefined;

	/** Something for the call engine, the front or the logs. */
	readonly onEffect = this._onEffect.event;
	/** The VM has come to another stage of its life. */
	readonly onStage = this._onStage.event;

	constructor(engine: FleetEngine, clock: Clock, platform: PlatformClient, peers: PeerTransport) {
		super();
		this._engine = engine;
		this._clock = clock;
		this._platform = platform;
		this._peers = peers;
		this._register(this._peers.onMessage(message => {
			this.feed({type: 'peer-message', message});
		}));
		this._register(this._peers.onUnreachable(to => {
			this.feed({type: 'peer-unreachable', to});
		}));
	}

	/** Starts the engine and the reading of the platform's list of VMs. */
	start(listEveryMilliseconds: Milliseconds): void {
		this.feed({type: 'started'});
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
			this.feed({type: 'operator-change', requestId, change});
		});
	}

	/** Events caused while an effect is carried out wait until the present one is done. */
	feed(event: FleetEvent): void {
		this._pending.push(event);
		if (this._isRunning || this._isDisposed) {
			return;
		}

		this._isRunning = true;
		try {
			for (let next = this._pending.shift(); next !== undefined; next = this._pending.shift()) {
				for (const effect of this._engine.handle(next, this._clock.now())) {
					this._carryOut(effect);
				}
			}
		} finally {
			this._isRunning = false;
		}

		this._schedule();
	}

	private _carryOut(effect: FleetEffect): void {
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

	private async _ask(effect: FleetEffect & {type: 'store'}): Promise<void> {
		const reply = await this._platform.execute(effect.operation);
		this.feed({type: 'store-replied', requestId: effect.requestId, reply});
	}

	private async _readList(every: Milliseconds): Promise<void> {
		const vms = await this._platform.listVms();
		if (this._isDisposed) {
			return;
		}

		if (vms !== undefined) {
			this.feed({type: 'vm-list', vms});
		}

		this._listTimer.value = this._clock.after(every, () => {
			void this._readList(every);
		});
	}

	private _schedule(): void {
		const wakeUpAt = this._engine.nextWakeUp();
		if (wakeUpAt === undefined || (this._wakeUpAt !== undefined && this._wakeUpAt <= wakeUpAt)) {
			return;
		}

		this._wakeUpAt = wakeUpAt;
		this._timer.value = this._clock.after(wakeUpAt - this._clock.now(), () => {
			this._wakeUpAt = undefined;
			this.feed({type: 'tick'});
		});
	}
}
