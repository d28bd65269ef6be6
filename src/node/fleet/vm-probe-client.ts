/** Probes the peers endpoints of other VMs for whether a given process is serving. */
import {Client, type Dispatcher} from 'undici';
import {Disposable, DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type FleetEvent, type PeerAddress} from '../../common/fleet/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {vmProbeTimeoutMilliseconds} from '../../common/registry/vm-loss-budget.ts';
import {type EventSink} from '../decider-loop.ts';

/** Path prefix of a probe, followed by the identity of a process. The status of the response shows whether that process accepts calls. */
export const probePathPrefix = '/vms/';

const statusServing = 200;

/** Time after which an unfinished probe is closed. The engine has a shorter time-out of its own. */
const maxProbeMilliseconds: Milliseconds = 2 * vmProbeTimeoutMilliseconds;

type ProbeSink = EventSink<Extract<FleetEvent, {type: 'vm-probed'}>>;

/** undici dispatch handler of one probe; the bundle contains no higher-level API of undici. */
class ProbeHandler implements Dispatcher.DispatchHandler {
	private readonly _onResult: (isServing: boolean) => void;

	constructor(onResult: (isServing: boolean) => void) {
		this._onResult = onResult;
	}

	onRequestStart(): void {
		// The controller is not needed: destroying the client ends the probe.
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		this._onResult(status === statusServing);
	}

	onResponseData(): void {
		// Only the status matters.
	}

	onResponseEnd(): void {
		// The result was reported with the response head.
	}

	/** The connection was refused, closed or timed out, so the process is not serving; the engine logs the consequences. */
	onResponseError(): void {
		this._onResult(false);
	}
}

export class VmProbeClient extends Disposable {
	private readonly _sink: ProbeSink;
	private readonly _active = this._register(new DisposableStore());

	constructor(sink: ProbeSink) {
		super();
		this._sink = sink;
	}

	/** Feeds `vm-probed` once, on the head of the response or on an error. */
	probe(identity: string, address: PeerAddress): void {
		const client = new Client(`http://${address}`, {connect: {timeout: vmProbeTimeoutMilliseconds}, allowH2: false});
		const ending = this._active.add(toDisposable(() => {
			clearTimeout(timer);
			void client.destroy();
		}));
		const timer = setTimeout(() => {
			this._active.delete(ending);
		}, maxProbeMilliseconds);
		let isReported = false;
		client.dispatch({method: 'GET', path: probePathPrefix + encodeURIComponent(identity)}, new ProbeHandler(isServing => {
			if (!isReported) {
				isReported = true;
				this._sink.feed({type: 'vm-probed', identity, isServing});
				this._active.delete(ending);
			}
		}));
	}
}
