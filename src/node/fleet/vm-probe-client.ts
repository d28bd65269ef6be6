/** Asks other VMs whether a process serves, on their peers endpoint. */
import {Client} from 'undici';
import {Disposable, DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type FleetEvent, type PeerAddress} from '../../common/fleet/types.ts';
import {vmProbeTimeoutMilliseconds} from '../../common/registry/vm-loss-budget.ts';
import {type EventSink} from '../decider-loop.ts';

/** A GET of this and an identity tells by its status whether that process takes callers. */
export const probePathPrefix = '/vms/';

const statusServing = 200;

type ProbeSink = EventSink<Extract<FleetEvent, {type: 'vm-probed'}>>;

export class VmProbeClient extends Disposable {
	private readonly _sink: ProbeSink;
	private readonly _underWay = this._register(new DisposableStore());

	constructor(sink: ProbeSink) {
		super();
		this._sink = sink;
	}

	/** Feeds `vm-probed` when a response or an error has come, and nothing where neither does: the engine has a time-out of its own. */
	async probe(identity: string, address: PeerAddress): Promise<void> {
		const client = new Client(`http://${address}`, {connect: {timeout: vmProbeTimeoutMilliseconds}, allowH2: false});
		const ending = this._underWay.add(toDisposable(() => {
			void client.destroy();
		}));
		const timer = setTimeout(() => {
			this._underWay.delete(ending);
		}, 2 * vmProbeTimeoutMilliseconds);
		try {
			const {statusCode, body} = await client.request({method: 'GET', path: probePathPrefix + encodeURIComponent(identity)});
			await body.dump();
			this._sink.feed({type: 'vm-probed', identity, isServing: statusCode === statusServing});
		} catch {
			// Refused, cut off or late: the process does not serve, and the engine logs what follows from it.
			this._sink.feed({type: 'vm-probed', identity, isServing: false});
		} finally {
			clearTimeout(timer);
			this._underWay.delete(ending);
		}
	}
}
