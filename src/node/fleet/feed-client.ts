/** Takes the registry feed of one VM at a time, and tells it who this one is. */
import {Readable} from 'node:stream';
import {Client, type Dispatcher} from 'undici';
import {describeFailure} from '../../common/errors/failure.ts';
import {type FleetEvent, type PeerAddress} from '../../common/fleet/types.ts';
import {Disposable, MutableDisposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type MemberAnnouncement} from '../../common/registry/types.ts';
import {type EventSink} from '../decider-loop.ts';
import {type Logger} from '../logging/types.ts';
import {LineReader} from './line-reader.ts';
import {decodeFrame, encodeAnnouncement, feedPath} from './feed-frame.ts';

/** A way to another data centre and back is 3 ms; longer, and another VM is tried. */
const connectMilliseconds: Milliseconds = 300;

/** Characters of a line that has not ended: beyond it, this is no VM of ours. */
const longestLine = 16_777_216;

/** Time for the last announcement to leave before its connection ends. */
const farewellMilliseconds: Milliseconds = 100;

type FeedSink = EventSink<Extract<FleetEvent, {type: 'feed-frame' | 'feed-closed'}>>;

export class FeedClient extends Disposable {
	private readonly _sink: FeedSink;
	private readonly _logger: Logger;
	private readonly _listening = this._register(new MutableDisposable());
	/** Body of the question that is under way: what is announced goes there. */
	private _words: Readable | undefined;

	constructor(sink: FeedSink, logger: Logger) {
		super();
		this._sink = sink;
		this._logger = logger;
	}

	/** Listens to this VM from now on, and to no other; undefined = to none. */
	follow(source: PeerAddress | undefined): void {
		this._words = undefined;
		if (source === undefined) {
			this._listening.value = undefined;
			return;
		}

		const client = new Client(`http://${source}`, {
			connect: {timeout: connectMilliseconds}, headersTimeout: 0, bodyTimeout: 0, allowH2: false,
		});
		const listener = new FrameHandler(source, this._sink, this._logger);
		const words = new Readable({
			read() {
				// Lines are pushed as they are announced.
			},
		});
		words.on('error', () => {
			// The connection has ended, which the listener tells.
		});
		// The question leaves with the first bytes of its body: without any, nothing would be asked.
		words.push('\n');
		this._words = words;
		this._listening.value = toDisposable(() => {
			listener.isOver = true;
			// What was announced last goes out before the end.
			words.push(null);
			setTimeout(() => {
				void client.destroy();
			}, farewellMilliseconds).unref();
		});
		client.dispatch({
			method: 'POST', path: feedPath, body: words, headers: ['content-type', 'application/x-ndjson'],
		}, listener);
	}

	/** Tells the VM that is followed who this one is; nothing where none is. */
	announce(announcement: MemberAnnouncement): void {
		this._words?.push(encodeAnnouncement(announcement));
	}
}

/** One feed, as an undici dispatch handler. */
class FrameHandler implements Dispatcher.DispatchHandler {
	/** Nobody wants it any more: what still comes is left out, its end too. */
	isOver = false;
	private readonly _source: PeerAddress;
	private readonly _sink: FeedSink;
	private readonly _logger: Logger;
	private readonly _lines = new LineReader(longestLine);

	constructor(source: PeerAddress, sink: FeedSink, logger: Logger) {
		this._source = source;
		this._sink = sink;
		this._logger = logger;
	}

	onRequestStart(): void {
		// Nothing to keep: the stream is ended by destroying its client.
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		const lines = this._lines.take(chunk);
		if (lines === undefined) {
			controller.abort(new FrameTooLong());
			return;
		}

		for (const line of lines) {
			this._take(line);
		}
	}

	onResponseEnd(): void {
		this._end();
	}

	onResponseError(): void {
		this._end();
	}

	private _take(line: string): void {
		if (this.isOver) {
			return;
		}

		const frame = decodeFrame(line);
		if (frame.isErr()) {
			this._logger.warn('a frame of the registry feed that cannot be read was left out', {source: this._source, failure: describeFailure(frame.error)});
			this._end();
			return;
		}

		this._sink.feed({type: 'feed-frame', source: this._source, frame: frame.value});
	}

	private _end(): void {
		if (!this.isOver) {
			this.isOver = true;
			this._sink.feed({type: 'feed-closed', source: this._source});
		}
	}
}

/** A frame that does not end. */
class FrameTooLong extends Error {
	override readonly name = 'FrameTooLong';
}
