/** Lifts the quarantine of a call on all VMs on behalf of an operator. */
import {type sendUnaryData, type ServerUnaryCall, status} from '@grpc/grpc-js';
import {z} from 'zod';
import {type PeerAddress} from '../../common/fleet/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type GrpcPeerTransport} from './grpc-peer-transport.ts';
import {loadService, type UntypedService} from './proto-file.ts';

const liftSchema = z.object({fingerprint: z.string().min(1).max(128)});

/** Sends and receives requests to lift a quarantine. */
export class QuarantineExchange extends Disposable {
	private readonly _transport: GrpcPeerTransport;
	private readonly _service: UntypedService = loadService('quarantine.proto', 'jaydale.quarantine.v1.Quarantine');
	private readonly _onLifted = this._register(new Emitter<string>());

	/** Fires with the fingerprint of a call whose quarantine an operator has lifted, through this VM or another. */
	readonly onLifted = this._onLifted.event;

	constructor(transport: GrpcPeerTransport) {
		super();
		this._transport = transport;
		transport.addService(this._service, {
			Lift: (call: ServerUnaryCall<object, object>, answer: sendUnaryData<object>) => {
				this._handleRequest(call.request, answer);
			},
		});
	}

	/** Lifts the quarantine on this VM and the given peers. Resolves with the peers that could not be reached, where the quarantine lasts until it expires. */
	async lift(fingerprint: string, peers: readonly PeerAddress[]): Promise<readonly PeerAddress[]> {
		this._onLifted.fire(fingerprint);
		const results = await Promise.all(peers.map(async address => ({address, answer: await this._transport.request(address, this._service.Lift!, {fingerprint})})));
		return results.filter(({answer}) => answer.isErr()).map(({address}) => address);
	}

	private _handleRequest(request: object, answer: sendUnaryData<object>): void {
		const lift = liftSchema.safeParse(request);
		if (!lift.success) {
			answer({code: status.INVALID_ARGUMENT, details: 'The fingerprint is missing or has an invalid length.'});
			return;
		}

		answer(null, {});
		this._onLifted.fire(lift.data.fingerprint);
	}
}
