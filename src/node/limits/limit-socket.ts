/** UDP socket for the datagrams that VMs exchange about rate limits: one JSON message per datagram. */
import {createSocket, type RemoteInfo, type Socket} from 'node:dgram';
import {isIP, isIPv6} from 'node:net';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {
	Disposable, type DisposableLike, MutableDisposable, toDisposable,
} from '../../common/lifecycle/disposable.ts';
import {type LimitMessage, limitMessageSchema, maxDatagramBytes} from '../../common/limits/messages.ts';
import {type DatagramEvent} from '../../common/limits/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type Clock} from '../clock.ts';
import {type EventSink} from '../decider-loop.ts';
import {LineBudget} from '../logging/line-budget.ts';
import {type Logger} from '../logging/types.ts';
import {type Metrics} from '../metrics/types.ts';

/** Pause before the socket is opened again after an error. */
const reopenMilliseconds: Milliseconds = 1000;

/** Log lines per second about failed datagrams. An unreachable holder would otherwise cause a line for each call. */
const maxLinesPerSecond = 2;

const maxPort = 65_535;

/** Parts that the socket uses. */
export type LimitSocketParts = {
	readonly sink: EventSink<DatagramEvent | Extract<FleetEvent, {type: 'limits-socket'}>>;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<Metrics, 'limitDatagram'>;
};

export class LimitSocket extends Disposable {
	private readonly _parts: LimitSocketParts;
	private readonly _reopenTimer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _lines = new LineBudget(maxLinesPerSecond);
	private _socket: Socket | undefined;
	private _isOpen = false;

	constructor(parts: LimitSocketParts) {
		super();
		this._parts = parts;
		this._register(toDisposable(() => {
			this._socket?.close();
			this._socket = undefined;
		}));
	}

	/**
	 * Opens the socket; the event `limits-socket` reports when it is open or closed. An error is logged, and the socket is
	 * opened again later.
	 */
	open(port: number, address: string): void {
		const socket = createSocket(isIPv6(address) ? 'udp6' : 'udp4');
		this._socket = socket;
		socket.on('listening', () => {
			this._setOpen(true);
		});
		socket.on('message', (bytes, from) => {
			this._receive(bytes, from);
		});
		socket.on('error', error => {
			this._log('socket for rate limits failed; it is opened again', {failure: error.message});
			if (this._socket !== socket) {
				return;
			}

			this._socket = undefined;
			socket.close();
			this._setOpen(false);
			this._reopenTimer.value = this._parts.clock.after(reopenMilliseconds, () => {
				this.open(port, address);
			});
		});
		socket.bind({port, address, exclusive: true});
	}

	/** Sends a message to `IP:PORT`. It may be lost; a failure is logged. */
	send(to: string, message: LimitMessage): void {
		const bytes = Buffer.from(JSON.stringify(message));
		const {address, port} = parseEndpoint(to);
		if (this._socket === undefined || !this._isOpen) {
			this._fail(to, 'the socket is not open');
		} else if (bytes.length > maxDatagramBytes) {
			this._fail(to, `message of ${bytes.length} bytes`);
		} else if (isIP(address) === 0 || !(Number.isInteger(port) && port > 0 && port <= maxPort)) {
			// A name would cost a lookup, and the entry of a slot may contain anything.
			this._fail(to, 'not an IP number and port');
		} else {
			this._socket.send(bytes, port, address, error => {
				if (error) {
					this._fail(to, error.message);
				} else {
					this._parts.metrics.limitDatagram('sent');
				}
			});
		}
	}

	private _setOpen(isOpen: boolean): void {
		if (this._isOpen !== isOpen) {
			this._isOpen = isOpen;
			this._parts.sink.feed({type: 'limits-socket', isOpen});
		}
	}

	private _receive(bytes: Buffer, {address, port, family}: RemoteInfo): void {
		const message = bytes.length > maxDatagramBytes ? undefined : parseMessage(bytes);
		if (message === undefined) {
			this._parts.metrics.limitDatagram('malformed');
			return;
		}

		this._parts.metrics.limitDatagram('received');
		this._parts.sink.feed({type: 'datagram', from: family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`, message});
	}

	private _fail(to: string, failure: string): void {
		this._parts.metrics.limitDatagram('failed');
		this._log('datagram about rate limits not sent', {to, failure});
	}

	private _log(message: string, details: Readonly<Record<string, string>>): void {
		const {isWritten, leftOut} = this._lines.admit(this._parts.clock.now());
		if (isWritten) {
			this._parts.logger.warn(message, {...details, ...(leftOut === 0 ? {} : {leftOut})});
		}
	}
}

function parseMessage(bytes: Buffer): LimitMessage | undefined {
	try {
		return limitMessageSchema.safeParse(JSON.parse(bytes.toString())).data;
	} catch {
		return undefined;
	}
}

function parseEndpoint(endpoint: string): {readonly address: string; readonly port: number} {
	const colon = endpoint.lastIndexOf(':');
	return {address: endpoint.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(endpoint.slice(colon + 1))};
}
