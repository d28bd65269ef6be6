/** Tells other VMs what this one knows of the store, for as long as they listen. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type Result} from 'neverthrow';
import {type Failure} from '../../common/errors/failure.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type NewsFrame} from '../../common/registry/types.ts';
import {listenOn} from '../listening.ts';
import {type Metrics} from '../metrics/types.ts';
import {encodeFrame, newsPath} from './news-frame.ts';

/** Bytes that a listener may leave unread: one that is frozen or cut off must not fill this VM's memory. */
const mostUnreadBytes = 1_000_000;

/** What there is to tell. */
export type NewsContent = {
	whole(): NewsFrame;
};

export class NewsTeller extends Disposable {
	private readonly _metrics: Metrics;
	private readonly _content: NewsContent;
	private readonly _server: Server;
	private readonly _listeners = new Set<ServerResponse>();

	constructor(metrics: Metrics, content: NewsContent) {
		super();
		this._metrics = metrics;
		this._content = content;
		this._server = createServer((incoming, outgoing) => {
			incoming.resume();
			if (incoming.url === newsPath) {
				this._welcome(outgoing);
			} else {
				outgoing.writeHead(404).end();
			}
		});
		this._register(toDisposable(() => {
			this._server.close();
			this._server.closeAllConnections();
		}));
	}

	async listen(port: number, address: string): Promise<Result<number, Failure<'cannot-listen'>>> {
		return listenOn(this._server, port, address);
	}

	/** Passes news on to all who listen. */
	tell(frame: NewsFrame): void {
		if (this._listeners.size > 0) {
			this._send(encodeFrame(frame));
		}
	}

	private _welcome(outgoing: ServerResponse): void {
		outgoing.once('close', () => {
			this._listeners.delete(outgoing);
		});
		outgoing.writeHead(200, {'content-type': 'application/x-ndjson'});
		outgoing.write(encodeFrame(this._content.whole()));
		this._listeners.add(outgoing);
	}

	private _send(line: string): void {
		this._metrics.peerTraffic('out', this._listeners.size, line.length * this._listeners.size);
		for (const outgoing of this._listeners) {
			if (outgoing.writableLength > mostUnreadBytes) {
				outgoing.destroy();
			} else {
				outgoing.write(line);
			}
		}
	}
}
