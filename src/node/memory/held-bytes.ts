/** Collects the pieces of a message in few buffers. */
import {type MemoryBudget, type MemoryClaim} from './memory-budget.ts';

/** Sizes of the blocks into which small pieces are copied; each block is as large as all before it, within these limits. */
const minBlockBytes = 1024;
const maxBlockBytes = 16_384;

/**
 * Bytes that arrive in pieces of any size. Each piece would otherwise stay an object in the JavaScript heap that is several
 * times larger than a small piece, and could keep the whole read alive that it came in.
 */
export class HeldBytes implements MemoryClaim {
	readonly onEvicted: (() => void) | undefined;
	private readonly _budget: MemoryBudget;
	private _blocks: Buffer[] = [];
	private _allocatedBytes = 0;
	/** Bytes used in the last block. */
	private _usedBytes = 0;
	private _bytes = 0;
	private _isReleased = false;

	/** `onEvicted` is called if the message gives way to others before it is complete, and must then discard it. Undefined = it never does. */
	constructor(budget: MemoryBudget, onEvicted?: () => void) {
		this._budget = budget;
		this.onEvicted = onEvicted;
	}

	/** Number of bytes collected. */
	get bytes(): number {
		return this._bytes;
	}

	/** All bytes, joined. */
	get contents(): Buffer {
		if (this._blocks.length > 1) {
			this._blocks = [Buffer.concat(this._blocks, this._bytes)];
			this._usedBytes = this._bytes;
		}

		return this._blocks[0]?.subarray(0, this._bytes) ?? Buffer.alloc(0);
	}

	/** Adds a copy of the piece. Returns false if the budget has no room for it or the claim was released. */
	append(piece: Uint8Array): boolean {
		const last = this._blocks.at(-1);
		const fittingBytes = Math.min(piece.length, (last?.length ?? 0) - this._usedBytes);
		const restBytes = piece.length - fittingBytes;
		const blockBytes = Math.max(restBytes, Math.min(maxBlockBytes, Math.max(minBlockBytes, this._allocatedBytes)));
		if (this._isReleased || (restBytes > 0 && !this._budget.hold(this, blockBytes))) {
			return false;
		}

		last?.set(restBytes === 0 ? piece : piece.subarray(0, fittingBytes), this._usedBytes);
		this._usedBytes += fittingBytes;
		this._bytes += piece.length;
		if (restBytes > 0) {
			const block = Buffer.allocUnsafeSlow(blockBytes);
			block.set(piece.subarray(fittingBytes));
			this._blocks.push(block);
			this._allocatedBytes += blockBytes;
			this._usedBytes = restBytes;
		} else {
			this._budget.recordProgress(this);
		}

		return true;
	}

	/** Marks the message as complete; from then on it is never evicted. */
	complete(): void {
		this._budget.complete(this);
	}

	/** Returns all bytes and keeps none. */
	take(): Buffer {
		const {contents} = this;
		this._clear();
		this._budget.release(this);
		return contents;
	}

	/** Ends the claim while the bytes may still be in use; they no longer count, and none are added. */
	release(): void {
		this._isReleased = true;
		this._budget.release(this);
	}

	/** Drops all bytes; none are added any more. */
	discard(): void {
		this._clear();
		this.release();
	}

	private _clear(): void {
		this._blocks = [];
		this._allocatedBytes = 0;
		this._usedBytes = 0;
		this._bytes = 0;
	}
}
