/** The HTTP client of one connection to a backend server. */
import {type buildConnector, Client, type Dispatcher} from 'undici';
import {type AttemptDispatchOptions, type BackendAttempt} from './backend-attempt.ts';
import {ReadPacer} from './read-pacer.ts';

/** Options of an `AttemptClient`: its connector is a function. */
export type AttemptClientOptions = Omit<Client.Options, 'connect'> & {readonly connect: buildConnector.connector};

/**
 * Resumes a paused answer when its connection ends. undici itself takes such an end for the end of an incomplete answer, although
 * only its parser has yet to report the last byte, and fails an assertion if the connection was to close after the answer. An
 * exception in that listener of the socket would end the process. Without pipelining, at most one attempt uses the connection.
 */
export class AttemptClient extends Client {
	/** Weak, so that an idle connection does not keep its last call in memory. */
	private readonly _current: {attempt?: WeakRef<BackendAttempt> | undefined};

	constructor(origin: string | URL, {connect, ...options}: AttemptClientOptions) {
		const current: {attempt?: WeakRef<BackendAttempt> | undefined} = {};
		super(origin, {
			...options,
			connect(connectOptions, callback) {
				connect(connectOptions, (...result) => {
					const [, socket] = result;
					if (result[0] === null && socket !== null) {
						// eslint-disable-next-line no-new -- the pacer replaces a method of the socket.
						new ReadPacer(socket);
					}

					// Comes before the listener that undici adds in the callback.
					result[1]?.on('end', () => {
						current.attempt?.deref()?.onConnectionEnd();
					});
					callback(...result);
				});
			},
		});
		this._current = current;
	}

	override dispatch(options: AttemptDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		this._current.attempt = options.attempt === undefined ? undefined : new WeakRef(options.attempt);
		return super.dispatch(options, handler);
	}
}
