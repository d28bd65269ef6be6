/** Subscribes to the registry feed of one other VM at a time and sends this VM's announcements to it. */
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

/** Connect time-out; a round trip to another data centre takes 3 ms. After a time-out another VM is tried. */
const connectTimeoutMilliseconds: Milliseconds = 300;

/** Maximum length of an incomplete line, in bytes; a longer one does not come from a VM of this fleet. */
const maxLineBytes = 16_777_216;

/** Delay before the connection is destroyed, so that the last announcement is sent. */
const closeDelayMilliseconds: Milliseconds = 100;

type FeedSink = EventSink<Extract<FleetEvent, {type: 'feed-frame' | 'feed-closed'}>>;

export class FeedClient extends Disposable {
	private readonly _sink: FeedSink;
	private readonly _logger: Logger;
	private readonly _subscription = this._register(new MutableDisposable());
	/** Body of the current request; announcements are written to it. */
	private _announcements: Readable | undefined;

	constructor(sink: FeedSink, logger: Logger) {
		super();
		this._sink = sink;
		this._logger = logger;
	}

	/** Subscribes to the feed of this VM and ends any other subscription; undefined = no subscription. */
	subscribe(source: PeerAddress | undefined): void {
		this._announcements = undefined;
		if (source === undefined) {
			this._subscription.value = undefined;
			return;
		}

		const client = new Client(`http://${source}`, {
			connect: {timeout: connectTimeoutMilliseconds}, headersTimeout: 0, bodyTimeout: 0, allowH2: false,
		});
		const handler = new FrameHandler(source, this._sink, this._logger);
		const announcements = new Readable({
			read() {
				// Lines are pushed by `announce`.
			},
		});
		announcements.on('error', () => {
			// The connection has ended; the response handler reports it.
		});
		// undici sends the request with the first bytes of its body.
		announcements.push('\n');
		this._announcements = announcements;
		this._subscription.value = toDisposable(() => {
			handler.isEnded = true;
			// Send the last announcement before the connection ends.
			announcements.push(null);
			setTimeout(() => {
				void client.destroy();
			}, closeDelayMilliseconds).unref();
		});
		client.dispatch({
			method: 'POST', path: feedPath, body: announcements, headers: ['content-type', 'application/x-ndjson'],
		}, handler);
	}

	/** Sends an announcement of this VM to the VM whose feed is subscribed; does nothing without a subscription. */
	announce(announcement: MemberAnnouncement): void {
		this._announcements?.push(encodeAnnouncement(announcement));
	}
}

/** undici dispatch handler that reads the frames of one feed. */
class FrameHandler implements Dispatcher.DispatchHandler {
	/** The subscription has ended; later frames and the end of the response are ignored. */
	isEnded = false;
	private readonly _source: PeerAddress;
	private readonly _sink: FeedSink;
	private readonly _logger: Logger;
	private readonly _lines = new LineReader(maxLineBytes);

	constructor(source: PeerAddress, sink: FeedSink, logger: Logger) {
		this._source = source;
		this._sink = sink;
		this._logger = logger;
	}

	onRequestStart(): void {
		// The controller is not needed: destroying the client ends the stream.
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		const lines = this._lines.read(chunk);
		if (lines === undefined) {
			controller.abort(new FrameTooLong());
			return;
		}

		for (const line of lines) {
			this._handleLine(line);
		}
	}

	onResponseEnd(): void {
		this._end();
	}

	onResponseError(): void {
		this._end();
	}

	private _handleLine(line: string): void {
		if (this.isEnded) {
			return;
		}

		const frame = decodeFrame(line);
		if (frame.isErr()) {
			this._logger.warn('registry feed closed: a frame could not be read', {source: this._source, failure: describeFailure(frame.error)});
			this._end();
			return;
		}

		this._sink.feed({type: 'feed-frame', source: this._source, frame: frame.value});
	}

	private _end(): void {
		if (!this.isEnded) {
			this.isEnded = true;
			this._sink.feed({type: 'feed-closed', source: this._source});
		}
	}
}

/** An incomplete frame exceeds the maximum length. */
class FrameTooLong extends Error {
	override readonly name = 'FrameTooLong';
}
