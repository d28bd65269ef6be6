/** Buffers an answer until it is complete or exceeds the buffer limit. */
import {type ParsedAnswerHead} from '../../common/protocol/dialect.ts';
import {HeldBytes} from '../memory/held-bytes.ts';
import {type MemoryBudget} from '../memory/memory-budget.ts';

/**
 * Protects callers from truncated answers. Once the head is sent to the caller, a failure of the backend server can only
 * truncate the answer. While the answer is buffered, an idempotent call can still be retried on another backend server.
 */
export class HeldAnswer {
	readonly parsedHead: ParsedAnswerHead;
	/** The last byte has been received. */
	isComplete = false;
	private readonly _maxBytes: number;
	private readonly _held: HeldBytes;
	/** Chunks that arrived after the buffer was full, and before the answer is forwarded. */
	private _overflow: Uint8Array[] = [];
	private _overflowBytes = 0;

	/** `maxBytes`: size of the buffer; `budget`: bound for the buffers of all answers together. */
	constructor(maxBytes: number, parsedHead: ParsedAnswerHead, budget: MemoryBudget) {
		this._maxBytes = maxBytes;
		this.parsedHead = parsedHead;
		this._held = new HeldBytes(budget);
	}

	get bytes(): number {
		return this._held.bytes + this._overflowBytes;
	}

	/** Adds a chunk; returns false if the answer now exceeds the buffer limit or the budget, and must be forwarded. */
	add(chunk: Uint8Array): boolean {
		if (this._overflowBytes === 0 && this._held.append(chunk)) {
			return this._held.bytes <= this._maxBytes;
		}

		this._overflow.push(chunk);
		this._overflowBytes += chunk.length;
		return false;
	}

	/** Removes and returns all buffered chunks. */
	take(): readonly Uint8Array[] {
		const chunks = [this._held.take(), ...this._overflow].filter(({length}) => length > 0);
		this._overflow = [];
		this._overflowBytes = 0;
		return chunks;
	}

	/** Frees the room in the budget once the answer is not needed any more. */
	release(): void {
		this._held.release();
	}
}
