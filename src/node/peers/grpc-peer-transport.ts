/** Transport of messages between VMs over gRPC. Each message is a unary call, so that it has its own deadline. */
import {
	Client, type MethodDefinition, Server, type ServiceDefinition, status, type sendUnaryData, type ServerUnaryCall, type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {type PeerMessage} from '../../common/fleet/peer-messages.ts';
import {type PeerAddress} from '../../common/fleet/types.ts';
import {
	Disposable, type DisposableLike, DisposableStore, toDisposable,
} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type PeerTransport} from '../fleet/types.ts';
import {fromWire, toWire, type WireMessage} from './peer-codec.ts';
import {loadService, type UntypedMethod} from './proto-file.ts';
import {certificateFailure, type PeerCredentials, type PeerCredentialsFailureKind} from './peer-credentials.ts';

export type PeerTransportFailureKind = 'cannot-listen' | PeerCredentialsFailureKind;

/** A failure in the communication with another VM, or in this VM's own certificate. */
export type PeerFailure = {
	readonly address: PeerAddress;
	readonly failure: Failure<PeerCredentialsFailureKind | 'malformed-message' | 'unreachable'>;
};

/** Messages and bytes since the start, without gRPC's framing and headers. */
export type PeerTraffic = {
	readonly messagesOut: number;
	readonly bytesOut: number;
	readonly messagesIn: number;
	readonly bytesIn: number;
};

/** Deadline of a message, after which it counts as undeliverable; far above the round-trip times between VMs. */
const deadlineMilliseconds = 1000;

/** Idle time after which a connection is closed; in the largest supported fleet no VM keeps connections to all others. */
const idleTimeoutMilliseconds = 60_000;

/** Interval between checks of this VM's own certificate. */
const fileCheckIntervalMilliseconds = 60_000;

/** Maximum size of a message; pages of resources and lists of changes are well below it. */
const maxMessageBytes = 4 * 1024 * 1024;

const clientOptions = {
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 1000,
	'grpc.max_receive_message_length': maxMessageBytes,
	// Without a pool per client, a new client would reuse the silent connection that was just closed.
	'grpc.use_local_subchannel_pool': 1,
};

type Peer = DisposableLike & {readonly client: Client; usedAt: number};

type DeliverMethod = MethodDefinition<WireMessage, WireMessage>;

/** Returns the IP number of `IP:PORT`, without the brackets of IPv6. */
function hostOf(address: PeerAddress): string {
	return address.slice(0, address.lastIndexOf(':')).replaceAll(/[\[\]]/gv, '');
}

/** An additional gRPC service on the same listener. */
type AdditionalService = {readonly definition: ServiceDefinition; readonly implementation: UntypedServiceImplementation};

export class GrpcPeerTransport extends Disposable implements PeerTransport {
	private readonly _onMessage = this._register(new Emitter<PeerMessage>());
	private readonly _onUnreachable = this._register(new Emitter<PeerAddress>());
	private readonly _onFailure = this._register(new Emitter<PeerFailure>());
	private readonly _peers = new Map<PeerAddress, Peer>();
	private readonly _clients = this._register(new DisposableStore());
	private readonly _deliver: DeliverMethod;
	private readonly _additionalServices: AdditionalService[] = [];
	/** Created by the first `listen`. */
	private _server: Server | undefined;
	private _messagesOut = 0;
	private _bytesOut = 0;
	private _messagesIn = 0;
	private _bytesIn = 0;

	readonly onMessage = this._onMessage.event;
	readonly onUnreachable = this._onUnreachable.event;
	/** Fires for each failure, for logs and metrics. */
	readonly onFailure = this._onFailure.event;

	/** @param _listenAddress `IP:PORT` to listen on; port 0 takes a free one */
	constructor(
		private readonly _listenAddress: string,
		private readonly _credentials: PeerCredentials,
		private readonly _now: () => number,
	) {
		super();
		this._deliver = loadService('peers.proto', 'jaydale.peers.v1.Peers').Deliver!;
	}

	get traffic(): PeerTraffic {
		return {
			messagesOut: this._messagesOut, bytesOut: this._bytesOut, messagesIn: this._messagesIn, bytesIn: this._bytesIn,
		};
	}

	/** Adds a gRPC service to the listener; must be called before `listen`. */
	addService(definition: ServiceDefinition, implementation: UntypedServiceImplementation): void {
		this._additionalServices.push({definition, implementation});
	}

	/** Sends a request to another VM and resolves with its response; fails after the deadline of a message. */
	async request(to: PeerAddress, method: UntypedMethod, request: object): Promise<Result<object, Failure<'unreachable'>>> {
		const peer = this._peerFor(to);
		return new Promise(resolve => {
			const options = {deadline: Date.now() + deadlineMilliseconds};
			peer.client.makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, request, options, (error, answer) => {
				resolve(answer === undefined ? err(failure('unreachable', error?.details ?? 'no answer')) : ok(answer));
			});
		});
	}

	/** Opens the listener; resolves with its port. May be called again after `cannot-listen`. */
	async listen(): Promise<Result<number, Failure<PeerTransportFailureKind>>> {
		const checked = this._credentials.check();
		if (checked.isErr()) {
			return err(checked.error);
		}

		this._server ??= this._createServer();
		const server = this._server;
		return new Promise(resolve => {
			server.bindAsync(this._listenAddress, this._credentials.server, (error, port) => {
				resolve(error ? err(failure('cannot-listen', `Can't listen on ${this._listenAddress}: ${error.message}`)) : ok(port));
			});
		});
	}

	send(to: PeerAddress, message: PeerMessage): void {
		const {path, requestSerialize, responseDeserialize} = this._deliver;
		const serialize = (wire: WireMessage): Buffer => {
			const bytes = requestSerialize(wire);
			this._bytesOut += bytes.length;
			return bytes;
		};

		this._messagesOut += 1;
		const peer = this._peerFor(to);
		const options = {deadline: Date.now() + deadlineMilliseconds};
		peer.client.makeUnaryRequest(path, serialize, responseDeserialize, toWire(message), options, error => {
			if (error && !this._store.isDisposed) {
				this._handleError(to, peer, error);
			}
		});
	}

	private _createServer(): Server {
		this._checkFilesPeriodically();
		const server = new Server({'grpc.max_receive_message_length': maxMessageBytes});
		this._register(toDisposable(() => {
			server.forceShutdown();
		}));
		const requestDeserialize = (bytes: Buffer): WireMessage => {
			this._bytesIn += bytes.length;
			return this._deliver.requestDeserialize(bytes);
		};

		server.addService({Deliver: {...this._deliver, requestDeserialize}}, {
			Deliver: (call: ServerUnaryCall<WireMessage, WireMessage>, answer: sendUnaryData<WireMessage>) => {
				this._handleMessage(call, answer);
			},
		});
		for (const {definition, implementation} of this._additionalServices) {
			server.addService(definition, implementation);
		}

		return server;
	}

	/** Checks periodically whether the own certificate has expired, and reports it: other VMs only drop the connection. */
	private _checkFilesPeriodically(): void {
		const timer = setInterval(() => {
			const checked = this._credentials.check();
			if (checked.isErr()) {
				this._onFailure.fire({address: this._listenAddress, failure: checked.error});
			}
		}, fileCheckIntervalMilliseconds);
		this._register(toDisposable(() => {
			clearInterval(timer);
		}));
	}

	private _peerFor(to: PeerAddress): Peer {
		const now = this._now();
		this._closeIdle(now);
		const known = this._peers.get(to);
		if (known) {
			known.usedAt = now;
			return known;
		}

		const client = new Client(to, this._credentials.channelTo(hostOf(to)), {...clientOptions, ...this._credentials.channelOptions});
		const peer: Peer = {
			client,
			usedAt: now,
			dispose() {
				client.close();
			},
		};
		this._clients.add(peer);
		this._peers.set(to, peer);
		return peer;
	}

	private _close(to: PeerAddress, peer: Peer): void {
		if (this._peers.get(to) === peer) {
			this._peers.delete(to);
		}

		this._clients.delete(peer);
	}

	private _closeIdle(now: number): void {
		for (const [to, peer] of this._peers) {
			if (now - peer.usedAt > idleTimeoutMilliseconds) {
				this._close(to, peer);
			}
		}
	}

	/**
	 * Reports the failure, and closes the connection if the deadline passed without an error. A connection can stop
	 * transferring data permanently while new connections to the same VM work; the next message then opens a new one. To a
	 * dead VM every message opens a connection in vain, but the membership probes limit the number of such messages.
	 */
	private _handleError(to: PeerAddress, peer: Peer, error: {readonly code: number; readonly details: string}): void {
		if (error.code === Number(status.DEADLINE_EXCEEDED)) {
			this._close(to, peer);
		}

		this._onFailure.fire({address: to, failure: certificateFailure(error.details) ?? failure('unreachable', error.details)});
		this._onUnreachable.fire(to);
	}

	private _handleMessage(call: ServerUnaryCall<WireMessage, WireMessage>, answer: sendUnaryData<WireMessage>): void {
		const message = fromWire(call.request);
		this._messagesIn += 1;
		if (message.isErr()) {
			this._onFailure.fire({address: call.getPeer(), failure: message.error});
			answer({code: status.INVALID_ARGUMENT, details: message.error.message});
			return;
		}

		answer(null, {});
		this._onMessage.fire(message.value);
	}
}
