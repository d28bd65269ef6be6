/** Buffers an answer until it is complete or exceeds the buffer limit. */
import {type ParsedAnswerHead} from '../../common/protocol/dialect.ts';

/**
 * Protects callers from truncated answers. Once the head is sent to the caller, a failure of the backend server can only
 * truncate the answer. While the answer is buffered, an idempotent call can still be retried on another backend server.
 */
export class HeldAnswer {
	readonly parsedHead: ParsedAnswerHead;
	/** The last byte has been received. */
	isComplete = false;
	private readonly _maxBytes: number;
	private _chunks: Uint8Array[] = [];
	private _bytes = 0;

	/** `maxBytes`: size of the buffer. */
	constructor(maxBytes: number, parsedHead: ParsedAnswerHead) {
		this._maxBytes = maxBytes;
		this.parsedHead = parsedHead;
	}

	get bytes(): number {
		return this._bytes;
	}

	/** Adds a chunk; returns false if the answer now exceeds the buffer limit. */
	add(chunk: Uint8Array): boolean {
		this._chunks.push(chunk);
		this._bytes += chunk.length;
		return this._bytes <= this._maxBytes;
	}

	/** Removes and returns all buffered chunks. */
	take(): readonly Uint8Array[] {
		const chunks = this._chunks;
		this._chunks = [];
		return chunks;
	}
}
