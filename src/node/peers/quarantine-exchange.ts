/** Tells all VMs that an operator lets a quarantined call run again. */
import {type sendUnaryData, type ServerUnaryCall, status} from '@grpc/grpc-js';
import {z} from 'zod';
import {type PeerAddress} from '../../common/fleet/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type GrpcPeerTransport} from './grpc-peer-transport.ts';
import {loadService, type UntypedService} from './proto-file.ts';

const liftSchema = z.object({fingerprint: z.string().min(1).max(128)});

/** One VM's side of the exchange. */
export class QuarantineExchange extends Disposable {
	private readonly _transport: GrpcPeerTransport;
	private readonly _service: UntypedService = loadService('quarantine.proto', 'jaydale.quarantine.v1.Quarantine');
	private readonly _onLifted = this._register(new Emitter<string>());

	/** An operator has let the call with this fingerprint run again, here or through another VM. */
	readonly onLifted = this._onLifted.event;

	constructor(transport: GrpcPeerTransport) {
		super();
		this._transport = transport;
		transport.addService(this._service, {
			Lift: (call: ServerUnaryCall<object, object>, answer: sendUnaryData<object>) => {
				this._take(call.request, answer);
			},
		});
	}

	/** Lifts here and on the other VMs; answers with those that could not be told: there it ends by itself. */
	async lift(fingerprint: string, peers: readonly PeerAddress[]): Promise<readonly PeerAddress[]> {
		this._onLifted.fire(fingerprint);
		const told = await Promise.all(peers.map(async address => ({address, answer: await this._transport.ask(address, this._service.Lift!, {fingerprint})})));
		return told.filter(({answer}) => answer.isErr()).map(({address}) => address);
	}

	private _take(request: object, answer: sendUnaryData<object>): void {
		const lift = liftSchema.safeParse(request);
		if (!lift.success) {
			answer({code: status.INVALID_ARGUMENT, details: 'The fingerprint is not of the agreed form.'});
			return;
		}

		answer(null, {});
		this._onLifted.fire(lift.data.fingerprint);
	}
}
