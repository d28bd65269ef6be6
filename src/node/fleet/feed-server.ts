/** Tells other VMs what this one knows of the store, for as long as they listen, and hears from them who they are. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Result} from 'neverthrow';
import {type Failure} from '../../common/errors/failure.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {type FeedFrame} from '../../common/registry/types.ts';
import {type EventSink} from '../decider-loop.ts';
import {listenOn} from '../listening.ts';
import {type Metrics} from '../metrics/types.ts';
import {LineReader} from './line-reader.ts';
import {decodeAnnouncement, encodeFrame, feedPath} from './feed-frame.ts';
import {probePathPrefix} from './vm-probe-client.ts';

/** Bytes that a listener may leave unread: one that is frozen or cut off must not fill this VM's memory. */
const mostUnreadBytes = 1_000_000;

/** Characters of one announcement: beyond it, this is no VM of ours. */
const longestAnnouncement = 10_000;

const statusServing = 200;
const statusNotServing = 404;

type MemberSink = EventSink<Extract<FleetEvent, {type: 'member-announced' | 'member-ended'}>>;

/** What there is to tell. */
export type FeedContent = {
	whole(): FeedFrame;
	/** Whether this VM is the process of that identity and takes callers. */
	isServing(identity: string): boolean;
};

export class FeedServer extends Disposable {
	private readonly _metrics: Metrics;
	private readonly _content: FeedContent;
	private readonly _sink: MemberSink;
	/** The latest stream of each VM that said who it is: an earlier one that ends late says nothing of it. */
	private readonly _streams = new Map<string, ServerResponse>();
	private readonly _server: Server;
	private readonly _listeners = new Set<ServerResponse>();

	constructor(metrics: Metrics, content: FeedContent, sink: MemberSink) {
		super();
		this._sink = sink;
		this._metrics = metrics;
		this._content = content;
		this._server = createServer({requestTimeout: 0}, (incoming, outgoing) => {
			if (incoming.url === feedPath) {
				this._welcome(incoming, outgoing);
			} else {
				incoming.resume();
				outgoing.writeHead(this._isServing(incoming.url ?? '') ? statusServing : statusNotServing, {connection: 'close'}).end();
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

	/** Sends a frame to all followers. */
	publish(frame: FeedFrame): void {
		if (this._listeners.size > 0) {
			this._send(encodeFrame(frame));
		}
	}

	private _welcome(incoming: IncomingMessage, outgoing: ServerResponse): void {
		outgoing.once('close', () => {
			this._listeners.delete(outgoing);
			this._end(outgoing);
		});
		this._hear(incoming, outgoing);
		outgoing.writeHead(200, {'content-type': 'application/x-ndjson'});
		outgoing.write(encodeFrame(this._content.whole()));
		this._listeners.add(outgoing);
	}

	private _isServing(url: string): boolean {
		return url.startsWith(probePathPrefix) && this._content.isServing(url.slice(probePathPrefix.length));
	}

	/** The body of the question is what the VM says of itself, a line each time. */
	private _hear(incoming: IncomingMessage, outgoing: ServerResponse): void {
		const lines = new LineReader(longestAnnouncement);
		incoming.on('data', (chunk: Buffer) => {
			const read = lines.take(chunk);
			if (read === undefined) {
				outgoing.destroy();
				return;
			}

			for (const line of read) {
				this._take(line, outgoing);
			}
		});
		incoming.on('error', () => {
			// Its end is told by the answer's `close`.
			outgoing.destroy();
		});
	}

	private _take(line: string, outgoing: ServerResponse): void {
		if (line === '') {
			return;
		}

		const read = decodeAnnouncement(line);
		if (read.isErr()) {
			outgoing.destroy();
			return;
		}

		const announcement = read.value;
		this._streams.set(announcement.identity, outgoing);
		this._sink.feed({type: 'member-announced', announcement});
	}

	private _end(outgoing: ServerResponse): void {
		for (const [identity, stream] of this._streams) {
			if (stream === outgoing) {
				this._streams.delete(identity);
				this._sink.feed({type: 'member-ended', identity});
			}
		}
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
