/** Entries that a restored store contains although this VM knows that they were removed later. */
import {type StoreEntry} from '../platform/types.ts';
import {type RegistryContext} from './registry-context.ts';
import {type FeedFrame} from './types.ts';

/** Heartbeat intervals after which the store has removed the entries of backend servers that are gone. */
const heartbeatsToLapse = 4;

/**
 * Keeps entries back until the store has had time to remove them again: backend servers that have left, or evacuations
 * that have ended. An entry that its owner writes in the meantime applies at once.
 */
export class RevertedRemovals {
	private readonly _context: RegistryContext;
	private readonly _onConfirmed: (entries: readonly StoreEntry[]) => void;
	private readonly _withheld = new Map<string, StoreEntry>();

	/** `onConfirmed` = these entries were not removed again, so that they apply. */
	constructor(context: RegistryContext, onConfirmed: (entries: readonly StoreEntry[]) => void) {
		this._context = context;
		this._onConfirmed = onConfirmed;
	}

	withhold(entry: StoreEntry): void {
		this._withheld.set(entry.key, entry);
		this._context.timers.set('reverted-removals', this._context.now + (heartbeatsToLapse * this._context.settings.heartbeatMilliseconds), () => {
			const entries = [...this._withheld.values()];
			this._withheld.clear();
			this._onConfirmed(entries);
		});
	}

	has(entry: StoreEntry): boolean {
		return this._withheld.get(entry.key) === entry;
	}

	/** Releases the entries that another VM has seen removed. */
	handleFrame({isWhole, entries, deleted}: FeedFrame): void {
		if (isWhole) {
			this.retain(new Set(entries.map(entry => entry.key)));
		} else {
			for (const key of deleted) {
				this.release(key);
			}
		}
	}

	/** Releases the entries with other keys. */
	retain(keys: ReadonlySet<string>): void {
		for (const key of this._withheld.keys()) {
			if (!keys.has(key)) {
				this.release(key);
			}
		}
	}

	/** The key was written or removed since; true = its entry was withheld. */
	release(key: string): boolean {
		return this._withheld.delete(key);
	}
}
