/** An HTTP/1.1 server that tracks the calls on each connection and never closes a connection with unsent bytes on a planned stop. */
import {
	type IncomingMessage, Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {type DisposableLike} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {afterPendingReads} from './after-pending-reads.ts';
import {type ListenerBudget} from './connection-budget.ts';
import {cutAnswer} from './cut-answer.ts';

/**
 * Time for which a half-closed connection keeps reading until the caller closes its side (lingering close). A caller in
 * another region closes within a round trip. For one that does not, the kernel already holds all bytes of the answers, so a
 * forced close loses nothing further.
 */
const maxLingerMilliseconds: Milliseconds = 1000;

/** Maximum time after `stopListening` until the listener is open, if it is being opened, and all waiting connections are accepted. */
const maxAcceptMilliseconds: Milliseconds = 1000;

/** Part of that time in which further connections may join those that wait. */
const maxQueueingMilliseconds: Milliseconds = 500;

/** Statuses for requests that cannot be parsed, by Node's error code; the default is 400. */
const parseErrorStatuses: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Error codes which mean that the caller has disconnected, during a call or between two calls. */
const disconnectCodes = new Set(['ECONNRESET', 'EPIPE', 'HPE_INVALID_EOF_STATE']);

/**
 * Maximum number of calls of one connection that run at the same time. It bounds the answers that wait in this process
 * behind a slow one.
 */
const maxConcurrentCalls = 8;

/** A request on a connection, and its response. */
type Exchange = {
	readonly incoming: IncomingMessage;
	readonly outgoing: ServerResponse;
	/** The call may run before the answers of the calls ahead of it are complete. */
	readonly isConcurrent: boolean;
	/** The call was passed to the handler. */
	isStarted: boolean;
	/** The kernel has accepted the whole answer, or the answer was reported as cut. */
	isSettled: boolean;
};

/** An answer whose connection was closed before the kernel had accepted all of its bytes. */
export type CutAnswer = {
	readonly incoming: IncomingMessage;
	/** Bytes of the answer that were still buffered in this process. */
	readonly bytesLeft: number;
	/** The whole answer had been written to the response; only the transfer to the caller was incomplete. */
	readonly isWhole: boolean;
	/** The side that closed the connection. */
	readonly closedBy: 'caller' | 'here';
};

function isListenerHandle(handle: unknown): handle is {listen(backlog: number): number} {
	return typeof handle === 'object' && handle !== null && 'listen' in handle && typeof handle.listen === 'function';
}

/** State of one connection. */
type Connection = {
	readonly socket: Socket;
	/**
	 * Calls whose answers are not complete, in the order of arrival; the first one is being answered. It is removed once the
	 * kernel has accepted the last byte of its answer. Those behind it are pipelined.
	 */
	readonly exchanges: Exchange[];
	/** This side is closed, or closes after its last bytes; no further call is accepted. */
	isClosing: boolean;
	/** Input is no longer used, because it could not be parsed or exceeds a bound; the connection closes after the answers in progress. */
	isInputEnded: boolean;
	/** `bytesRead` when the connection last became idle; a larger value now means that a call has begun to arrive. */
	bytesReadWhenIdle: number;
	/** Bytes that the kernel had not accepted when the connection was closed. */
	bytesLeft: number;
};

/**
 * Ends the calls behind the one that is being answered, since the connection closes before their turn. node:http emits
 * `close` only on the response that holds the socket.
 */
function abortPipelined({exchanges}: Connection): void {
	for (const {incoming, outgoing, isStarted} of exchanges.splice(1)) {
		incoming.resume();
		if (isStarted) {
			outgoing.destroy();
			outgoing.emit('close');
		}
	}
}

/** Whether the head of this answer, which has been written, tells the caller that the connection closes after it. */
function announcesClose(exchange: Exchange | undefined): boolean {
	const outgoing = exchange?.outgoing;
	return outgoing?.headersSent === true && (!outgoing.shouldKeepAlive || outgoing.getHeader('connection') === 'close');
}

/** Returns the status for a request that HTTP requires a server to reject (RFC 9112, 3.2, and RFC 9110, 10.1.1). */
function rejectionStatus({httpVersion, headers}: IncomingMessage): number | undefined {
	if (httpVersion === '1.1' && headers.host === undefined) {
		return 400;
	}

	return headers.expect === undefined || headers.expect.toLowerCase() === '100-continue' ? undefined : 417;
}

/**
 * Closes connections without truncating answers. A node:http server considers a connection idle as soon as its answer is
 * written, even while bytes of it are still buffered in the process for a slow caller; closing idle connections on a planned
 * stop would then truncate a download. Here an exchange ends when the kernel has accepted its last byte, and only a
 * connection without an exchange is idle.
 *
 * Three other ways to lose answers at a close are prevented as well:
 * - Calls of one connection are handled one after the other, so that closing the connection after one answer leaves no
 *   later call running unanswered. Only calls that `mayRunConcurrently` accepts are handled beside those ahead of them;
 *   they are aborted if the connection closes before their turn.
 * - A connection closes its own side first and keeps reading, because closing a socket with unread bytes resets the
 *   connection, and a reset discards the bytes that the kernel holds for the caller.
 * - Input that cannot be parsed closes the connection after the answers in progress; node:http would close it at once.
 */
export class GracefulServer extends Server implements DisposableLike {
	private readonly _callerConnections = new Map<Socket, Connection>();
	private readonly _handleCall: (incoming: IncomingMessage, outgoing: ServerResponse) => void;
	private readonly _mayRunConcurrently: (incoming: IncomingMessage) => boolean;
	private readonly _onCut = new Emitter<CutAnswer>();
	private _isKeepAliveDisabled = false;
	private _closesIdleConnections = false;
	private _unfinishedAnswers = 0;
	/** Connections that were accepted, also those closed at once since there were too many. */
	private _acceptedConnections = 0;
	/** Whether the kernel queues connections beyond those that already wait. */
	private _isQueueing = true;
	/** Progress of `stopListening`: not called, accepting the connections that already wait, or closed. */
	private _closing: 'none' | 'accepting' | 'closed' = 'none';

	/** Fires if an answer was cut, either because its caller disconnected or because this side closed the connection. */
	readonly onCut = this._onCut.event;

	/**
	 * `handleCall` is invoked for every call; for calls of the same connection, only after the previous answer is complete,
	 * unless `mayRunConcurrently` accepts this call and all incomplete ones ahead of it. A caller sends a call again that was
	 * behind an answer which closed the connection, so only idempotent calls may be accepted. `bounds` limits the connections.
	 */
	constructor(
		options: ServerOptions,
		handleCall: (incoming: IncomingMessage, outgoing: ServerResponse) => void,
		mayRunConcurrently: (incoming: IncomingMessage) => boolean = () => false,
		bounds?: ListenerBudget,
	) {
		// Node would answer a request without a host out of order with pipelined calls; `rejectionStatus` handles it instead.
		super({...options, requireHostHeader: false});
		this._handleCall = handleCall;
		this._mayRunConcurrently = mayRunConcurrently;
		this.on('connection', (socket: Socket) => {
			this._acceptedConnections++;
			this._trackConnection(socket);
		});
		this.on('drop', () => {
			this._acceptedConnections++;
		});
		this.on('request', (incoming: IncomingMessage, outgoing: ServerResponse) => {
			this._enqueue(incoming, outgoing);
		});
		this.on('checkExpectation', (incoming: IncomingMessage, outgoing: ServerResponse) => {
			this._enqueue(incoming, outgoing);
		});
		this.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this._handleParseError(error, socket);
		});
		bounds?.budget.watch(this, bounds, {
			onFull: socket => {
				this._endInput(socket);
			},
		});
	}

	/**
	 * Number of answers that the kernel has not completely accepted, plus connections that wait for the caller to close its side,
	 * plus one while the connections that wait at a closing listener are accepted, as their calls are not known yet.
	 */
	get unfinishedAnswers(): number {
		return this._unfinishedAnswers + (this._closing === 'accepting' ? 1 : 0);
	}

	/** Closes each connection after its current answer; an idle connection stays open for one more call. */
	disableKeepAlive(): void {
		this._isKeepAliveDisabled = true;
		for (const connection of this._callerConnections.values()) {
			this._setCloseHeader(connection);
		}
	}

	/**
	 * Closes connections once they are idle, and stops listening once pending connections are accepted, because closing the
	 * listener resets connections in the accept queue together with the calls on them. The kernel refuses later connections,
	 * which proves to callers that nothing ran.
	 */
	stopListening(): void {
		this._closeAfterLastAnswers();
		if (this._closing === 'none') {
			this._closing = 'accepting';
			this._closeOnceAccepted(performance.now() + maxAcceptMilliseconds);
		} else if (this._closing === 'closed') {
			this.close();
		}
	}

	/**
	 * Closes idle connections, now and whenever a connection becomes idle later. Also called by `close`. A connection without
	 * a call so far stays open, because its first call may be in transit.
	 */
	override closeIdleConnections(): void {
		this._closeAfterLastAnswers();
		// Connections that are accepted from here on are excluded: their first call may be unread.
		const existing = [...this._callerConnections.values()];
		afterPendingReads(() => {
			for (const connection of existing) {
				this._closeIfIdle(connection);
			}
		});
	}

	/** Destroys all connections at the end of the process, and reports each answer that is cut by it. */
	destroyConnections(): void {
		for (const connection of this._callerConnections.values()) {
			const [current] = connection.exchanges;
			if (current?.outgoing.headersSent === true && !current.outgoing.writableFinished) {
				cutAnswer(current.outgoing);
			}

			connection.socket.destroy();
			if (current !== undefined) {
				this._reportIfCut(connection, current);
			}
		}
	}

	dispose(): void {
		this.close();
		this.closeAllConnections();
		this._onCut.dispose();
	}

	/** Closes the listener after a cycle of the event loop in which no connection waited, since libuv accepts one in each cycle. */
	private _closeOnceAccepted(end: Milliseconds): void {
		if (performance.now() > end - maxAcceptMilliseconds + maxQueueingMilliseconds) {
			this._stopQueueing();
		}

		const accepted = this._acceptedConnections;
		afterPendingReads(() => {
			if ((this.listening && accepted === this._acceptedConnections) || performance.now() > end) {
				this._closing = 'closed';
				this.close();
			} else {
				this._closeOnceAccepted(end);
			}
		});
	}

	/**
	 * Tells the kernel to queue no further connections, so that the queue empties although more arrive than are accepted. Their
	 * kernels try again after a second and are refused then; a connection in the queue of a closed listener would be reset with
	 * its call.
	 */
	private _stopQueueing(): void {
		if (this._isQueueing && this.listening) {
			this._isQueueing = false;
			// Node has no public method to change the backlog of an open listener.
			const handle: unknown = Reflect.get(this, '_handle');
			if (isListenerHandle(handle)) {
				handle.listen(0);
			}
		}
	}

	/** From now on a connection closes once it is idle, so that its last answer announces the close, also while it waits. */
	private _closeAfterLastAnswers(): void {
		this._closesIdleConnections = true;
		for (const connection of this._callerConnections.values()) {
			this._setCloseHeader(connection);
		}
	}

	private _trackConnection(socket: Socket): void {
		const connection: Connection = {
			socket, exchanges: [], isClosing: false, isInputEnded: false, bytesReadWhenIdle: 0, bytesLeft: 0,
		};
		this._callerConnections.set(socket, connection);
		// Saves `writableLength`, which a destroyed socket no longer reports.
		const destroy = socket.destroy.bind(socket);
		socket.destroy = error => {
			connection.bytesLeft ||= socket.writableLength;
			return destroy(error);
		};

		// node:http calls this after an answer with `connection: close`.
		socket.destroySoon = () => {
			this._closeGracefully(connection);
		};

		socket.once('close', () => {
			this._callerConnections.delete(socket);
			abortPipelined(connection);
			if (connection.isClosing) {
				this._unfinishedAnswers--;
			}
		});
	}

	private _enqueue(incoming: IncomingMessage, outgoing: ServerResponse): void {
		const connection = this._callerConnections.get(incoming.socket);
		if (connection === undefined || connection.isClosing || connection.isInputEnded || announcesClose(connection.exchanges.at(-1))) {
			// This call arrived after the last one that the connection serves: it is dropped, so it never runs.
			incoming.resume();
			return;
		}

		const {exchanges} = connection;
		const previous = exchanges.at(-1);
		exchanges.push({
			incoming, outgoing, isConcurrent: this._mayRunConcurrently(incoming), isStarted: false, isSettled: false,
		});
		if (previous !== undefined) {
			this._removeCloseHeader(previous);
		}

		this._startExchanges(connection);
	}

	/** Starts the first call of a connection, and the calls behind it that may run beside it. */
	private _startExchanges(connection: Connection): void {
		// A copy, since a call that is refused at once may end within this loop.
		for (const [index, exchange] of connection.exchanges.slice(0, maxConcurrentCalls).entries()) {
			if (index > 0 && !exchange.isConcurrent) {
				return;
			}

			if (!exchange.isStarted) {
				this._startExchange(connection, exchange);
			}

			if (!exchange.isConcurrent) {
				return;
			}
		}
	}

	private _startExchange(connection: Connection, exchange: Exchange): void {
		exchange.isStarted = true;
		this._unfinishedAnswers++;
		exchange.outgoing.once('finish', () => {
			// A destroyed or failed socket also emits 'finish' for bytes that it discards.
			const {destroyed, errored} = connection.socket;
			exchange.isSettled ||= !destroyed && errored === null;
		});
		exchange.outgoing.once('close', () => {
			this._finishExchange(connection, exchange);
			this._reportIfCut(connection, exchange);
		});
		this._setCloseHeader(connection);
		const refusal = rejectionStatus(exchange.incoming);
		if (refusal === undefined) {
			this._invokeHandler(exchange);
			return;
		}

		exchange.incoming.resume();
		exchange.outgoing.setHeader('connection', 'close').writeHead(refusal).end();
	}

	/** An exception in the handler of a call ends that call with an answer before it is thrown on. */
	private _invokeHandler({incoming, outgoing}: Exchange): void {
		try {
			this._handleCall(incoming, outgoing);
		} catch (error) {
			incoming.resume();
			if (outgoing.headersSent) {
				cutAnswer(outgoing);
			} else {
				outgoing.setHeader('connection', 'close').writeHead(500).end();
			}

			throw error;
		}
	}

	/**
	 * Handles input that cannot be parsed, and a request head that timed out. Answers in progress are completed before the
	 * connection closes; without one, the input is refused. A parse error inside a request body terminates that call.
	 */
	private _handleParseError(error: NodeJS.ErrnoException, socket: Socket): void {
		const connection = this._callerConnections.get(socket);
		if (connection === undefined || socket.destroyed || disconnectCodes.has(error.code ?? '')) {
			socket.destroy(error);
			return;
		}

		const {isClosing, exchanges: [current]} = connection;
		const refusal = `HTTP/1.1 ${parseErrorStatuses[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\n\r\n`;
		connection.isInputEnded = true;
		if (current?.incoming.complete === false) {
			if (!current.outgoing.headersSent) {
				socket.write(refusal);
			}

			socket.destroy(error);
		} else if (current !== undefined) {
			this._setCloseHeader(connection);
		} else if (!isClosing) {
			socket.write(refusal);
			this._closeGracefully(connection);
		}
	}

	/** Closes the connection after the calls that it has accepted, since the ones behind them are dropped. */
	private _endInput(socket: Socket): void {
		const connection = this._callerConnections.get(socket);
		if (connection === undefined) {
			return;
		}

		connection.isInputEnded = true;
		if (connection.exchanges.length === 0) {
			this._closeGracefully(connection);
		} else {
			this._setCloseHeader(connection);
		}
	}

	private _finishExchange(connection: Connection, exchange: Exchange): void {
		this._unfinishedAnswers--;
		const index = connection.exchanges.indexOf(exchange);
		if (index !== -1) {
			connection.exchanges.splice(index, 1);
		}

		connection.bytesReadWhenIdle = connection.socket.bytesRead;
		if (connection.isClosing || connection.socket.destroyed) {
			return;
		}

		if (connection.exchanges.length > 0) {
			this._setCloseHeader(connection);
			this._startExchanges(connection);
		} else if (connection.isInputEnded) {
			this._closeGracefully(connection);
		} else if (this._closesIdleConnections) {
			afterPendingReads(() => {
				this._closeIfIdle(connection);
			});
		}
	}

	private _closeIfIdle(connection: Connection): void {
		const {exchanges, bytesReadWhenIdle, socket} = connection;
		if (exchanges.length === 0 && bytesReadWhenIdle > 0 && socket.bytesRead === bytesReadWhenIdle) {
			this._closeGracefully(connection);
		}
	}

	/**
	 * Adds `connection: close` to the last answer of a connection, if its head is not written yet. An answer that waits behind
	 * another one gets the header only when it is the first: it may wait for long, and a call that arrives after a written
	 * `connection: close` is dropped. While idle connections are closed, the header is added at once, since the connection
	 * closes after this answer in any case.
	 */
	private _setCloseHeader({exchanges, isInputEnded}: Connection): void {
		const last = exchanges.at(-1);
		const isLastCall = isInputEnded || (this._isKeepAliveDisabled && (exchanges.length === 1 || this._closesIdleConnections));
		if (isLastCall && last !== undefined && !last.outgoing.headersSent) {
			last.outgoing.setHeader('connection', 'close');
		}
	}

	/** Removes `connection: close` from an answer, because a pipelined call behind it will be answered as well. */
	private _removeCloseHeader({outgoing}: Exchange): void {
		if (this._isKeepAliveDisabled && !outgoing.headersSent) {
			outgoing.removeHeader('connection');
		}
	}

	/** Closes this side after all pending bytes, and keeps reading until the caller closes its side or the linger time is over. */
	private _closeGracefully(connection: Connection): void {
		const {socket} = connection;
		if (connection.isClosing || socket.destroyed) {
			return;
		}

		connection.isClosing = true;
		abortPipelined(connection);
		this._unfinishedAnswers++;
		socket.end(() => {
			const timer = setTimeout(() => {
				socket.destroy();
			}, maxLingerMilliseconds);
			socket.once('close', () => {
				clearTimeout(timer);
			});
		});
	}

	private _reportIfCut({socket, bytesLeft}: Connection, exchange: Exchange): void {
		if (exchange.isSettled) {
			return;
		}

		exchange.isSettled = true;
		this._onCut.fire({
			incoming: exchange.incoming,
			bytesLeft,
			isWhole: exchange.outgoing.writableEnded,
			closedBy: socket.readableEnded || socket.errored !== null ? 'caller' : 'here',
		});
	}
}
