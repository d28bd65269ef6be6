/** Takes in a caller's request body: the start is kept, so that a call proven not run can be sent again. */
import {type IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';

/** Bounds of bodies in bytes. */
export type BodyLimits = {
	/**
	 * Bodies up to this size are read whole before the call is placed, so that a slow caller holds no slot
	 * of a backend server, and can be sent again after a proof that nothing ran. Larger ones stream.
	 */
	readonly keptBodyBytes: number;
	/** Larger bodies are refused, or cut off where their head did not tell their size. */
	readonly bodyBytes: number;
};

/** A body grew beyond the limit while it streamed. */
class BodyTooLarge extends Error {
	override readonly name = 'BodyTooLarge';
}

/** The start of a body, perhaps all of it. */
export class RequestBody {
	private readonly _incoming: IncomingMessage;
	private readonly _limits: BodyLimits;
	private readonly _chunks: Uint8Array[] = [];
	private _bytes = 0;
	private _isWhole = false;

	constructor(incoming: IncomingMessage, limits: BodyLimits) {
		this._incoming = incoming;
		this._limits = limits;
	}

	/** True if the head already tells that the body is too large. */
	get isTooLarge(): boolean {
		return Number(this._incoming.headers['content-length'] ?? 0) > this._limits.bodyBytes;
	}

	/** True if the head tells that a body follows. */
	get isExpected(): boolean {
		const {headers} = this._incoming;
		return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
	}

	/** True while the body is held whole, so that another attempt can send all of it. */
	get isReplayable(): boolean {
		return this._isWhole;
	}

	/** What is held: the whole body, or its start. */
	get kept(): Uint8Array {
		return this._chunks.length === 1 ? this._chunks[0]! : Buffer.concat(this._chunks);
	}

	/** Reads until the end or until the limit; then calls back once. Nothing is called if the caller goes away. */
	read(onReady: () => void): void {
		if (!this.isExpected) {
			this._isWhole = true;
			onReady();
			return;
		}

		const onData = (chunk: Uint8Array) => {
			this._chunks.push(chunk);
			this._bytes += chunk.length;
			if (this._bytes > this._limits.keptBodyBytes) {
				stop();
				this._incoming.pause();
				onReady();
			}
		};

		const onEnd = () => {
			stop();
			this._isWhole = true;
			onReady();
		};

		const stop = () => {
			this._incoming.off('data', onData);
			this._incoming.off('end', onEnd);
		};

		this._incoming.on('data', onData);
		this._incoming.on('end', onEnd);
	}

	/** The body to send: bytes if whole, else a stream that can be taken once. */
	toSend(): Uint8Array | Readable | undefined {
		if (this._isWhole) {
			return this._bytes === 0 ? undefined : this.kept;
		}

		return Readable.from(this._stream(), {objectMode: false});
	}

	/** Lets go of what the caller still sends; the connection can then carry its next call. */
	discard(): void {
		this._incoming.resume();
	}

	private async * _stream(): AsyncGenerator<Uint8Array> {
		yield this.kept;
		this._chunks.length = 0;
		const rest: AsyncIterable<Uint8Array> = this._incoming;
		for await (const chunk of rest) {
			this._bytes += chunk.length;
			if (this._bytes > this._limits.bodyBytes) {
				throw new BodyTooLarge();
			}

			yield chunk;
		}
	}
}
