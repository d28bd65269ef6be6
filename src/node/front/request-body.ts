/** Reads a caller's request body and buffers small ones, so that a call that provably has not run can be sent again. */
import {type IncomingMessage} from 'node:http';
import {PassThrough, type Readable} from 'node:stream';
import {type Milliseconds} from '../../common/model/units.ts';
import {HeldBytes} from '../memory/held-bytes.ts';
import {type MemoryBudget} from '../memory/memory-budget.ts';
import {discardBody} from './discard-body.ts';

/** Retry delay for callers whose bodies find no room in memory. Other VMs may have room, and incomplete bodies soon give way here. */
export const noRoomRetryMilliseconds: Milliseconds = 200;

/** Limits of request bodies, in bytes. */
export type BodyLimits = {
	/**
	 * Bodies of up to this size are read completely before the call is placed, so that a slow caller holds no slot of a backend
	 * server and the body can be sent again if the call provably has not run. Larger bodies are streamed.
	 */
	readonly keptBodyBytes: number;
	/** Larger bodies are refused, or aborted while streaming if the head does not declare their size. */
	readonly bodyBytes: number;
};

/** A streamed body exceeded the limit. */
class BodyTooLarge extends Error {
	override readonly name = 'BodyTooLarge';
}

/** The caller's connection closed before the end of the body. */
class BodyIncomplete extends Error {
	override readonly name = 'BodyIncomplete';
}

/** A request body, buffered completely or in its first part. */
export class RequestBody {
	private readonly _incoming: IncomingMessage;
	private readonly _limits: BodyLimits;
	private readonly _held: HeldBytes;
	private _bytes = 0;
	private _isComplete = false;
	/** Set while the body is read. */
	private _onNoRoom: (() => void) | undefined;

	/** `budget` = bound for all buffered bodies together. */
	constructor(incoming: IncomingMessage, limits: BodyLimits, budget: MemoryBudget) {
		this._incoming = incoming;
		this._limits = limits;
		this._held = new HeldBytes(budget, () => {
			this._onNoRoom?.();
		});
	}

	/** True if the declared content length exceeds the limit. */
	get isTooLarge(): boolean {
		return Number(this._incoming.headers['content-length'] ?? 0) > this._limits.bodyBytes;
	}

	/** True if the head declares a body. */
	get isAnnounced(): boolean {
		const {headers} = this._incoming;
		return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
	}

	/** True if the complete body is buffered, so that another attempt can send it. */
	get isReplayable(): boolean {
		return this._isComplete;
	}

	/** The buffered bytes: the complete body, or its first part. */
	get buffered(): Uint8Array {
		return this._held.contents;
	}

	/**
	 * Reads up to the end of the body or the buffer limit, then calls `onReady` once; or `onNoRoom` if the budget of buffered
	 * bodies has no room for it. Calls neither if the caller disconnects.
	 */
	read(onReady: () => void, onNoRoom: () => void): void {
		if (!this.isAnnounced) {
			this._isComplete = true;
			onReady();
			return;
		}

		const onData = (chunk: Uint8Array) => {
			if (!this._held.append(chunk)) {
				this._onNoRoom?.();
				return;
			}

			this._bytes += chunk.length;
			if (this._bytes > this._limits.keptBodyBytes) {
				stop();
				this._incoming.pause();
				onReady();
			}
		};

		const onEnd = () => {
			stop();
			this._isComplete = true;
			onReady();
		};

		const stop = () => {
			this._incoming.off('data', onData);
			this._incoming.off('end', onEnd);
			this._held.complete();
			this._onNoRoom = undefined;
		};

		this._onNoRoom = () => {
			stop();
			this._held.discard();
			onNoRoom();
		};

		this._incoming.on('data', onData);
		this._incoming.on('end', onEnd);
	}

	/** Returns the body for an attempt: bytes if it is buffered completely, otherwise a stream that can be read only once. */
	toSend(): Uint8Array | Readable | undefined {
		if (this._isComplete) {
			return this._bytes === 0 ? undefined : this.buffered;
		}

		return this._openStream();
	}

	/** Frees the room in the budget of buffered bodies once the call is over. */
	release(): void {
		this._onNoRoom = undefined;
		this._held.release();
	}

	/** Discards the rest of a body that no backend server reads, so that the connection can carry the next call. */
	discard(): void {
		discardBody(this._incoming, this._limits.bodyBytes);
	}

	/** The body as a stream. If its reader drops it, the rest stays in the caller's connection until `discard`. */
	private _openStream(): Readable {
		const stream = new PassThrough();
		stream.write(this._held.take());
		this._incoming.on('data', (chunk: Uint8Array) => {
			this._bytes += chunk.length;
			if (this._bytes > this._limits.bodyBytes) {
				stream.destroy(new BodyTooLarge());
			}
		});
		this._incoming.once('close', () => {
			if (!this._incoming.complete) {
				stream.destroy(new BodyIncomplete());
			}
		});
		// Without a listener, an error of a stream that was dropped would end the process.
		stream.on('error', () => undefined);
		this._incoming.pipe(stream);
		return stream;
	}
}
