/** An answer that is held until it is whole, or too large to be held. */
import {type AnswerReading} from '../../common/protocol/dialect.ts';

/**
 * Guards callers against answers that break off: once the head has gone out, a call can only be broken off too. Held
 * until its last byte, the answer of an idempotent call can be had from another backend server instead.
 */
export class HeldAnswer {
	readonly reading: AnswerReading;
	/** The last byte is there. */
	isWhole = false;
	private readonly _limit: number;
	private _chunks: Uint8Array[] = [];
	private _bytes = 0;

	/** `limit` = most bytes held. */
	constructor(limit: number, reading: AnswerReading) {
		this._limit = limit;
		this.reading = reading;
	}

	get bytes(): number {
		return this._bytes;
	}

	/** Takes a piece in; false = the answer has become too large to be held on. */
	add(chunk: Uint8Array): boolean {
		this._chunks.push(chunk);
		this._bytes += chunk.length;
		return this._bytes <= this._limit;
	}

	/** Hands the pieces over. */
	take(): readonly Uint8Array[] {
		const chunks = this._chunks;
		this._chunks = [];
		return chunks;
	}
}
