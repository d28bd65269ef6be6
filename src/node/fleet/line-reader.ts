/** Splits a stream of bytes into lines. */
import {HeldBytes} from '../memory/held-bytes.ts';
import {MemoryBudget} from '../memory/memory-budget.ts';

/** Byte at the end of a line; in UTF-8 it is never part of another character. */
const lineEnd = 0x0A;

export class LineReader {
	private readonly _maxBytes: number;
	private readonly _incompleteLine: HeldBytes;

	/**
	 * `maxBytes` = maximum length of an incomplete line; `budget` = bound for the incomplete lines of all readers together;
	 * `onEvicted` is called if an incomplete line has to give way to others.
	 */
	constructor(maxBytes: number, budget = new MemoryBudget(Number.POSITIVE_INFINITY), onEvicted?: () => void) {
		this._maxBytes = maxBytes;
		this._incompleteLine = new HeldBytes(budget, onEvicted);
	}

	/** Returns the lines that end in this chunk; undefined = the incomplete line is too long, and the stream cannot be read further. */
	read(chunk: Uint8Array): readonly string[] | undefined {
		const end = chunk.lastIndexOf(lineEnd);
		const lines = end === -1 ? [] : Buffer.concat([this._incompleteLine.take(), chunk.subarray(0, end)]).toString().split('\n');
		const rest = chunk.subarray(end + 1);
		const isShort = this._incompleteLine.bytes + rest.length <= this._maxBytes;
		return isShort && (rest.length === 0 || this._incompleteLine.append(rest)) ? lines : undefined;
	}

	/** Frees the room of the incomplete line. */
	discard(): void {
		this._incompleteLine.discard();
	}
}
