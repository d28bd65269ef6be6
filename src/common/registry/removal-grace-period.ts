/** Holds entries that may have lapsed during an outage of the store, until their owners can have renewed them. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';

/**
 * How a missing entry is to be understood: `certain` = the sender has waited for its owner to register again;
 * `uncertain` = its owner may be alive if it could not renew it; `restored` = the store was restored from a backup and
 * may never have had the entry.
 */
export type RemovalCertainty = 'certain' | 'uncertain' | 'restored';

/**
 * Owners cannot renew their entries during an outage of the store, and the first list after it may lack all of them;
 * without a grace period every VM would be without backend servers at once. After an outage that is long enough for a
 * lapse, removed entries are held for `holdMilliseconds`. Owners that are alive have registered again by then; entries
 * still missing are removed.
 */
export class RemovalGracePeriod {
	private readonly _context: RegistryContext;
	private readonly _name: string;
	private readonly _onRemoved: (keys: readonly string[]) => void;
	private readonly _isReading: () => boolean;
	private readonly _missing = new Set<string>();
	private _endsAt: Instant = Number.NEGATIVE_INFINITY;
	private _isAfterRestore = false;

	/**
	 * `name` distinguishes the timers of several instances. `isReading` = whether this VM reads the store itself; a
	 * follower leaves removals to the VM that it follows.
	 */
	constructor(context: RegistryContext, name: string, onRemoved: (keys: readonly string[]) => void, isReading: () => boolean) {
		this._context = context;
		this._name = name;
		this._onRemoved = onRemoved;
		this._isReading = isReading;
	}

	/**
	 * Starts the grace period after an outage in which entries may have lapsed, or after a restore of the store, which
	 * may lack entries. After a restore each VM decides for itself: its source may never have known these entries.
	 */
	begin(holdMilliseconds: Milliseconds, isAfterRestore = false): void {
		this._isAfterRestore = isAfterRestore || (this._isAfterRestore && this._context.now < this._endsAt);
		this._endsAt = Math.max(this._endsAt, this._context.now + holdMilliseconds);
		this._context.timers.set(`removal-grace-${this._name}`, this._endsAt, () => {
			this._removeMissing();
		});
	}

	/** Holds a removed entry; false = the grace period is over and the entry is to be removed. */
	hold(key: string): boolean {
		if (this._context.now >= this._endsAt) {
			return false;
		}

		this._missing.add(key);
		return true;
	}

	/** Ends the hold of an entry that is in the store. */
	markPresent(key: string): void {
		this._missing.delete(key);
	}

	/**
	 * Removes the entries that are still missing, but only if this VM reads the store. A VM that has started to follow
	 * another one in the meantime would lose backend servers that are alive: an entry that lapsed and was written again
	 * is no change for its source, which does not publish it.
	 */
	private _removeMissing(): void {
		const removed = [...this._missing];
		this._missing.clear();
		if (removed.length > 0 && (this._isReading() || this._isAfterRestore)) {
			this._onRemoved(removed);
		}
	}
}
