/** Bounds what the connections of all listeners of this process hold before their calls are handled. */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type DisposableLike} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Instant} from '../../common/model/units.ts';
import {type RoomReason} from '../metrics/types.ts';
import {afterPendingReads} from './after-pending-reads.ts';
import {type ConnectionLimits} from './connection-limits.ts';

/** A connection that is closed so that others have room; for `waiting-calls`, after the answers of the calls that it accepted. */
export type ClosedForRoom = {readonly listener: string; readonly reason: RoomReason};

/** Parts of node:http that are not in its types. */
type HttpSocket = Socket & {
	/** Node calls it after each read and write, and for reads also while the parser reads the socket without `data` events. */
	_unrefTimer?: () => void;
	readonly parser?: {onIncoming(incoming: IncomingMessage, shouldKeepAlive: boolean): number};
};

/** Result of `onIncoming` that makes the parser discard the rest of the bytes that it was given. */
const stopParsing = 2;

/** Heap that a call takes with its request, its response and its attempts, and that node:http takes for each field of the head beside its characters. */
const heapBytesPerCall = 8000;
const heapBytesPerField = 48;

/** Heap that the unread part of a body in small chunks takes: Node.js reads one segment of the connection, and each chunk is an object. */
const heapBytesPerChunkedBody = 524_288;

/** When the incomplete heads exceed their bound, they are reduced to this share of it, so that the largest ones are seldom looked for. */
const reducedShare = 3 / 4;

const requestTimeoutAnswer = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** The bounds on the connections of one listener. */
export type ListenerBudget = {
	readonly budget: ConnectionBudget;
	/** Name in logs and metrics. */
	readonly name: string;
	/** Maximum number of open connections to this listener. */
	readonly maxConnections: number;
};

/** Notifications to the server of a listener. */
export type ListenerHooks = {
	/** Calls of this connection are dropped from now on; it must close after the answers of those before. */
	readonly onFull: (socket: Socket) => void;
};

type Connection = {
	readonly socket: HttpSocket;
	readonly listener: Listener;
	/** `bytesRead` at the latest read. */
	bytesRead: number;
	/** `bytesRead` when the latest head or body was complete. */
	bytesReadAtHead: number;
	/** Bytes of an incomplete head, counted while no call is in progress. */
	headBytes: number;
	/** A head was completed by the bytes that are being parsed. */
	hasNewHead: boolean;
	/** The latest call, while its body is incomplete. */
	incompleteCall: IncomingMessage | undefined;
	/** Calls whose answers are not complete. */
	callsInProgress: number;
	/** Heap taken by the calls in progress behind the first one. */
	waitingBytes: number;
	isFull: boolean;
	/** It was chosen to be closed. */
	isClosing: boolean;
	idleSince: Instant;
};

type Listener = {
	readonly bounds: ListenerBudget;
	readonly hooks: ListenerHooks;
	connections: number;
	/** Connections without a call in progress; the one that has been so for longest is first. */
	readonly idle: Set<Connection>;
};

function heapBytesOf({rawHeaders, headers, url = ''}: IncomingMessage): number {
	const bodyBytes = headers['transfer-encoding'] === undefined ? 0 : heapBytesPerChunkedBody;
	let bytes = heapBytesPerCall + bodyBytes + url.length + (rawHeaders.length * heapBytesPerField);
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes;
}

/**
 * Shared by all listeners of a process. A connection holds descriptors and memory before its call is known: while it is idle,
 * while the head of its next call is incomplete, and with calls that wait behind an unfinished answer (pipelining). If a bound
 * is exceeded, connections without a call in progress are closed: those with the largest incomplete heads, or those that
 * have been idle for longest. Waiting calls beyond the bound are dropped unread, and their connection closes after the answers
 * before them, which tells callers to send these calls again. A call in progress is never cut.
 */
export class ConnectionBudget implements DisposableLike {
	private readonly _limits: ConnectionLimits;
	private readonly _listeners: Listener[] = [];
	private readonly _onClosedForRoom = new Emitter<ClosedForRoom>();
	private _connections = 0;
	private _closingConnections = 0;
	private _headBytes = 0;
	private _waitingBytes = 0;

	/** Fires if a connection is closed, or refused, so that others have room. */
	readonly onClosedForRoom = this._onClosedForRoom.event;

	constructor(limits: ConnectionLimits) {
		this._limits = limits;
	}

	/** Applies the bounds to the connections that the server accepts from now on. */
	watch(server: Server, bounds: ListenerBudget, hooks: ListenerHooks): void {
		const listener: Listener = {
			bounds, hooks, connections: 0, idle: new Set(),
		};
		this._listeners.push(listener);
		const bySocket = new WeakMap<Socket, Connection>();
		server.on('connection', (socket: HttpSocket) => {
			const connection = this._accept(listener, socket);
			if (connection !== undefined) {
				bySocket.set(socket, connection);
			}
		});
		const onCall = (incoming: IncomingMessage, outgoing: ServerResponse) => {
			const connection = bySocket.get(incoming.socket);
			if (connection !== undefined) {
				this._beginCall(connection, incoming, outgoing);
			}
		};

		server.prependListener('request', onCall);
		server.prependListener('checkExpectation', onCall);
	}

	dispose(): void {
		this._onClosedForRoom.dispose();
	}

	private _accept(listener: Listener, socket: HttpSocket): Connection | undefined {
		const isListenerFull = listener.connections >= listener.bounds.maxConnections;
		if ((isListenerFull || this._connections >= this._limits.connections) && !this._makeRoom(isListenerFull ? [listener] : this._listeners)) {
			this._onClosedForRoom.fire({listener: listener.bounds.name, reason: 'connections'});
			socket.destroy();
			return undefined;
		}

		const connection: Connection = {
			socket,
			listener,
			bytesRead: 0,
			bytesReadAtHead: 0,
			headBytes: 0,
			hasNewHead: false,
			incompleteCall: undefined,
			callsInProgress: 0,
			waitingBytes: 0,
			isFull: false,
			isClosing: false,
			idleSince: performance.now(),
		};
		this._connections++;
		listener.connections++;
		listener.idle.add(connection);
		this._watchReads(connection);
		this._watchParser(connection);
		socket.once('close', () => {
			this._release(connection);
		});
		return connection;
	}

	/** A listener for `data` would make node:http pass all bytes through JavaScript, which costs every call. */
	private _watchReads(connection: Connection): void {
		const {socket} = connection;
		const unrefTimer = socket._unrefTimer?.bind(socket);
		if (unrefTimer === undefined) {
			// A version of Node.js without it: incomplete heads are bounded one by one only.
			return;
		}

		socket._unrefTimer = () => {
			unrefTimer();
			if (socket.bytesRead !== connection.bytesRead) {
				this._recordRead(connection);
			}
		};
	}

	private _watchParser(connection: Connection): void {
		const {parser} = connection.socket;
		if (parser === undefined) {
			return;
		}

		const onIncoming = parser.onIncoming.bind(parser);
		parser.onIncoming = (incoming, shouldKeepAlive) => {
			connection.hasNewHead = true;
			if (this._admitsCall(connection, incoming)) {
				return onIncoming(incoming, shouldKeepAlive);
			}

			// Otherwise node:http would pass the rest of the bytes to the handlers for upgrades.
			Object.assign(incoming, {upgrade: false});
			return stopParsing;
		};
	}

	private _admitsCall(connection: Connection, incoming: IncomingMessage): boolean {
		const {callsInProgress, isFull, waitingBytes} = connection;
		if (isFull || callsInProgress === 0) {
			return !isFull;
		}

		const bytes = heapBytesOf(incoming);
		if (callsInProgress <= this._limits.waitingCallsPerConnection && this._waitingBytes + bytes <= this._limits.waitingBytes) {
			connection.waitingBytes = waitingBytes + bytes;
			this._waitingBytes += bytes;
			return true;
		}

		connection.isFull = true;
		this._onClosedForRoom.fire({listener: connection.listener.bounds.name, reason: 'waiting-calls'});
		connection.listener.hooks.onFull(connection.socket);
		return false;
	}

	private _beginCall(connection: Connection, incoming: IncomingMessage, outgoing: ServerResponse): void {
		connection.callsInProgress++;
		connection.incompleteCall = incoming;
		this._setHeadBytes(connection, 0);
		connection.listener.idle.delete(connection);
		const bytes = connection.callsInProgress > 1 ? heapBytesOf(incoming) : 0;
		outgoing.once('close', () => {
			this._endCall(connection, bytes);
		});
	}

	private _endCall(connection: Connection, bytes: number): void {
		const released = Math.min(bytes, connection.waitingBytes);
		connection.waitingBytes -= released;
		this._waitingBytes -= released;
		connection.callsInProgress--;
		if (connection.callsInProgress === 0 && !connection.socket.destroyed) {
			connection.idleSince = performance.now();
			if (!connection.isClosing) {
				connection.listener.idle.add(connection);
			}

			this._setHeadBytes(connection, connection.bytesRead - connection.bytesReadAtHead);
		}
	}

	private _recordRead(connection: Connection): void {
		const {socket: {bytesRead}, incompleteCall, hasNewHead} = connection;
		connection.bytesRead = bytesRead;
		connection.hasNewHead = false;
		if (hasNewHead || incompleteCall !== undefined) {
			connection.bytesReadAtHead = bytesRead;
			connection.incompleteCall = incompleteCall?.complete === false ? incompleteCall : undefined;
			return;
		}

		if (connection.callsInProgress === 0) {
			this._setHeadBytes(connection, bytesRead - connection.bytesReadAtHead);
			if (this._headBytes > this._limits.headBytes) {
				this._reduceHeads();
			}
		}
	}

	private _setHeadBytes(connection: Connection, bytes: number): void {
		this._headBytes += bytes - connection.headBytes;
		connection.headBytes = bytes;
	}

	private _reduceHeads(): void {
		const incomplete = this._listeners.flatMap(({idle}) => [...idle]).filter(({headBytes}) => headBytes > 0);
		incomplete.sort((first, second) => second.headBytes - first.headBytes || first.idleSince - second.idleSince);
		for (const connection of incomplete) {
			if (this._headBytes <= this._limits.headBytes * reducedShare) {
				return;
			}

			this._close(connection, 'heads');
		}
	}

	/** Closes the connection that has been without a call for longest; returns false if each one has a call in progress. */
	private _makeRoom(listeners: readonly Listener[]): boolean {
		let longest: Connection | undefined;
		for (const {idle} of listeners) {
			const [first] = idle;
			if (first !== undefined && (longest === undefined || first.idleSince < longest.idleSince)) {
				longest = first;
			}
		}

		if (longest === undefined) {
			return false;
		}

		this._close(longest, 'connections');
		return true;
	}

	private _close(connection: Connection, reason: RoomReason): void {
		const {socket, listener} = connection;
		connection.isClosing = true;
		listener.idle.delete(connection);
		listener.connections--;
		this._connections--;
		this._closingConnections++;
		if (connection.headBytes > 0) {
			this._setHeadBytes(connection, 0);
			socket.write(requestTimeoutAnswer);
			this._destroy(connection, reason);
		} else if (this._closingConnections > this._limits.closingConnections) {
			this._destroy(connection, reason);
		} else {
			const {bytesRead} = socket;
			afterPendingReads(() => {
				if (connection.callsInProgress > 0 || socket.bytesRead !== bytesRead) {
					this._keep(connection);
				} else {
					this._destroy(connection, reason);
				}
			});
		}
	}

	private _destroy({socket, listener}: Connection, reason: RoomReason): void {
		if (!socket.destroyed) {
			this._onClosedForRoom.fire({listener: listener.bounds.name, reason});
			socket.destroy();
		}
	}

	/** Leaves a connection open that was chosen to be closed, because a call has begun to arrive on it. */
	private _keep(connection: Connection): void {
		const {socket, listener} = connection;
		if (socket.destroyed) {
			return;
		}

		connection.isClosing = false;
		this._closingConnections--;
		this._connections++;
		listener.connections++;
		if (connection.callsInProgress === 0) {
			listener.idle.add(connection);
		}
	}

	private _release(connection: Connection): void {
		const {listener, isClosing, waitingBytes} = connection;
		this._setHeadBytes(connection, 0);
		this._waitingBytes -= waitingBytes;
		connection.waitingBytes = 0;
		listener.idle.delete(connection);
		if (isClosing) {
			this._closingConnections--;
		} else {
			this._connections--;
			listener.connections--;
		}
	}
}
