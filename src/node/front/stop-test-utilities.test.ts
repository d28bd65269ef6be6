/** What tests of a planned stop share: a caller and a backend server of raw bytes. */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {connect, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {Disposable, type DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {answerBody, headEnd, readAnswers} from './answer-reader.test.ts';
import {startRawServer} from './test-utilities.test.ts';

/** Pause between two looks at something that tells no event. */
const pollMilliseconds: Milliseconds = 2;

/** Waits until it holds. Nothing is asserted on the time; whoever waits is bounded by the end of the VM. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await delay(pollMilliseconds);
	}
}

/** Both ends of each connection of this process, so that a test sees when the other end has taken its bytes in. */
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

	/** The other end of a connection, once it is accepted. */
	findPeer(socket: Socket): Socket | undefined {
		if (socket.localPort === undefined || socket.remotePort === undefined) {
			return undefined;
		}

		return [...this._sockets].find(other => other.remotePort === socket.localPort && other.localPort === socket.remotePort);
	}

	/** The other end has read all that was written here, or one end has gone. */
	async waitUntilRead(socket: Socket, knownPeer?: Socket): Promise<void> {
		let peer = knownPeer;
		await waitUntil(() => {
			peer ??= this.findPeer(socket);
			return socket.destroyed || (peer !== undefined && (peer.destroyed || peer.bytesRead >= socket.bytesWritten));
		});
	}
}

/** A caller that sends what it likes, and reads only when told to if it is slow. */
export class RawCaller extends Disposable {
	/** How the connection ended. */
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

	/** The connection is open, and the VM knows it. */
	async waitUntilAccepted(): Promise<this> {
		await waitUntil(() => {
			this._peer = this._tracker.findPeer(this._socket);
			return this.end !== 'open' || this._peer !== undefined;
		});
		return this;
	}

	/** Writes, and goes on once the system has the bytes or the connection has gone. */
	async send(bytes: string | Buffer): Promise<void> {
		return new Promise(resolve => {
			this._socket.write(bytes, () => {
				resolve();
			});
		});
	}

	/** Writes, and goes on once the VM has taken the bytes in. */
	async sendAndWaitUntilRead(bytes: string | Buffer): Promise<void> {
		await this.send(bytes);
		await this._tracker.waitUntilRead(this._socket, this._peer);
	}

	/** Waits for so many answers, interim ones included, or for the end of the connection. */
	async waitForAnswers(count: number): Promise<void> {
		let seenChunks = 0;
		await waitUntil(() => {
			const hasUpdate = this._received.length > seenChunks;
			seenChunks = this._received.length;
			return this.end !== 'open' || (hasUpdate && this.answers.filter(answer => !answer.includes('cut')).length >= count);
		});
	}

	/** Waits until the VM has written something to this caller, which need not have read it. */
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

/** A call at the backend server; the test decides what is answered and when. */
export class BackendCall {
	readonly name: string;
	private readonly _socket: Socket;
	private readonly _tracker: ConnectionTracker;

	constructor(name: string, socket: Socket, tracker: ConnectionTracker) {
		this.name = name;
		this._socket = socket;
		this._tracker = tracker;
	}

	/** Writes, and goes on once the VM has taken the bytes in. */
	async write(text: string): Promise<void> {
		this._socket.write(text);
		await this._tracker.waitUntilRead(this._socket);
	}

	/** Head of an answer in both dialects; by itself it tells no length. */
	head(...headers: string[]): string {
		return ['HTTP/1.1 200 OK', ...backendHeaders, `request-id: ${this.name}`, 'response-signature: s', ...headers].join('\r\n') + headEnd;
	}

	async answer(bytes = 0, ...headers: string[]): Promise<void> {
		const body = answerBody(this.name, bytes);
		this._socket.write(this.head(`content-length: ${body.length}`, ...headers) + body);
	}

	/** Ends the connection, and with it an answer that tells no length. */
	end(text: string): void {
		this._socket.end(text);
	}
}

/** What the platform's and jaydale's own dialect ask of each answer. */
const backendHeaders = ['server-load: 0,0,6,100', 'instance-id: i-1', 'jaydale-load: in-flight=0, queued=0, slots=6, instance=i-1'];

/** A backend server of raw bytes that notes each call that reached it whole. */
export class RawBackend {
	/** Names of calls, in the order in which they came. */
	readonly ran: string[] = [];
	private readonly _calls: BackendCall[] = [];
	private _openConnections = 0;

	/** While one is open, a call may still be on its way. */
	get openConnections(): number {
		return this._openConnections;
	}

	/** Starts to listen on loopback; resolves with the port. */
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

	/** The call of this name, once it is here; undefined if `isOver` comes first. */
	async call(name: string, hasEnded: () => boolean): Promise<BackendCall | undefined> {
		await waitUntil(() => hasEnded() || this._calls.some(call => call.name === name));
		return this._calls.find(call => call.name === name);
	}
}

/** Requests come one by one here; a body has a length or chunks. */
function isCompleteRequest(text: string): boolean {
	const end = text.indexOf(headEnd);
	const length = /\r\ncontent-length: (\d+)/iv.exec(text)?.[1] ?? '0';
	const isChunked = /\r\ntransfer-encoding: chunked/iv.test(text);
	return end !== -1 && (isChunked ? text.endsWith('0\r\n\r\n') : text.length >= end + headEnd.length + Number(length));
}
