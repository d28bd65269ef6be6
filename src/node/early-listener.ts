/** Listeners that open before the main program has loaded. */
import {createServer, type Server, type Socket} from 'node:net';

/**
 * Accepts connections while the program is still loading and passes them to the server later. Otherwise connections would
 * be refused while the VM's address is already reachable, and a caller that tries twice would use up both tries. Loading
 * the program takes half of the start-up time (`npm run start-time`).
 */
export class EarlyListener {
	private readonly _listener: Server;
	private readonly _waiting: Socket[] = [];

	/** Starts to listen. A failure is reported later by the server that listens on the same address. `backlog` = connections that the kernel queues. */
	constructor(port: number, address: string, backlog: number) {
		this._listener = createServer({pauseOnConnect: true, noDelay: true}, socket => {
			this._waiting.push(socket);
		});
		this._listener.on('error', () => {
			// Ignored here: `listenOn` tries the address again and returns the failure to code that can log it.
		});
		this._listener.listen(port, address, backlog);
	}

	/** Transfers the listener and its waiting connections to the server. Returns false if the listener is not open. */
	transferTo(server: Server, backlog: number | undefined): boolean {
		if (!this._listener.listening) {
			return false;
		}

		server.listen(this._listener, backlog, () => {
			for (const socket of this._waiting.splice(0)) {
				server.emit('connection', socket);
				socket.resume();
			}
		});
		return true;
	}
}

/** Early listeners by `IP:PORT`. */
export type EarlyListeners = ReadonlyMap<string, EarlyListener>;
