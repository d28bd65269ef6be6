/** Serves the registry feed to other VMs, receives their announcements on the same streams, and answers VM probes. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Result} from 'neverthrow';
import {type Failure} from '../../common/errors/failure.ts';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type FleetEvent} from '../../common/fleet/types.ts';
import {type EvidenceKey, type EvidenceReply, type FeedFrame} from '../../common/registry/types.ts';
import {type EventSink} from '../decider-loop.ts';
import {type ListenerBudget} from '../front/connection-budget.ts';
import {type ListenOptions, listenOn} from '../listening.ts';
import {HeldBytes} from '../memory/held-bytes.ts';
import {type MemoryBudget} from '../memory/memory-budget.ts';
import {type Metrics} from '../metrics/types.ts';
import {LineReader} from './line-reader.ts';
import {decodeAnnouncement, encodeFrame, feedPath} from './feed-frame.ts';
import {
	decodeEvidenceKeys, decodeUpdates, encodeEvidenceReply, evidencePath, maxUpdatesBytes, updatesPath,
} from './update-codec.ts';
import {probePathPrefix} from './vm-probe-client.ts';

/** Maximum number of bytes buffered for one subscriber, so that a frozen or disconnected one does not fill this VM's memory. */
const maxBufferedBytes = 1_000_000;

/** Maximum length of an announcement in bytes; a longer one does not come from a VM of this fleet. */
const maxAnnouncementBytes = 10_000;

const statusServing = 200;
const statusNotServing = 404;

const statusReceived = 204;
const statusInvalid = 400;
const statusNoRoom = 503;

type MemberSink = EventSink<Extract<FleetEvent, {type: 'member-announced' | 'member-ended' | 'updates-received'}>>;

/** Data that the server sends. */
export type FeedContent = {
	/** A frame with all entries, sent first on each stream. */
	fullFrame(): FeedFrame;
	/** Whether this VM is the process of that identity and accepts calls. */
	isServing(identity: string): boolean;
	/** Compares this VM's evidence of crashes with that of another VM, which has the evidence of these keys. */
	compareEvidence(known: readonly EvidenceKey[]): EvidenceReply;
};

/** Handles requests for connections to backend servers. */
export type TunnelRequestHandler = {
	accepts(incoming: IncomingMessage): boolean;
	forward(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void>;
};

/** Bounds of the server. */
export type FeedServerLimits = {
	/** Bound for the incomplete messages of all VMs together. */
	readonly budget: MemoryBudget;
	/** Limits the connections; undefined = no limit. */
	readonly bounds?: ListenerBudget;
};

export class FeedServer extends Disposable {
	private readonly _metrics: Metrics;
	private readonly _content: FeedContent;
	private readonly _sink: MemberSink;
	private readonly _budget: MemoryBudget;
	/** The latest stream of each VM that sent an announcement, by identity. The end of an earlier stream is ignored. */
	private readonly _streams = new Map<string, ServerResponse>();
	private readonly _server: Server;
	private readonly _subscribers = new Set<ServerResponse>();

	constructor(metrics: Metrics, content: FeedContent, sink: MemberSink, tunnels: TunnelRequestHandler, {budget, bounds}: FeedServerLimits) {
		super();
		this._budget = budget;
		this._sink = sink;
		this._metrics = metrics;
		this._content = content;
		this._server = createServer({requestTimeout: 0}, (incoming, outgoing) => {
			if (incoming.url === feedPath) {
				this._acceptSubscriber(incoming, outgoing);
			} else if (tunnels.accepts(incoming)) {
				void tunnels.forward(incoming, outgoing);
			} else if (incoming.url === updatesPath && incoming.method === 'POST') {
				this._receiveUpdates(incoming, outgoing);
			} else if (incoming.url === evidencePath && incoming.method === 'POST') {
				this._compareEvidence(incoming, outgoing);
			} else {
				incoming.resume();
				outgoing.writeHead(this._isServing(incoming.url ?? '') ? statusServing : statusNotServing, {connection: 'close'}).end();
			}
		});
		bounds?.budget.watch(this._server, bounds, {
			onFull(socket) {
				// Other VMs send no call before the answer to the one ahead of it.
				socket.destroy();
			},
		});
		this._register(toDisposable(() => {
			this._server.close();
			this._server.closeAllConnections();
		}));
	}

	async listen(port: number, address: string, options?: ListenOptions): Promise<Result<number, Failure<'cannot-listen'>>> {
		return listenOn(this._server, port, address, options);
	}

	/** Sends a frame to all subscribers. */
	publish(frame: FeedFrame): void {
		if (this._subscribers.size > 0) {
			this._send(encodeFrame(frame));
		}
	}

	private _acceptSubscriber(incoming: IncomingMessage, outgoing: ServerResponse): void {
		outgoing.once('close', () => {
			this._subscribers.delete(outgoing);
			this._endStream(outgoing);
		});
		this._readAnnouncements(incoming, outgoing);
		outgoing.writeHead(200, {'content-type': 'application/x-ndjson'});
		outgoing.write(encodeFrame(this._content.fullFrame()));
		this._subscribers.add(outgoing);
	}

	private _receiveUpdates(incoming: IncomingMessage, outgoing: ServerResponse): void {
		this._readMessage(incoming, outgoing, text => {
			const updates = decodeUpdates(text);
			outgoing.writeHead(updates.isOk() ? statusReceived : statusInvalid).end();
			if (updates.isOk()) {
				this._sink.feed({type: 'updates-received', updates: updates.value});
			}
		});
	}

	private _compareEvidence(incoming: IncomingMessage, outgoing: ServerResponse): void {
		this._readMessage(incoming, outgoing, text => {
			const known = decodeEvidenceKeys(text);
			if (known.isErr()) {
				outgoing.writeHead(statusInvalid).end();
				return;
			}

			const reply = encodeEvidenceReply(this._content.compareEvidence(known.value));
			this._metrics.peerTraffic('out', 1, reply.length);
			outgoing.writeHead(statusServing, {'content-type': 'application/json'}).end(reply);
		});
	}

	/** Reads a message of bounded length from another VM. */
	private _readMessage(incoming: IncomingMessage, outgoing: ServerResponse, onText: (text: string) => void): void {
		const refuse = () => {
			held.discard();
			incoming.off('data', collect);
			incoming.off('end', finish);
			incoming.resume();
			outgoing.writeHead(statusNoRoom, {connection: 'close'}).end();
		};

		const held = new HeldBytes(this._budget, refuse);
		const collect = (chunk: Buffer) => {
			if (held.bytes + chunk.length > maxUpdatesBytes) {
				outgoing.destroy();
			} else if (!held.append(chunk)) {
				refuse();
			}
		};

		const finish = () => {
			this._metrics.peerTraffic('in', 1, held.bytes);
			onText(held.take().toString());
		};

		incoming.on('data', collect);
		incoming.on('end', finish);
		outgoing.once('close', () => {
			held.discard();
		});
		incoming.on('error', () => {
			// The sender has closed the connection; the same content comes by way of other VMs.
			outgoing.destroy();
		});
	}

	private _isServing(url: string): boolean {
		return url.startsWith(probePathPrefix) && this._content.isServing(url.slice(probePathPrefix.length));
	}

	/** Reads the request body, in which the VM sends one announcement per line. */
	private _readAnnouncements(incoming: IncomingMessage, outgoing: ServerResponse): void {
		const lines = new LineReader(maxAnnouncementBytes, this._budget, () => {
			outgoing.destroy();
		});
		incoming.on('data', (chunk: Buffer) => {
			const read = lines.read(chunk);
			if (read === undefined) {
				outgoing.destroy();
				return;
			}

			for (const line of read) {
				this._handleLine(line, outgoing);
			}
		});
		outgoing.once('close', () => {
			lines.discard();
		});
		incoming.on('error', () => {
			// The response's `close` event then reports the end of the stream.
			outgoing.destroy();
		});
	}

	private _handleLine(line: string, outgoing: ServerResponse): void {
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

	private _endStream(outgoing: ServerResponse): void {
		for (const [identity, stream] of this._streams) {
			if (stream === outgoing) {
				this._streams.delete(identity);
				this._sink.feed({type: 'member-ended', identity});
			}
		}
	}

	private _send(line: string): void {
		this._metrics.peerTraffic('out', this._subscribers.size, line.length * this._subscribers.size);
		for (const outgoing of this._subscribers) {
			if (outgoing.writableLength > maxBufferedBytes) {
				outgoing.destroy();
			} else {
				outgoing.write(line);
			}
		}
	}
}
