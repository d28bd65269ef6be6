/** Listeners that open before the program is loaded. */
import {type Server as HttpServer} from 'node:http';
import {createServer, type Server, type Socket} from 'node:net';

/**
 * Guards callers against the moment in which a VM's address is there and its program is not loaded yet: their connections
 * were refused, and a caller that tries twice has then spent both tries. Connections that come early wait here and are
 * handed to the server that answers them. The loading of the program is half of a start (`npm run start-time`).
 */
export class EarlyListener {
	private readonly _listener: Server;
	private readonly _waiting: Socket[] = [];

	/** Opens at once; a failure is told by the server that listens there later. `backlog` = connections that the system keeps. */
	constructor(port: number, address: string, backlog: number) {
		this._listener = createServer({pauseOnConnect: true, noDelay: true}, socket => {
			this._waiting.push(socket);
		});
		this._listener.on('error', () => {
			// Not listening now, so `listenOn` tries the address again, and tells the failure: it has a log to write to.
		});
		this._listener.listen(port, address, backlog);
	}

	/** The server takes the listener over, with those who wait; false = the listener is not open. */
	handTo(server: HttpServer, backlog: number | undefined, onListening: () => void): boolean {
		if (!this._listener.listening) {
			return false;
		}

		server.listen(this._listener, backlog, () => {
			for (const socket of this._waiting.splice(0)) {
				server.emit('connection', socket);
				socket.resume();
			}

			onListening();
		});
		return true;
	}
}

/** Early listeners by `IP:PORT`. */
export type EarlyListeners = ReadonlyMap<string, EarlyListener>;
