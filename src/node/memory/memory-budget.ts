/** Bounds the memory whose amount callers, other VMs and backend servers determine. */
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type Instant, type Milliseconds} from '../../common/model/units.ts';

/** Bytes that count towards a budget. */
export type MemoryClaim = {
	/** Called if the room is needed for others; the claim is released already. Undefined = the claim never gives way. */
	readonly onEvicted: (() => void) | undefined;
};

/** Time without progress after which an incomplete message gives way to others. */
const minIdleMilliseconds: Milliseconds = 1000;

/**
 * A number of bytes that all holders of one kind may use together. A claim that finds no room is refused, unless incomplete
 * messages without progress can give way: otherwise senders that stop in the middle of a message could shut out all others.
 */
export class MemoryBudget extends Disposable {
	private readonly _maxBytes: number;
	private readonly _now: () => Instant;
	private readonly _bytes = new Map<MemoryClaim, number>();
	/** Latest progress of the claims that may give way, the one without progress for the longest time first. */
	private readonly _progress = new Map<MemoryClaim, Instant>();
	private readonly _onRefused = this._register(new Emitter<void>());
	private _heldBytes = 0;

	/** Fires if a claim finds no room, or is evicted. */
	readonly onRefused = this._onRefused.event;

	/** `maxBytes` = bound for all claims together; `now` = monotonic clock. */
	constructor(maxBytes: number, now: () => Instant = () => performance.now()) {
		super();
		this._maxBytes = maxBytes;
		this._now = now;
	}

	/** Bytes that are held now. */
	get heldBytes(): number {
		return this._heldBytes;
	}

	/** Adds bytes to the claim; returns false if there is no room, and the claim then stays as it was. */
	hold(claim: MemoryClaim, bytes: number): boolean {
		if (this._heldBytes + bytes > this._maxBytes) {
			this._evictIdle(bytes, claim);
		}

		if (this._heldBytes + bytes > this._maxBytes) {
			this._onRefused.fire();
			return false;
		}

		this._heldBytes += bytes;
		this._bytes.set(claim, (this._bytes.get(claim) ?? 0) + bytes);
		if (claim.onEvicted !== undefined) {
			this._progress.set(claim, 0);
			this.recordProgress(claim);
		}

		return true;
	}

	/** Records that bytes of the claim's message have arrived, unless it is complete. */
	recordProgress(claim: MemoryClaim): void {
		if (this._progress.delete(claim)) {
			this._progress.set(claim, this._now());
		}
	}

	/** Marks the claim's message as complete, so that it does not give way any more. */
	complete(claim: MemoryClaim): void {
		this._progress.delete(claim);
	}

	/** Frees the bytes of the claim. Repeated calls have no effect. */
	release(claim: MemoryClaim): void {
		this._heldBytes -= this._bytes.get(claim) ?? 0;
		this._bytes.delete(claim);
		this._progress.delete(claim);
	}

	/** Evicts claims without progress until there is room for these bytes. */
	private _evictIdle(bytes: number, except: MemoryClaim): void {
		const idleSince = this._now() - minIdleMilliseconds;
		for (const [claim, progressAt] of this._progress) {
			if (progressAt > idleSince || this._heldBytes + bytes <= this._maxBytes) {
				return;
			}

			if (claim !== except) {
				this.release(claim);
				this._onRefused.fire();
				claim.onEvicted?.();
			}
		}
	}
}
