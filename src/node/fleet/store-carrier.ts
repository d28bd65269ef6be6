/** Executes the store requests of a fleet that is coordinated through the store and passes all other effects to the daemon. */
import {type OuterFleetEffect} from '../../common/entry-vm/types.ts';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type EventSink} from '../decider-loop.ts';
import {type OutwardEffect} from './fleet-carrier.ts';
import {type PlatformClient} from './types.ts';

export type {OutwardEffect} from './fleet-carrier.ts';

export class StoreCarrier extends Disposable {
	private readonly _sink: EventSink<Extract<FleetEvent, {type: 'store-replied'}>>;
	private readonly _client: Pick<PlatformClient, 'execute'>;
	private readonly _onEffect = this._register(new Emitter<OutwardEffect>());

	/** Fires for each effect that the daemon handles. */
	readonly onEffect = this._onEffect.event;

	constructor(sink: StoreCarrier['_sink'], store: Pick<PlatformClient, 'execute'>) {
		super();
		this._sink = sink;
		this._client = store;
	}

	carryOut(effect: OutwardEffect | (OuterFleetEffect & {type: 'store' | 'send' | 'operator-answer'})): void {
		if (effect.type === 'store') {
			void this._executeStoreOperation(effect);
		} else if (effect.type !== 'send' && effect.type !== 'operator-answer') {
			this._onEffect.fire(effect);
		}
	}

	private async _executeStoreOperation({requestId, operation}: OuterFleetEffect & {type: 'store'}): Promise<void> {
		const reply = await this._client.execute(operation);
		this._sink.feed({type: 'store-replied', requestId, reply});
	}
}
