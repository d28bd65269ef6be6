/** The pages beside the callers' listener: which VMs to use, whether this one is ready, and its counters. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Result} from 'neverthrow';
import {type Failure} from '../../common/errors/failure.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type EarlyListener} from '../early-listener.ts';
import {listenOn} from '../listening.ts';
import {closeListener} from './close-listener.ts';
import {GracefulServer} from './graceful-server.ts';

/** Longest that the end of the process waits for pages: less than a half of what a bounded stop leaves for its last steps. */
const usualLongestEnd: Milliseconds = 100;

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
	private readonly _server: GracefulServer;
	private readonly _longestEnd: Milliseconds;

	/** `longestEnd` = longest that the end waits for pages under way. */
	constructor(handler: PageHandler, idleMilliseconds: number, longestEnd: Milliseconds = usualLongestEnd) {
		super();
		this._longestEnd = longestEnd;
		this._server = this._register(new GracefulServer({keepAliveTimeout: idleMilliseconds, noDelay: true}, (incoming, outgoing) => {
			void answer(handler, incoming, outgoing);
		}));
	}

	async listen(port: number, address: string, early?: EarlyListener): Promise<Result<number, Failure<'cannot-listen'>>> {
		return listenOn(this._server, port, address, {early});
	}

	/** From now on each connection ends after its answer, so that none is idle when the process ends. */
	leave(): void {
		this._server.leave();
	}

	/** The process ends: resolves when the pages under way are out, or when the longest time for them is over. */
	async end(): Promise<void> {
		return closeListener(this._server, this._longestEnd);
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
