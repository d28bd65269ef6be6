/**
 * Stand-in for an upstream that tells no load: it runs `slots` requests, queues a few more and rejects the others. Its health
 * path waits for a slot or is rejected in the same way. It serves one request at a time on a connection.
 */
import {createServer} from 'node:net';

/** Idle connections are closed after this time; answers state it in whole seconds. */
const idleMs = 3500;
const keepAlive = 'Keep-Alive: timeout=3\r\n';

const reject = 'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n';

/** Splits the bytes of a connection into requests with a length or without a body. */
class RequestReader {
	constructor(onRequest) {
		this._text = Buffer.alloc(0);
		this._onRequest = onRequest;
	}

	add(chunk) {
		this._text = Buffer.concat([this._text, chunk]);
		for (;;) {
			const end = this._text.indexOf('\r\n\r\n');
			if (end === -1) {
				return;
			}

			const [first, ...lines] = this._text.subarray(0, end).toString('latin1').split('\r\n');
			const headers = new Map(lines.map(line => {
				const colon = line.indexOf(':');
				return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
			}));
			const length = Number(headers.get('content-length') ?? 0);
			if (this._text.length < end + 4 + length) {
				return;
			}

			this._text = this._text.subarray(end + 4 + length);
			const [method, path] = first.split(' ');
			this._onRequest({method, path, headers});
		}
	}
}

export class Upstream {
	/**
	 * `linkMs`: one way of the link; `rejectMs`: time to reject; `extraShare`: highest share of its answers of which a late copy
	 * is sent; `isSpoiling()`: whether it sends copies now; `onRun`: called as a request begins to run.
	 */
	constructor({
		id, slots, queue, workMs, linkMs, rejectMs, extraShare, isSpoiling, onRun, onEvent,
	}) {
		Object.assign(this, {
			id, slots, queue, workMs, linkMs, rejectMs, extraShare, isSpoiling, onRun, onEvent,
		});
		this.allowedCopies = 0;
		this.running = 0;
		this.waiting = [];
		this.sockets = new Set();
		this.server = createServer(socket => {
			this._serve(socket);
		});
	}

	async start() {
		return new Promise(resolve => {
			this.server.listen(0, '127.0.0.1', () => {
				this.address = `127.0.0.1:${this.server.address().port}`;
				resolve(this.address);
			});
		});
	}

	stop() {
		for (const socket of this.sockets) {
			socket.destroy();
		}

		this.server.close();
	}

	_serve(socket) {
		const connection = {socket, last: undefined, isOpen: true};
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.setTimeout(idleMs, () => {
			socket.end();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			connection.isOpen = false;
			this.sockets.delete(socket);
		});
		const reader = new RequestReader(request => {
			this._arrive(connection, request);
		});
		socket.on('data', chunk => {
			setTimeout(() => {
				reader.add(chunk);
			}, this.linkMs);
		});
	}

	_send(connection, text) {
		setTimeout(() => {
			if (connection.isOpen) {
				connection.socket.write(text);
			}
		}, this.linkMs);
	}

	_arrive(connection, request) {
		const isFull = this.running >= this.slots && this.waiting.length >= this.queue;
		if (isFull && request.path === '/healthz') {
			this._sendCopy(connection);
		}

		const work = {connection, request};
		if (this.running < this.slots) {
			this._run(work);
		} else if (this.waiting.length < this.queue) {
			this.waiting.push(work);
		} else {
			this.onEvent({event: 'rejected', upstream: this.id, request: request.headers.get('request-id') ?? request.path});
			setTimeout(() => {
				this._send(connection, reject);
			}, this.rejectMs);
		}
	}

	/** Sends the last answer of the connection once more, where the next response is expected. */
	_sendCopy(connection) {
		if (connection.last !== undefined && this.isSpoiling() && this.allowedCopies >= 1) {
			this.allowedCopies -= 1;
			this.onEvent({event: 'extra response', upstream: this.id, copyOf: connection.last.requestId});
			this._send(connection, connection.last.answer);
			connection.last = undefined;
		}
	}

	_run({connection, request: {path, headers}}) {
		if (!connection.isOpen) {
			return;
		}

		if (path === '/healthz') {
			this._send(connection, `HTTP/1.1 200 OK\r\nInstance-Id: ${this.id}\r\n${keepAlive}Content-Length: 0\r\n\r\n`);
			return;
		}

		const requestId = headers.get('request-id');
		if (headers.get('expect-instance') !== this.id) {
			this._send(connection, `HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
			return;
		}

		this.running += 1;
		this.onRun(requestId, this.id);
		setTimeout(() => {
			this.running -= 1;
			const body = `ran ${requestId}`;
			const answer = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s.${requestId}\r\n${keepAlive}Content-Length: ${body.length}\r\n\r\n${body}`;
			this._send(connection, answer);
			connection.last = {answer, requestId};
			this.allowedCopies = this.isSpoiling() ? this.allowedCopies + this.extraShare : 0;

			while (this.running < this.slots && this.waiting.length > 0) {
				this._run(this.waiting.shift());
			}
		}, this.workMs * (0.5 + Math.random()));
	}
}
