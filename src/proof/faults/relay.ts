/**
 * A plain TCP relay between VMs and one backend server, in the test's own process. It knows just enough of
 * HTTP to see at which step a call stands, and notes each call whose whole request it has passed on: from
 * then on the backend server may run it, whatever becomes of it.
 */
import {connect, createServer, type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type CallStep} from './types.ts';

const headEnd = Buffer.from('\r\n\r\n');
const slowMilliseconds = 700;

/** Length of a message from its head; undefined while the head is not whole. */
function messageLength(bytes: Buffer): {readonly head: number; readonly body: number} | undefined {
	const end = bytes.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const length = /\r\ncontent-length: (\d+)/iv.exec(bytes.subarray(0, end).toString('latin1'))?.[1];
	return {head: end + headEnd.length, body: Number(length ?? 0)};
}

/** One connection, with the call that is on it. */
export class RelayedConnection {
	call: string | undefined;
	private _isSlow = false;
	private readonly _relay: Relay;
	private readonly _vm: Socket;
	private readonly _backend: Socket | undefined;
	private _sent = Buffer.alloc(0);
	private _sentBytes = 0;
	private _answer = Buffer.alloc(0);
	private _answerBytes = 0;
	private _isSilent = false;

	constructor(relay: Relay, vm: Socket, port: number) {
		this._relay = relay;
		this._vm = vm;
		vm.on('error', () => {
			this.cut();
		});
		this._relay.reach('connecting', this);
		if (vm.destroyed) {
			return;
		}

		this._backend = connect(port, '127.0.0.1');
		this._backend.on('error', () => {
			this.cut();
		});
		vm.on('data', chunk => {
			this._toBackend(chunk);
		});
		this._backend.on('data', chunk => {
			this._toVm(chunk);
		});
		vm.on('close', () => {
			this._backend?.destroy();
		});
		this._backend.on('close', () => {
			this._close();
		});
	}

	/** Resets both ends. */
	cut(): void {
		this._vm.resetAndDestroy();
		this._backend?.resetAndDestroy();
	}

	/** Passes nothing on any more, and closes nothing. */
	silence(): void {
		this._isSilent = true;
	}

	/** Everything takes its time from now on. */
	slowDown(): void {
		this._isSlow = true;
	}

	private _close(): void {
		if (!this._isSilent) {
			this._vm.destroy();
		}
	}

	private _pass(to: Socket | undefined, bytes: Uint8Array): void {
		if (this._isSilent || to === undefined || to.destroyed || bytes.length === 0) {
			return;
		}

		if (this._isSlow) {
			setTimeout(() => {
				to.write(bytes);
			}, slowMilliseconds);
		} else {
			to.write(bytes);
		}
	}

	private _toBackend(chunk: Buffer): void {
		if (this._sentBytes === 0) {
			this._sent = Buffer.alloc(0);
		}

		const known = messageLength(this._sent);
		if (known === undefined) {
			this._sent = Buffer.concat([this._sent, chunk]);
		}

		this._sentBytes += chunk.length;
		const length = messageLength(this._sent);
		this.call = /\r\nstand-in-call-id: (\S+)/iv.exec(this._sent.toString('latin1', 0, length?.head))?.[1];
		this._pass(this._backend, chunk);
		if (length === undefined || this.call === undefined) {
			this._endRequestIf(length !== undefined);
			return;
		}

		const whole = length.head + length.body;
		if (known === undefined) {
			this._relay.reach('head sent', this);
		}

		if (length.body > 0 && this._sentBytes >= length.head + (length.body / 2)) {
			this._relay.reach('half the body sent', this);
		}

		if (this._sentBytes >= whole) {
			this._noteGiven();
			this._relay.reach('waiting', this);
			this._endRequestIf(true);
		}
	}

	private _noteGiven(): void {
		if (!this._isSilent && this._backend?.destroyed === false) {
			this._relay.given.push({call: this.call!, at: performance.now()});
		}
	}

	private _endRequestIf(isWhole: boolean): void {
		if (isWhole) {
			this._sentBytes = 0;
			this._answer = Buffer.alloc(0);
			this._answerBytes = 0;
		}
	}

	private _toVm(chunk: Buffer): void {
		if (messageLength(this._answer) === undefined) {
			this._answer = Buffer.concat([this._answer, chunk]);
		}

		this._answerBytes += chunk.length;
		const length = messageLength(this._answer);
		if (length === undefined || this.call === undefined) {
			this._pass(this._vm, chunk);
			return;
		}

		const isLast = this._answerBytes >= length.head + length.body;
		this._pass(this._vm, isLast ? chunk.subarray(0, -1) : chunk);
		if (this._answerBytes >= length.head + (length.body / 2)) {
			this._relay.reach('half the answer', this);
		}

		if (isLast) {
			this._relay.reach('last byte', this);
			this._pass(this._vm, chunk.subarray(-1));
		}
	}
}

/** Listens on a port of its own for as long as the test lasts; its backend server may come and go. */
export class Relay extends Disposable {
	/** Calls whose whole request went to the backend server. */
	readonly given: Array<{readonly call: string; readonly at: number}> = [];
	readonly backendPort: number;
	private readonly _connections = new Set<RelayedConnection>();
	private _armed: {readonly step: CallStep; readonly call: string; readonly act: (connection: RelayedConnection) => void} | undefined;
	private _port = 0;

	constructor(backendPort: number) {
		super();
		this.backendPort = backendPort;
	}

	get port(): number {
		return this._port;
	}

	async listen(): Promise<number> {
		const server = createServer(socket => {
			const connection = new RelayedConnection(this, socket, this.backendPort);
			this._connections.add(connection);
			socket.on('close', () => {
				this._connections.delete(connection);
			});
		});
		this._register(toDisposable(() => {
			this.cutAll();
			server.close();
		}));
		return new Promise(resolve => {
			server.listen(0, '127.0.0.1', () => {
				const bound = server.address();
				this._port = typeof bound === 'object' && bound !== null ? bound.port : 0;
				resolve(this._port);
			});
		});
	}

	/** Once the call is at the step here, `act` runs. A connection being opened has no call yet. */
	arm(step: CallStep, call: string, act: (connection: RelayedConnection) => void): void {
		this._armed = {step, call, act};
	}

	disarm(): void {
		this._armed = undefined;
	}

	reach(step: CallStep, connection: RelayedConnection): void {
		const armed = this._armed;
		if (armed?.step === step && (step === 'connecting' || armed.call === connection.call)) {
			this._armed = undefined;
			armed.act(connection);
		}
	}

	/** What is open now passes nothing on any more; new connections do. */
	silenceAll(): void {
		for (const connection of this._connections) {
			connection.silence();
		}
	}

	cutAll(): void {
		for (const connection of this._connections) {
			connection.cut();
		}

		this._connections.clear();
	}
}
