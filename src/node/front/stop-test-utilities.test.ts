/** What tests of a planned stop share: a caller and a backend server of raw bytes. */
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {connect, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {Disposable, type DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {answerTo, headEnd, readAnswers} from './answer-reader.test.ts';
import {startRaw} from './test-utilities.test.ts';

/** Pause between two looks at something that tells no event. */
const lookAgain: Milliseconds = 2;

/** Waits until it holds. Nothing is asserted on the time; whoever waits is bounded by the end of the VM. */
export async function holds(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await delay(lookAgain);
	}
}

/** Both ends of each connection of this process, so that a test sees when the other end has taken its bytes in. */
export class ConnectionWatch extends Disposable {
	private readonly _sockets = new Set<Socket>();

	constructor() {
		super();
		const notice = (message: unknown) => {
			if (typeof message === 'object' && message !== null && 'socket' in message && message.socket instanceof Socket) {
				this._sockets.add(message.socket);
			}
		};

		for (const channel of ['net.server.socket', 'net.client.socket']) {
			subscribe(channel, notice);
			this._register(toDisposable(() => {
				unsubscribe(channel, notice);
			}));
		}
	}

	/** The other end of a connection, once it is accepted. */
	peerOf(socket: Socket): Socket | undefined {
		if (socket.localPort === undefined || socket.remotePort === undefined) {
			return undefined;
		}

		return [...this._sockets].find(other => other.remotePort === socket.localPort && other.localPort === socket.remotePort);
	}

	/** The other end has read all that was written here, or one end has gone. */
	async takenIn(socket: Socket, known?: Socket): Promise<void> {
		let peer = known;
		await holds(() => {
			peer ??= this.peerOf(socket);
			return socket.destroyed || (peer !== undefined && (peer.destroyed || peer.bytesRead >= socket.bytesWritten));
		});
	}
}

/** A caller that sends what it likes, and reads only when told to if it is slow. */
export class RawCaller extends Disposable {
	/** How the connection ended. */
	end: 'open' | 'closed' | 'reset' | 'refused' = 'open';
	private readonly _socket: Socket;
	private readonly _watch: ConnectionWatch;
	private readonly _received: Buffer[] = [];
	private _peer: Socket | undefined;

	constructor(port: number, watch: ConnectionWatch) {
		super();
		this._watch = watch;
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
	async opened(): Promise<this> {
		await holds(() => {
			this._peer = this._watch.peerOf(this._socket);
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
	async sendIn(bytes: string | Buffer): Promise<void> {
		await this.send(bytes);
		await this._watch.takenIn(this._socket, this._peer);
	}

	/** Waits for so many answers, interim ones included, or for the end of the connection. */
	async hasAnswers(count: number): Promise<void> {
		let seen = 0;
		await holds(() => {
			const hasUpdate = this._received.length > seen;
			seen = this._received.length;
			return this.end !== 'open' || (hasUpdate && this.answers.filter(answer => !answer.includes('cut')).length >= count);
		});
	}

	/** Waits until the VM has written something to this caller, which need not have read it. */
	async isAnswered(): Promise<void> {
		await holds(() => this.end !== 'open' || this._peer === undefined || this._peer.destroyed || this._peer.bytesWritten > 0);
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
	private readonly _watch: ConnectionWatch;

	constructor(name: string, socket: Socket, watch: ConnectionWatch) {
		this.name = name;
		this._socket = socket;
		this._watch = watch;
	}

	/** Writes, and goes on once the VM has taken the bytes in. */
	async write(text: string): Promise<void> {
		this._socket.write(text);
		await this._watch.takenIn(this._socket);
	}

	/** Head of an answer in both dialects; by itself it tells no length. */
	head(...headers: string[]): string {
		return ['HTTP/1.1 200 OK', ...backendHeaders, `request-id: ${this.name}`, 'response-signature: s', ...headers].join('\r\n') + headEnd;
	}

	async answer(bytes = 0, ...headers: string[]): Promise<void> {
		const body = answerTo(this.name, bytes);
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
	async start(owned: DisposableStore, watch: ConnectionWatch): Promise<number> {
		return startRaw(owned, socket => {
			this._openConnections++;
			socket.on('close', () => {
				this._openConnections--;
			});
			let text = '';
			socket.on('data', (chunk: Buffer) => {
				text += chunk.toString('latin1');
				const path = /^[A-Z]+ (\S+) HTTP\/1\.1\r\n/v.exec(text)?.[1];
				if (path === undefined || !isWholeRequest(text)) {
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
				this._calls.push(new BackendCall(name, socket, watch));
			});
		});
	}

	/** The call of this name, once it is here; undefined if `isOver` comes first. */
	async call(name: string, isOver: () => boolean): Promise<BackendCall | undefined> {
		await holds(() => isOver() || this._calls.some(call => call.name === name));
		return this._calls.find(call => call.name === name);
	}
}

/** Requests come one by one here; a body has a length or chunks. */
function isWholeRequest(text: string): boolean {
	const end = text.indexOf(headEnd);
	const length = /\r\ncontent-length: (\d+)/iv.exec(text)?.[1] ?? '0';
	const isChunked = /\r\ntransfer-encoding: chunked/iv.test(text);
	return end !== -1 && (isChunked ? text.endsWith('0\r\n\r\n') : text.length >= end + headEnd.length + Number(length));
}
