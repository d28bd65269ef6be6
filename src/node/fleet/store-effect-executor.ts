/** Executes the store requests of a fleet that is coordinated through the store and passes all other effects to the daemon. */
import {type ExternalFleetEffect} from '../../common/entry-vm/types.ts';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type EventSink} from '../decider-loop.ts';
import {type DaemonEffect} from './fleet-effect-executor.ts';
import {type PlatformClient} from './types.ts';

export type {DaemonEffect as OutwardEffect} from './fleet-effect-executor.ts';

export class StoreEffectExecutor extends Disposable {
	private readonly _sink: EventSink<Extract<FleetEvent, {type: 'store-replied'}>>;
	private readonly _client: Pick<PlatformClient, 'execute'>;
	private readonly _onEffect = this._register(new Emitter<DaemonEffect>());

	/** Fires for each effect that the daemon handles. */
	readonly onEffect = this._onEffect.event;

	constructor(sink: StoreEffectExecutor['_sink'], store: Pick<PlatformClient, 'execute'>) {
		super();
		this._sink = sink;
		this._client = store;
	}

	execute(effect: DaemonEffect | (ExternalFleetEffect & {type: 'store' | 'send' | 'operator-answer'})): void {
		if (effect.type === 'store') {
			void this._executeStoreOperation(effect);
		} else if (effect.type !== 'send' && effect.type !== 'operator-answer') {
			this._onEffect.fire(effect);
		}
	}

	private async _executeStoreOperation({requestId, operation}: ExternalFleetEffect & {type: 'store'}): Promise<void> {
		const reply = await this._client.execute(operation);
		this._sink.feed({type: 'store-replied', requestId, reply});
	}
}
