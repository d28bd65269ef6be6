/** Plain HTTP/1.1 on sockets, so that a script controls each byte and sees each byte. */
import {connect} from 'node:net';

const headEnd = '\r\n\r\n';

/** Takes one message off the start of `buffer`; undefined = incomplete. */
export function takeMessage(buffer) {
	const end = buffer.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const [start, ...lines] = buffer.subarray(0, end).toString('latin1').split('\r\n');
	const headers = {};
	for (const line of lines) {
		const colon = line.indexOf(':');
		headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
	}

	const bodyStart = end + headEnd.length;
	if (/chunked/iv.test(headers['transfer-encoding'] ?? '')) {
		const parts = [];
		let at = bodyStart;
		for (;;) {
			const lineEnd = buffer.indexOf('\r\n', at);
			if (lineEnd === -1) {
				return undefined;
			}

			const size = Number.parseInt(buffer.subarray(at, lineEnd).toString(), 16);
			const next = lineEnd + 2 + size + 2;
			if (buffer.length < next) {
				return undefined;
			}

			parts.push(buffer.subarray(lineEnd + 2, lineEnd + 2 + size));
			at = next;
			if (size === 0) {
				return {
					start, headers, body: Buffer.concat(parts), rest: buffer.subarray(at),
				};
			}
		}
	}

	const length = Number(headers['content-length'] ?? 0);
	return buffer.length < bodyStart + length
		? undefined
		: {
			start, headers, body: buffer.subarray(bodyStart, bodyStart + length), rest: buffer.subarray(bodyStart + length),
		};
}

/** One connection of a caller. */
export class Connection {
	answers = [];
	isClosed = false;
	#buffer = Buffer.alloc(0);
	#waiting = [];

	constructor(address, localAddress = '127.0.0.1') {
		const [host, port] = address.split(':');
		this.socket = connect({
			host, port: Number(port), localAddress, noDelay: true,
		});
		this.opened = new Promise(resolve => {
			this.socket.once('connect', () => {
				resolve(true);
			});
			this.socket.once('error', () => {
				resolve(false);
			});
		});
		this.socket.on('data', chunk => {
			this.#buffer = Buffer.concat([this.#buffer, chunk]);
			for (let message = takeMessage(this.#buffer); message !== undefined; message = takeMessage(this.#buffer)) {
				this.#buffer = message.rest;
				const answer = {
					status: Number(message.start.split(' ')[1]), headers: message.headers, body: message.body, at: Date.now(),
				};
				this.answers.push(answer);
				this.#waiting.shift()?.(answer);
			}
		});
		this.socket.on('error', error => {
			this.error = error.code;
		});
		this.socket.on('close', () => {
			this.isClosed = true;
			for (const resolve of this.#waiting.splice(0)) {
				resolve(undefined);
			}
		});
	}

	/** Bytes that are no complete answer so far. */
	get rest() {
		return this.#buffer;
	}

	write(data) {
		this.socket.write(data);
	}

	/** Resolves with the next answer; undefined = the connection closed or the time is over. */
	async next(milliseconds = 10_000) {
		if (this.isClosed) {
			return undefined;
		}

		return new Promise(resolve => {
			const timer = setTimeout(resolve, milliseconds);
			this.#waiting.push(answer => {
				clearTimeout(timer);
				resolve(answer);
			});
		});
	}

	close() {
		this.socket.destroy();
	}
}

/** The bytes of a request. `length` = declared length of a body that follows later. */
export function requestText({method = 'GET', path, host = 'one.example', id, deadline = 1500, headers = {}, body = '', length = Buffer.byteLength(body)}) {
	const lines = [`${method} ${path} HTTP/1.1`, `Host: ${host}`, `Request-Id: ${id}`, `Deadline-Ms: ${deadline}`];
	for (const [name, value] of Object.entries(headers)) {
		lines.push(`${name}: ${value}`);
	}

	if (length > 0 || method === 'POST') {
		lines.push(`Content-Length: ${length}`);
	}

	return `${lines.join('\r\n')}${headEnd}${body}`;
}
