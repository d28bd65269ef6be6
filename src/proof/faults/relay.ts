/**
 * A TCP relay between the VMs and one backend server, in the process of the test. It parses as much HTTP as needed to
 * detect the step of a call, and records each call whose whole request it has forwarded: from then on the backend
 * server may run the call, even if the connection is lost.
 */
import {connect, createServer, type Socket} from 'node:net';
import {Buffer} from 'node:buffer';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type CallStep} from './types.ts';

const headEnd = Buffer.from('\r\n\r\n');
const slowDelayMilliseconds = 700;

/** Lengths in bytes of the head and the body of a message; undefined while the head is incomplete. */
function messageLength(bytes: Buffer): {readonly head: number; readonly body: number} | undefined {
	const end = bytes.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const length = /\r\ncontent-length: (\d+)/iv.exec(bytes.subarray(0, end).toString('latin1'))?.[1];
	return {head: end + headEnd.length, body: Number(length ?? 0)};
}

/** One relayed connection, with the identity of its current call. */
export class RelayedConnection {
	call: string | undefined;
	private _isSlow = false;
	private readonly _relay: Relay;
	private readonly _vm: Socket;
	private readonly _backend: Socket | undefined;
	private _request = Buffer.alloc(0);
	private _requestBytes = 0;
	private _answer = Buffer.alloc(0);
	private _answerBytes = 0;
	private _isSilent = false;

	constructor(relay: Relay, vm: Socket, port: number) {
		this._relay = relay;
		this._vm = vm;
		vm.on('error', () => {
			this.cut();
		});
		this._relay.handleStep('connecting', this);
		if (vm.destroyed) {
			return;
		}

		this._backend = connect(port, '127.0.0.1');
		this._backend.on('error', () => {
			this.cut();
		});
		vm.on('data', chunk => {
			this._forwardToBackend(chunk);
		});
		this._backend.on('data', chunk => {
			this._forwardToVm(chunk);
		});
		vm.on('close', () => {
			this._backend?.destroy();
		});
		this._backend.on('close', () => {
			this._close();
		});
	}

	/** Resets the connections to the VM and to the backend server. */
	cut(): void {
		this._vm.resetAndDestroy();
		this._backend?.resetAndDestroy();
	}

	/** Stops forwarding without closing any connection. */
	silence(): void {
		this._isSilent = true;
	}

	/** Delays all bytes from now on by `slowDelayMilliseconds`. */
	slowDown(): void {
		this._isSlow = true;
	}

	private _close(): void {
		if (!this._isSilent) {
			this._vm.destroy();
		}
	}

	private _write(to: Socket | undefined, bytes: Uint8Array): void {
		if (this._isSilent || to === undefined || to.destroyed || bytes.length === 0) {
			return;
		}

		if (this._isSlow) {
			setTimeout(() => {
				to.write(bytes);
			}, slowDelayMilliseconds);
		} else {
			to.write(bytes);
		}
	}

	private _forwardToBackend(chunk: Buffer): void {
		if (this._requestBytes === 0) {
			this._request = Buffer.alloc(0);
		}

		const previousLength = messageLength(this._request);
		if (previousLength === undefined) {
			this._request = Buffer.concat([this._request, chunk]);
		}

		this._requestBytes += chunk.length;
		const length = messageLength(this._request);
		this.call = /\r\nstand-in-call-id: (\S+)/iv.exec(this._request.toString('latin1', 0, length?.head))?.[1];
		this._write(this._backend, chunk);
		if (length === undefined || this.call === undefined) {
			this._resetRequestIf(length !== undefined);
			return;
		}

		const wholeLength = length.head + length.body;
		if (previousLength === undefined) {
			this._relay.handleStep('head sent', this);
		}

		if (length.body > 0 && this._requestBytes >= length.head + (length.body / 2)) {
			this._relay.handleStep('half the body sent', this);
		}

		if (this._requestBytes >= wholeLength) {
			this._recordForwarded();
			this._relay.handleStep('waiting', this);
			this._resetRequestIf(true);
		}
	}

	private _recordForwarded(): void {
		if (!this._isSilent && this._backend?.destroyed === false) {
			this._relay.forwardedRequests.push({call: this.call!, at: performance.now()});
		}
	}

	private _resetRequestIf(isWhole: boolean): void {
		if (isWhole) {
			this._requestBytes = 0;
			this._answer = Buffer.alloc(0);
			this._answerBytes = 0;
		}
	}

	private _forwardToVm(chunk: Buffer): void {
		if (messageLength(this._answer) === undefined) {
			this._answer = Buffer.concat([this._answer, chunk]);
		}

		this._answerBytes += chunk.length;
		const length = messageLength(this._answer);
		if (length === undefined || this.call === undefined) {
			this._write(this._vm, chunk);
			return;
		}

		const isLast = this._answerBytes >= length.head + length.body;
		this._write(this._vm, isLast ? chunk.subarray(0, -1) : chunk);
		if (this._answerBytes >= length.head + (length.body / 2)) {
			this._relay.handleStep('half the answer', this);
		}

		if (isLast) {
			this._relay.handleStep('last byte', this);
			this._write(this._vm, chunk.subarray(-1));
		}
	}
}

/** Listens on one port for the whole test, while its backend server may be stopped and restarted. */
export class Relay extends Disposable {
	/** Calls whose whole request was forwarded to the backend server, with the time. */
	readonly forwardedRequests: Array<{readonly call: string; readonly at: number}> = [];
	readonly backendPort: number;
	private readonly _connections = new Set<RelayedConnection>();
	private _trigger: {readonly step: CallStep; readonly call: string; readonly action: (connection: RelayedConnection) => void} | undefined;
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

	/** Runs `action` once when the call reaches the step at this relay. The step `connecting` matches any new connection, since it has no call yet. */
	setTrigger(step: CallStep, call: string, action: (connection: RelayedConnection) => void): void {
		this._trigger = {step, call, action};
	}

	clearTrigger(): void {
		this._trigger = undefined;
	}

	handleStep(step: CallStep, connection: RelayedConnection): void {
		const trigger = this._trigger;
		if (trigger?.step === step && (step === 'connecting' || trigger.call === connection.call)) {
			this._trigger = undefined;
			trigger.action(connection);
		}
	}

	/** Silences all open connections. New connections are forwarded. */
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
