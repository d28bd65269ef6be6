/** Helpers for tests of a planned stop: a caller and a backend server on raw sockets. */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {connect, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {Disposable, type DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {answerBody, headEnd, readAnswers} from './answer-reader.test.ts';
import {startRawServer} from './test-utilities.test.ts';

/** Polling interval for conditions that emit no event. */
const pollMilliseconds: Milliseconds = 2;

/** Resolves once the condition is true. Without a timeout: each condition also becomes true when the VM has ended. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await delay(pollMilliseconds);
	}
}

/** Records both sockets of each connection within this process, so that a test can detect when its peer has read all bytes. */
export class ConnectionTracker extends Disposable {
	private readonly _sockets = new Set<Socket>();

	constructor() {
		super();
		const onSocketCreated = (message: unknown) => {
			if (typeof message === 'object' && message !== null && 'socket' in message && message.socket instanceof Socket) {
				this._sockets.add(message.socket);
			}
		};

		for (const channel of ['net.server.socket', 'net.client.socket']) {
			subscribe(channel, onSocketCreated);
			this._register(toDisposable(() => {
				unsubscribe(channel, onSocketCreated);
			}));
		}
	}

	/** Returns the socket at the other end of a connection; undefined until it is accepted. */
	findPeer(socket: Socket): Socket | undefined {
		if (socket.localPort === undefined || socket.remotePort === undefined) {
			return undefined;
		}

		return [...this._sockets].find(other => other.remotePort === socket.localPort && other.localPort === socket.remotePort);
	}

	/** Resolves once the peer has read all bytes written to the socket, or one of the two sockets is closed. */
	async waitUntilRead(socket: Socket, knownPeer?: Socket): Promise<void> {
		let peer = knownPeer;
		await waitUntil(() => {
			peer ??= this.findPeer(socket);
			return socket.destroyed || (peer !== undefined && (peer.destroyed || peer.bytesRead >= socket.bytesWritten));
		});
	}
}

/** A caller that sends raw bytes; `pause` and `resume` control whether it reads. */
export class RawCaller extends Disposable {
	/** State of the connection, or the way in which it ended. */
	end: 'open' | 'closed' | 'reset' | 'refused' = 'open';
	private readonly _socket: Socket;
	private readonly _tracker: ConnectionTracker;
	private readonly _received: Buffer[] = [];
	private _peer: Socket | undefined;

	constructor(port: number, tracker: ConnectionTracker) {
		super();
		this._tracker = tracker;
		this._socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
		this._register(toDisposable(() => {
			this._socket.destroy();
		}));
		this._socket.on('data', (chunk: Buffer) => this._received.push(chunk));
		this._socket.on('end', () => {
			this.end = 'closed';
			this._socket.end();
		});
		this._socket.on('error', (error: NodeJS.ErrnoException) => {
			if (this.end === 'open') {
				this.end = error.code === 'ECONNREFUSED' ? 'refused' : 'reset';
			}
		});
	}

	get answers(): string[] {
		return readAnswers(Buffer.concat(this._received));
	}

	/** Resolves once the VM has accepted the connection, or the connection has ended. */
	async waitUntilAccepted(): Promise<this> {
		await waitUntil(() => {
			this._peer = this._tracker.findPeer(this._socket);
			return this.end !== 'open' || this._peer !== undefined;
		});
		return this;
	}

	/** Writes bytes; resolves once the kernel has accepted them or the connection is closed. */
	async send(bytes: string | Buffer): Promise<void> {
		return new Promise(resolve => {
			this._socket.write(bytes, () => {
				resolve();
			});
		});
	}

	/** Writes bytes; resolves once the VM has read them. */
	async sendAndWaitUntilRead(bytes: string | Buffer): Promise<void> {
		await this.send(bytes);
		await this._tracker.waitUntilRead(this._socket, this._peer);
	}

	/** Resolves once this many answers, including interim ones, have been received or the connection has ended. */
	async waitForAnswers(count: number): Promise<void> {
		let seenChunks = 0;
		await waitUntil(() => {
			const hasUpdate = this._received.length > seenChunks;
			seenChunks = this._received.length;
			return this.end !== 'open' || (hasUpdate && this.answers.filter(answer => !answer.includes('cut')).length >= count);
		});
	}

	/** Resolves once the VM has written any bytes to this caller, whether the caller has read them or not. */
	async waitForAnswerBytes(): Promise<void> {
		await waitUntil(() => this.end !== 'open' || this._peer === undefined || this._peer.destroyed || this._peer.bytesWritten > 0);
	}

	pause(): void {
		this._socket.pause();
	}

	resume(): void {
		this._socket.resume();
	}
}

/** A call received by the backend server; the test controls the content and time of the answer. */
export class BackendCall {
	readonly name: string;
	private readonly _socket: Socket;
	private readonly _tracker: ConnectionTracker;

	constructor(name: string, socket: Socket, tracker: ConnectionTracker) {
		this.name = name;
		this._socket = socket;
		this._tracker = tracker;
	}

	/** Writes text; resolves once the VM has read it. */
	async write(text: string): Promise<void> {
		this._socket.write(text);
		await this._tracker.waitUntilRead(this._socket);
	}

	/** Returns the head of an answer that is valid in both dialects; without a content length unless `headers` contain one. */
	head(...headers: string[]): string {
		return ['HTTP/1.1 200 OK', ...backendHeaders, `request-id: ${this.name}`, 'response-signature: s', ...headers].join('\r\n') + headEnd;
	}

	async answer(bytes = 0, ...headers: string[]): Promise<void> {
		const body = answerBody(this.name, bytes);
		this._socket.write(this.head(`content-length: ${body.length}`, ...headers) + body);
	}

	/** Writes text and closes the connection, which completes a close-delimited answer. */
	end(text: string): void {
		this._socket.end(text);
	}
}

/** Headers that the platform's dialect and jaydale's own dialect require in every answer. */
const backendHeaders = ['server-load: 0,0,6,100', 'instance-id: i-1', 'jaydale-load: in-flight=0, queued=0, slots=6, instance=i-1'];

/** A backend server on raw sockets that records each call that it has received completely. */
export class RawBackend {
	/** Names of the received calls, in order of arrival. */
	readonly ran: string[] = [];
	private readonly _calls: BackendCall[] = [];
	private _openConnections = 0;

	/** Number of open connections; while it is above zero, a call may still be in transit. */
	get openConnections(): number {
		return this._openConnections;
	}

	/** Starts listening on the loopback address; resolves with the port. */
	async start(owned: DisposableStore, tracker: ConnectionTracker): Promise<number> {
		return startRawServer(owned, socket => {
			this._openConnections++;
			socket.on('close', () => {
				this._openConnections--;
			});
			let text = '';
			socket.on('data', (chunk: Buffer) => {
				text += chunk.toString('latin1');
				const path = /^[A-Z]+ (\S+) HTTP\/1\.1\r\n/v.exec(text)?.[1];
				if (path === undefined || !isCompleteRequest(text)) {
					return;
				}

				text = '';
				if (path === '/healthz' || path === '/load') {
					const load = '{"inFlight":0,"queued":0,"slots":6,"instance":"i-1"}';
					socket.write(['HTTP/1.1 200 OK', ...backendHeaders, `content-length: ${load.length}`].join('\r\n') + headEnd + load);
					return;
				}

				const name = path.slice(path.lastIndexOf('/') + 1);
				this.ran.push(name);
				this._calls.push(new BackendCall(name, socket, tracker));
			});
		});
	}

	/** Resolves with the call of this name once it has arrived; undefined if `hasEnded` becomes true first. */
	async call(name: string, hasEnded: () => boolean): Promise<BackendCall | undefined> {
		await waitUntil(() => hasEnded() || this._calls.some(call => call.name === name));
		return this._calls.find(call => call.name === name);
	}
}

/** True if `text` is a complete request. Requests arrive one at a time, with a content length or chunked. */
function isCompleteRequest(text: string): boolean {
	const end = text.indexOf(headEnd);
	const length = /\r\ncontent-length: (\d+)/iv.exec(text)?.[1] ?? '0';
	const isChunked = /\r\ntransfer-encoding: chunked/iv.test(text);
	return end !== -1 && (isChunked ? text.endsWith('0\r\n\r\n') : text.length >= end + headEnd.length + Number(length));
}
