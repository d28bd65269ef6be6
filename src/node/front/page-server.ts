/** HTTP server for the directory of VMs, the readiness check and the metrics, each on a port of its own. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Result} from 'neverthrow';
import {type Failure} from '../../common/errors/failure.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type ListenOptions, listenOn} from '../listening.ts';
import {closeListener} from './close-listener.ts';
import {type ListenerBudget} from './connection-budget.ts';
import {GracefulServer} from './graceful-server.ts';

/** Maximum wait of the process for pages in progress: less than half of the time that a bounded stop reserves for its last steps. */
const defaultMaxCloseMilliseconds: Milliseconds = 100;

/** Content of a page. */
export type Page = {
	readonly status: number;
	readonly contentType?: string;
	readonly body?: string;
};

/** Returns the page for a request; undefined results in 404. */
export type PageHandler = (url: string) => Page | undefined | Promise<Page | undefined>;

/** Handlers by method; other methods result in 404. */
export type PageHandlers = {readonly get: PageHandler; readonly delete?: PageHandler};

/**
 * Serves small pages directly on node:http. Three fixed paths need no router, and the directory receives about as many
 * requests as there are calls.
 */
export class PageServer extends Disposable {
	private readonly _server: GracefulServer;
	private readonly _maxCloseMilliseconds: Milliseconds;

	/** `maxCloseMilliseconds`: maximum time that `end` waits for pages in progress. `bounds` limits the connections. */
	constructor(
		handlers: PageHandler | PageHandlers,
		idleMilliseconds: number,
		{maxCloseMilliseconds = defaultMaxCloseMilliseconds, bounds}: {readonly maxCloseMilliseconds?: Milliseconds; readonly bounds?: ListenerBudget} = {},
	) {
		super();
		this._maxCloseMilliseconds = maxCloseMilliseconds;
		this._server = this._register(new GracefulServer({keepAliveTimeout: idleMilliseconds, noDelay: true}, (incoming, outgoing) => {
			void respond(typeof handlers === 'function' ? {get: handlers} : handlers, incoming, outgoing).catch((error: unknown) => {
				outgoing.setHeader('connection', 'close').writeHead(500).end();
				throw error;
			});
		}, undefined, bounds));
	}

	async listen(port: number, address: string, options?: ListenOptions): Promise<Result<number, Failure<'cannot-listen'>>> {
		return listenOn(this._server, port, address, options);
	}

	/** Closes each connection after its current answer, so that no connection is idle when the process exits. */
	disableKeepAlive(): void {
		this._server.disableKeepAlive();
	}

	/** Closes the server; resolves once the pages in progress are sent or `maxCloseMilliseconds` has passed. */
	async end(): Promise<void> {
		return closeListener(this._server, this._maxCloseMilliseconds);
	}
}

async function respond(handlers: PageHandlers, incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
	incoming.resume();
	const handler = incoming.method === 'DELETE' ? handlers.delete : handlers.get;
	const isKnownMethod = incoming.method === 'GET' || incoming.method === 'DELETE';
	const result = isKnownMethod ? handler?.(incoming.url ?? '') : undefined;
	const page = result instanceof Promise ? await result : result;
	const body = page?.body ?? '';
	outgoing.writeHead(page?.status ?? 404, {
		...(page?.contentType === undefined ? {} : {'content-type': page.contentType}),
		'content-length': Buffer.byteLength(body),
	});
	outgoing.end(body);
}
