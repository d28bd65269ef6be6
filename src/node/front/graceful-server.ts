/** A listener of HTTP/1.1 that knows of each connection what is under way on it, and ends none that still owes bytes. */
import {
	type IncomingMessage, Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {type DisposableLike} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/**
 * How long a connection that has ended its own side goes on reading for the caller's end. A caller in another region
 * ends within a round trip; one that does not has what the system holds for it, and loses no more when it is closed.
 */
const longestLinger: Milliseconds = 1000;

/** Answers to bytes that cannot be read as a call, by node's code of the error; all others are bad requests. */
const unreadableStatuses: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/** Errors that say that the caller has gone, in the middle of a call or between two. */
const goneCodes = new Set(['ECONNRESET', 'EPIPE', 'HPE_INVALID_EOF_STATE']);

/** A call on a connection and its answer. */
type Exchange = {
	readonly incoming: IncomingMessage;
	readonly outgoing: ServerResponse;
	/** The system has the whole answer, or it was told that it never will. */
	isOver: boolean;
};

/** An answer whose connection was closed before the system had all of its bytes. */
export type CutAnswer = {
	readonly incoming: IncomingMessage;
	/** Bytes of the answer that were still in this process. */
	readonly bytesLeft: number;
	/** All of the answer had been written: nothing was missing but the caller's reading. */
	readonly isWhole: boolean;
	/** Who closed the connection: the caller's end, or this one. */
	readonly closedBy: 'caller' | 'here';
};

/** What a listener knows of one connection. */
type Connection = {
	readonly socket: Socket;
	/** The call that is being answered; it is over when the system has the answer's last byte. */
	current: Exchange | undefined;
	/** Calls that came before the answer to the one in front of them was out. */
	readonly waiting: Exchange[];
	/** This side has ended, or ends as soon as its last bytes are out: no further call is taken. */
	isEnding: boolean;
	/** What came last cannot be read: it ends after the answers under way. */
	isUnreadable: boolean;
	/** Bytes that had come in when the connection was last at rest; more of them are the beginning of a call. */
	bytesAtRest: number;
	/** Bytes that the system had not taken when the connection was closed. */
	bytesLeft: number;
};

/**
 * Runs a continuation once this thread has read what the system holds for it now. Guards a call that has just come in
 * against the end of its connection, which looks idle until the call is read: an immediate runs after the reading that
 * is under way, and one from there after the next.
 */
function afterReading(continuation: () => void): void {
	setImmediate(() => {
		setImmediate(continuation);
	});
}

/** Status for a call that HTTP itself forbids to serve (RFC 9112, 3.2, and RFC 9110, 10.1.1). */
function refusalOf({httpVersion, headers}: IncomingMessage): number | undefined {
	if (httpVersion === '1.1' && headers.host === undefined) {
		return 400;
	}

	return headers.expect === undefined || headers.expect.toLowerCase() === '100-continue' ? undefined : 417;
}

/**
 * Guards answers against the end of their connection. A node:http server takes a connection for idle as soon as its
 * answer is written, though bytes of it wait in the process for a caller that reads slowly: closing what is idle then
 * cuts a download in the middle, with no fault but a planned stop. Here an exchange is over when the system has its last
 * byte, and only a connection without one is idle.
 *
 * Three more ways in which an end takes answers with it are closed. Calls of one connection are handed on one after the
 * other, so that the end of an earlier answer's connection leaves no later call running unanswered. A connection ends its
 * own side first and reads on, since closing one with unread bytes resets it, and a reset throws away what the system
 * holds for the caller. Bytes that are no call end a connection after its answers: node by itself closes it at once.
 */
export class GracefulServer extends Server implements DisposableLike {
	private readonly _callerConnections = new Map<Socket, Connection>();
	private readonly _take: (incoming: IncomingMessage, outgoing: ServerResponse) => void;
	private readonly _onCut = new Emitter<CutAnswer>();
	private _isLeaving = false;
	private _endsIdle = false;
	private _unfinished = 0;

	/** An answer was cut. Each is somebody's loss: a caller's that has gone, or a fault of this side. */
	readonly onCut = this._onCut.event;

	/** `take` is handed each call, of one connection at a time. */
	constructor(options: ServerOptions, take: (incoming: IncomingMessage, outgoing: ServerResponse) => void) {
		// Node's own answer to a call without a host goes past the order of calls; it is given here.
		super({...options, requireHostHeader: false});
		this._take = take;
		this.on('connection', (socket: Socket) => {
			this._open(socket);
		});
		this.on('request', (incoming: IncomingMessage, outgoing: ServerResponse) => {
			this._arrive({incoming, outgoing, isOver: false});
		});
		this.on('checkExpectation', (incoming: IncomingMessage, outgoing: ServerResponse) => {
			this._arrive({incoming, outgoing, isOver: false});
		});
		this.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
			this._takeUnreadable(error, socket);
		});
	}

	/** Answers that the system does not have wholly yet, and connections whose end the caller has not confirmed. */
	get unfinishedAnswers(): number {
		return this._unfinished;
	}

	/** From now on each connection ends after its answer; one that is idle stays for its next call. */
	leave(): void {
		this._isLeaving = true;
		for (const connection of this._callerConnections.values()) {
			this._announceEnd(connection);
		}
	}

	/**
	 * Takes no new connections once those that have come are accepted: closing resets what the system still holds for this
	 * thread to accept, with the calls on it. Callers that come later are refused by the system, which is proof enough.
	 */
	stopListening(): void {
		afterReading(() => {
			this.close();
		});
	}

	/**
	 * Ends the connections on which nothing is under way, now and whenever one comes to rest. `close` does so too. One that
	 * has carried no call yet was opened for one, which may be on its way: it stays for that.
	 */
	override closeIdleConnections(): void {
		this._endsIdle = true;
		// One that is accepted meanwhile may have its first call with it, unread.
		const known = [...this._callerConnections.values()];
		afterReading(() => {
			for (const connection of known) {
				this._endIfIdle(connection);
			}
		});
	}

	/** The process ends: closes all connections and tells of each answer that this cuts. */
	breakOff(): void {
		for (const connection of this._callerConnections.values()) {
			connection.socket.destroy();
			if (connection.current !== undefined) {
				this._tellIfCut(connection, connection.current);
			}
		}
	}

	dispose(): void {
		this.close();
		this.closeAllConnections();
		this._onCut.dispose();
	}

	private _open(socket: Socket): void {
		const connection: Connection = {
			socket, current: undefined, waiting: [], isEnding: false, isUnreadable: false, bytesAtRest: 0, bytesLeft: 0,
		};
		this._callerConnections.set(socket, connection);
		// A closed socket forgets what it still had to write.
		const destroy = socket.destroy.bind(socket);
		socket.destroy = error => {
			connection.bytesLeft ||= socket.writableLength;
			return destroy(error);
		};

		// node:http calls this after an answer that ends its connection.
		socket.destroySoon = () => {
			this._end(connection);
		};

		socket.once('close', () => {
			this._callerConnections.delete(socket);
			if (connection.isEnding) {
				this._unfinished--;
			}
		});
	}

	private _arrive(exchange: Exchange): void {
		const connection = this._callerConnections.get(exchange.incoming.socket);
		if (connection === undefined || connection.isEnding || connection.isUnreadable) {
			// Behind the last answer of this connection: never taken, so never run.
			exchange.incoming.resume();
			return;
		}

		if (connection.current === undefined) {
			this._begin(connection, exchange);
			return;
		}

		connection.waiting.push(exchange);
		this._withdrawEnd(connection.current);
	}

	private _begin(connection: Connection, exchange: Exchange): void {
		connection.current = exchange;
		this._unfinished++;
		exchange.outgoing.once('finish', () => {
			// A socket that was closed or has failed says so of the bytes that it drops, too.
			const {destroyed, errored} = connection.socket;
			exchange.isOver ||= !destroyed && errored === null;
		});
		exchange.outgoing.once('close', () => {
			this._finish(connection);
			this._tellIfCut(connection, exchange);
		});
		this._announceEnd(connection);
		const refusal = refusalOf(exchange.incoming);
		if (refusal === undefined) {
			this._take(exchange.incoming, exchange.outgoing);
			return;
		}

		exchange.incoming.resume();
		exchange.outgoing.writeHead(refusal, {connection: 'close'}).end();
	}

	/**
	 * Bytes have come that are no call, or a head has not become whole in time. The answers in front of them go out first;
	 * where there is none, they are refused. In the middle of a call's body they end that call.
	 */
	private _takeUnreadable(error: NodeJS.ErrnoException, socket: Socket): void {
		const connection = this._callerConnections.get(socket);
		if (connection === undefined || socket.destroyed || goneCodes.has(error.code ?? '')) {
			socket.destroy(error);
			return;
		}

		const {current, isEnding} = connection;
		const refusal = `HTTP/1.1 ${unreadableStatuses[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\n\r\n`;
		connection.isUnreadable = true;
		if (current?.incoming.complete === false) {
			if (!current.outgoing.headersSent) {
				socket.write(refusal);
			}

			socket.destroy(error);
		} else if (current !== undefined) {
			this._announceEnd(connection);
		} else if (!isEnding) {
			socket.write(refusal);
			this._end(connection);
		}
	}

	private _finish(connection: Connection): void {
		this._unfinished--;
		connection.current = undefined;
		connection.bytesAtRest = connection.socket.bytesRead;
		if (connection.isEnding || connection.socket.destroyed) {
			return;
		}

		const next = connection.waiting.shift();
		if (next !== undefined) {
			this._begin(connection, next);
		} else if (connection.isUnreadable) {
			this._end(connection);
		} else if (this._endsIdle) {
			afterReading(() => {
				this._endIfIdle(connection);
			});
		}
	}

	private _endIfIdle(connection: Connection): void {
		const {current, bytesAtRest, socket} = connection;
		if (current === undefined && bytesAtRest > 0 && socket.bytesRead === bytesAtRest) {
			this._end(connection);
		}
	}

	/** The last answer of a connection says so, while its head is still here. */
	private _announceEnd({current, waiting, isUnreadable}: Connection): void {
		if ((this._isLeaving || isUnreadable) && current !== undefined && waiting.length === 0 && !current.outgoing.headersSent) {
			current.outgoing.setHeader('connection', 'close');
		}
	}

	/** Another call has come behind this one, and is answered too. */
	private _withdrawEnd({outgoing}: Exchange): void {
		if (this._isLeaving && !outgoing.headersSent) {
			outgoing.removeHeader('connection');
		}
	}

	/** Ends this side after the bytes that it owes, and reads on until the caller ends too. */
	private _end(connection: Connection): void {
		const {socket} = connection;
		if (connection.isEnding || socket.destroyed) {
			return;
		}

		connection.isEnding = true;
		this._unfinished++;
		socket.end(() => {
			const timer = setTimeout(() => {
				socket.destroy();
			}, longestLinger);
			socket.once('close', () => {
				clearTimeout(timer);
			});
		});
	}

	private _tellIfCut({socket, bytesLeft}: Connection, exchange: Exchange): void {
		if (exchange.isOver) {
			return;
		}

		exchange.isOver = true;
		this._onCut.fire({
			incoming: exchange.incoming,
			bytesLeft,
			isWhole: exchange.outgoing.writableEnded,
			closedBy: socket.readableEnded || socket.errored !== null ? 'caller' : 'here',
		});
	}
}
