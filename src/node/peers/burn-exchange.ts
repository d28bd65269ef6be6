/** Collects the burn counts of all VMs and stores copies of this VM's counts on other VMs. */
import {type sendUnaryData, type ServerUnaryCall, status} from '@grpc/grpc-js';
import {type BurnCopies} from '../../common/burn/burn-copies.ts';
import {type ProcessCounts} from '../../common/burn/types.ts';
import {type PeerAddress} from '../../common/fleet/types.ts';
import {Disposable, type DisposableLike, MutableDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type Clock} from '../clock.ts';
import {
	countsFromWire, countsToWire, type CountsReport, reportFromWire,
} from './burn-codec.ts';
import {type GrpcPeerTransport} from './grpc-peer-transport.ts';
import {loadService, type UntypedService} from './proto-file.ts';

/** Number of other VMs that store a copy of this VM's counts. More than one, because one of them may fail together with this VM. */
const copyCount = 2;

/** Interval between copies, and thus the maximum time of counts that a crash loses. */
const copyIntervalMilliseconds: Milliseconds = 30_000;

/** Answers of the other VMs. */
export type GatheredCounts = {
	readonly reported: readonly ProcessCounts[];
	readonly copies: readonly ProcessCounts[];
	readonly answered: readonly PeerAddress[];
	/** VMs that did not answer in time. */
	readonly silent: readonly PeerAddress[];
};

/** Dependencies of the exchange. */
export type BurnExchangeParts = {
	readonly transport: GrpcPeerTransport;
	readonly clock: Clock;
	readonly copies: BurnCopies;
	readonly own: () => ProcessCounts;
	/** Returns the other serving VMs, in an order that is stable on this VM; the first ones store its copies. */
	readonly peers: () => readonly PeerAddress[];
};

/** Exchanges burn counts with the other VMs over gRPC. */
export class BurnExchange extends Disposable {
	private readonly _parts: BurnExchangeParts;
	private readonly _service: UntypedService = loadService('burn.proto', 'jaydale.burn.v1.Burn');
	private readonly _timer = this._register(new MutableDisposable<DisposableLike>());

	constructor(parts: BurnExchangeParts) {
		super();
		this._parts = parts;
		parts.transport.addService(this._service, {
			Tell(_call: ServerUnaryCall<object, object>, answer: sendUnaryData<object>) {
				const copies = parts.copies.all(parts.clock.now()).map(copy => countsToWire(copy));
				answer(null, {own: countsToWire(parts.own()), copies});
			},
			Keep: (call: ServerUnaryCall<object, object>, answer: sendUnaryData<object>) => {
				this._keep(call.request, answer);
			},
		});
	}

	/** Requests the counts of all other VMs concurrently. VMs that do not answer in time are listed in `silent`. */
	async gather(): Promise<GatheredCounts> {
		const peers = this._parts.peers();
		const answers = await Promise.all(peers.map(async address => ({address, reported: await this._requestCounts(address)})));
		const received = answers.flatMap(({reported}) => reported === undefined ? [] : [reported]);
		return {
			reported: received.map(({own}) => own),
			copies: [...received.flatMap(({copies}) => copies), ...this._parts.copies.all(this._parts.clock.now())],
			answered: answers.filter(({reported}) => reported !== undefined).map(({address}) => address),
			silent: answers.filter(({reported}) => reported === undefined).map(({address}) => address),
		};
	}

	/** Starts to send copies to other VMs periodically. */
	start(): void {
		this._timer.value = this._parts.clock.after(copyIntervalMilliseconds, () => {
			void this.sendCopies();
			this.start();
		});
	}

	/** Sends a copy of the current counts to other VMs; also the last step of a planned stop. */
	async sendCopies(): Promise<void> {
		const counts = countsToWire(this._parts.own());
		const receivers = this._parts.peers().slice(0, copyCount);
		await Promise.all(receivers.map(async address => this._parts.transport.request(address, this._service.Keep!, counts)));
	}

	private async _requestCounts(address: PeerAddress): Promise<CountsReport | undefined> {
		const answer = await this._parts.transport.request(address, this._service.Tell!, {});
		const reported = answer.andThen(message => reportFromWire(message));
		return reported.isOk() ? reported.value : undefined;
	}

	private _keep(request: object, answer: sendUnaryData<object>): void {
		const counts = countsFromWire(request);
		if (counts.isErr()) {
			answer({code: status.INVALID_ARGUMENT, details: counts.error.message});
			return;
		}

		this._parts.copies.keep(counts.value, this._parts.clock.now());
		answer(null, {});
	}
}
