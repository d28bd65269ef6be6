/** The pages beside the callers' door: which VMs to use, whether this one is ready, and its counters. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Result} from 'neverthrow';
import {type Failure} from '../../common/errors/failure.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type EarlyDoor} from '../early-door.ts';
import {listenOn} from '../listening.ts';

/** An answer of a page. */
export type Page = {
	readonly status: number;
	readonly contentType?: string;
	readonly body?: string;
};

/** Answers a GET; undefined = there is no such page. */
export type PageHandler = (url: string) => Page | undefined | Promise<Page | undefined>;

/**
 * Small pages on a port of their own, straight on node:http: three fixed paths need no router, and the directory is
 * asked about as often as calls come. What a router would cost here has not been measured.
 */
export class PageServer extends Disposable {
	private readonly _server: Server;

	constructor(handler: PageHandler, idleMilliseconds: number) {
		super();
		this._server = createServer({keepAliveTimeout: idleMilliseconds, noDelay: true}, (incoming, outgoing) => {
			void answer(handler, incoming, outgoing);
		});
		this._register(toDisposable(() => {
			this._server.close();
			this._server.closeAllConnections();
		}));
	}

	async listen(port: number, address: string, early?: EarlyDoor): Promise<Result<number, Failure<'cannot-listen'>>> {
		return listenOn(this._server, port, address, {early});
	}
}

async function answer(handler: PageHandler, incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
	incoming.resume();
	const made = incoming.method === 'GET' ? handler(incoming.url ?? '') : undefined;
	const page = made instanceof Promise ? await made : made;
	const body = page?.body ?? '';
	outgoing.writeHead(page?.status ?? 404, {
		...(page?.contentType === undefined ? {} : {'content-type': page.contentType}),
		'content-length': Buffer.byteLength(body),
	});
	outgoing.end(body);
}
