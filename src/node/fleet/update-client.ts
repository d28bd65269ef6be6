/** Sends updates of the call engine to other VMs, and compares evidence of crashes with them. */
import {Client, type Dispatcher} from 'undici';
import {type LoadUpdate} from '../../common/calls/types.ts';
import {type FleetEvent, type PeerAddress} from '../../common/fleet/types.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type EvidenceKey} from '../../common/registry/types.ts';
import {type EventSink} from '../decider-loop.ts';
import {type Logger} from '../logging/types.ts';
import {type Metrics} from '../metrics/types.ts';
import {
	decodeEvidenceReply, encodeEvidenceKeys, encodeUpdates, evidencePath, maxUpdatesBytes, updatesPath,
} from './update-codec.ts';

/** Connect time-out. Other VMs pass the same updates on, so that a lost message is no loss. */
const connectTimeoutMilliseconds: Milliseconds = 300;

/** Time after which an unfinished message is given up. */
const maxSendMilliseconds: Milliseconds = 1000;

/** Idle time after which a connection is closed. */
const keepAliveMilliseconds: Milliseconds = 3000;

/** VMs to which this VM keeps clients. */
const maxClients = 32;

const maxSuccessStatus = 299;

type Outcome = {readonly problem: string | undefined; readonly body: string};

/** undici dispatch handler of one message; the bundle contains no higher-level API of undici. */
class SendHandler implements Dispatcher.DispatchHandler {
	private readonly _onEnd: (outcome: Outcome) => void;
	private readonly _chunks: Uint8Array[] = [];
	private _length = 0;
	private _problem: string | undefined;

	constructor(onEnd: (outcome: Outcome) => void) {
		this._onEnd = onEnd;
	}

	onRequestStart(): void {
		// The controller is not needed: destroying the client ends the message.
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		// A VM of an earlier build answers 404.
		this._problem = status > maxSuccessStatus ? `status ${status}` : undefined;
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this._length += chunk.length;
		this._chunks.push(chunk);
		if (this._length > maxUpdatesBytes) {
			controller.abort(new Error('the response is longer than any of this fleet'));
		}
	}

	onResponseEnd(): void {
		this._onEnd({problem: this._problem, body: Buffer.concat(this._chunks).toString()});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this._onEnd({problem: error.message, body: ''});
	}
}

type ReplySink = EventSink<Extract<FleetEvent, {type: 'evidence-compared'}>>;

export class UpdateClient extends Disposable {
	private readonly _sink: ReplySink;
	private readonly _logger: Logger;
	private readonly _metrics: Metrics;
	private readonly _clients = new Map<PeerAddress, Client>();

	constructor(sink: ReplySink, logger: Logger, metrics: Metrics) {
		super();
		this._sink = sink;
		this._logger = logger;
		this._metrics = metrics;
		this._register(toDisposable(() => {
			for (const client of this._clients.values()) {
				void client.destroy();
			}

			this._clients.clear();
		}));
	}

	send(to: readonly PeerAddress[], updates: readonly LoadUpdate[]): void {
		const body = encodeUpdates(updates);
		this._metrics.peerTraffic('out', to.length, body.length * to.length);
		for (const address of to) {
			this._post(address, {path: updatesPath, body}, ({problem}) => {
				if (problem !== undefined) {
					this._logger.debug('updates were not delivered to a VM', {address, problem});
				}
			});
		}
	}

	/** Compares this VM's evidence of crashes, by its keys, with that of another VM. */
	compare(address: PeerAddress, known: readonly EvidenceKey[]): void {
		const body = encodeEvidenceKeys(known);
		this._metrics.peerTraffic('out', 1, body.length);
		this._post(address, {path: evidencePath, body}, ({problem, body: text}) => {
			if (problem !== undefined) {
				this._logger.debug('evidence of crashes was not compared with a VM', {address, problem});
				return;
			}

			decodeEvidenceReply(text).match(reply => {
				this._sink.feed({type: 'evidence-compared', from: address, reply});
			}, ({message}) => {
				this._logger.warn('reply of a VM to the evidence of crashes is unreadable', {address, problem: message});
			});
		});
	}

	private _post(address: PeerAddress, {path, body}: {readonly path: string; readonly body: string}, onEnd: (outcome: Outcome) => void): void {
		this._clientOf(address).dispatch({
			method: 'POST', path, body, headers: ['content-type', 'application/json'],
		}, new SendHandler(onEnd));
	}

	/** Keeps connections open for a while, since updates come in bursts. */
	private _clientOf(address: PeerAddress): Client {
		const existing = this._clients.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const [oldest] = this._clients;
		if (oldest !== undefined && this._clients.size >= maxClients) {
			this._clients.delete(oldest[0]);
			void oldest[1].close();
		}

		const client = new Client(`http://${address}`, {
			connect: {timeout: connectTimeoutMilliseconds}, headersTimeout: maxSendMilliseconds, bodyTimeout: maxSendMilliseconds, keepAliveTimeout: keepAliveMilliseconds, allowH2: false,
		});
		this._clients.set(address, client);
		return client;
	}
}
