/** Sends updates of the call engine to other VMs. */
import {Client, type Dispatcher} from 'undici';
import {type FleetEffect, type PeerAddress} from '../../common/fleet/types.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type Logger} from '../logging/types.ts';
import {type Metrics} from '../metrics/types.ts';
import {encodeUpdates, replyToHeader, updatesPath} from './update-codec.ts';

/** Connect time-out. Other VMs pass the same updates on, so that a lost message is no loss. */
const connectTimeoutMilliseconds: Milliseconds = 300;

/** Time after which an unfinished message is given up. */
const maxSendMilliseconds: Milliseconds = 1000;

/** Idle time after which a connection is closed. */
const keepAliveMilliseconds: Milliseconds = 3000;

/** VMs to which this VM keeps clients. */
const maxClients = 32;

const maxSuccessStatus = 299;

type SendEffect = FleetEffect & {type: 'send-updates'};

/** undici dispatch handler of one message; the bundle contains no higher-level API of undici. */
class SendHandler implements Dispatcher.DispatchHandler {
	private readonly _onEnd: (problem: string | undefined) => void;
	private _problem: string | undefined;

	constructor(onEnd: (problem: string | undefined) => void) {
		this._onEnd = onEnd;
	}

	onRequestStart(): void {
		// The controller is not needed: destroying the client ends the message.
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		// A VM of an earlier build answers 404.
		this._problem = status > maxSuccessStatus ? `status ${status}` : undefined;
	}

	onResponseData(): void {
		// Only the status matters.
	}

	onResponseEnd(): void {
		this._onEnd(this._problem);
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this._onEnd(error.message);
	}
}

export class UpdateClient extends Disposable {
	private readonly _logger: Logger;
	private readonly _metrics: Metrics;
	private readonly _clients = new Map<PeerAddress, Client>();

	constructor(logger: Logger, metrics: Metrics) {
		super();
		this._logger = logger;
		this._metrics = metrics;
		this._register(toDisposable(() => {
			for (const client of this._clients.values()) {
				void client.destroy();
			}

			this._clients.clear();
		}));
	}

	send({to, updates, replyTo}: SendEffect): void {
		const body = encodeUpdates(updates);
		this._metrics.peerTraffic('out', to.length, body.length * to.length);
		for (const address of to) {
			this._sendTo(address, body, replyTo);
		}
	}

	private _sendTo(address: PeerAddress, body: string, replyTo: PeerAddress | undefined): void {
		const client = this._clientOf(address);
		client.dispatch({
			method: 'POST', path: updatesPath, body, headers: ['content-type', 'application/json', ...(replyTo === undefined ? [] : [replyToHeader, replyTo])],
		}, new SendHandler(problem => {
			if (problem !== undefined) {
				this._logger.debug('updates were not delivered to a VM', {address, problem});
			}
		}));
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
