/** Asks other VMs whether a process serves, on their peers endpoint. */
import {Client, type Dispatcher} from 'undici';
import {Disposable, DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type FleetEvent, type PeerAddress} from '../../common/fleet/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {vmProbeTimeoutMilliseconds} from '../../common/registry/vm-loss-budget.ts';
import {type EventSink} from '../decider-loop.ts';

/** A GET of this and an identity tells by its status whether that process takes callers. */
export const probePathPrefix = '/vms/';

const statusServing = 200;

/** The engine has a time-out of its own; what is open longer is closed here. */
const longestMilliseconds: Milliseconds = 2 * vmProbeTimeoutMilliseconds;

type ProbeSink = EventSink<Extract<FleetEvent, {type: 'vm-probed'}>>;

/** One probe, as an undici dispatch handler: the bundle has no more of undici. */
class ProbeHandler implements Dispatcher.DispatchHandler {
	private readonly _onResult: (isServing: boolean) => void;

	constructor(onResult: (isServing: boolean) => void) {
		this._onResult = onResult;
	}

	onRequestStart(): void {
		// Nothing to keep: the probe is ended by destroying its client.
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		this._onResult(status === statusServing);
	}

	onResponseData(): void {
		// The status says all.
	}

	onResponseEnd(): void {
		// Told with its head.
	}

	/** Refused, cut off or late: the process does not serve, and the engine logs what follows from it. */
	onResponseError(): void {
		this._onResult(false);
	}
}

export class VmProbeClient extends Disposable {
	private readonly _sink: ProbeSink;
	private readonly _underWay = this._register(new DisposableStore());

	constructor(sink: ProbeSink) {
		super();
		this._sink = sink;
	}

	/** Feeds `vm-probed` once, when the head of a response or an error has come. */
	probe(identity: string, address: PeerAddress): void {
		const client = new Client(`http://${address}`, {connect: {timeout: vmProbeTimeoutMilliseconds}, allowH2: false});
		const ending = this._underWay.add(toDisposable(() => {
			clearTimeout(timer);
			void client.destroy();
		}));
		const timer = setTimeout(() => {
			this._underWay.delete(ending);
		}, longestMilliseconds);
		let isTold = false;
		client.dispatch({method: 'GET', path: probePathPrefix + encodeURIComponent(identity)}, new ProbeHandler(isServing => {
			if (!isTold) {
				isTold = true;
				this._sink.feed({type: 'vm-probed', identity, isServing});
				this._underWay.delete(ending);
			}
		}));
	}
}
