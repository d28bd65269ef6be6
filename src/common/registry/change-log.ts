/** What this VM knows of the store, kept as it was read so that other VMs can learn it from here. */
import {type Revision, type StoreEntry} from '../platform/types.ts';

/** Entries that are gone and remembered: several times a large fleet's VMs, for the seconds in which peers settle what is lost. */
const mostRememberedGone = 2000;

/** Entries as they stand in the store; heartbeats that change nothing else are not told. */
export class ChangeLog {
	private readonly _entries = new Map<string, StoreEntry>();
	private _changed = new Map<string, StoreEntry>();
	private _removed = new Set<string>();
	/** Revisions of entries that are gone, the earliest first. */
	private readonly _gone = new Map<string, Revision>();

	/** All that is known now. */
	get entries(): Iterable<StoreEntry> {
		return this._entries.values();
	}

	/** Revision of the last write of this key that was taken in; undefined = there is no such key. */
	revisionOf(key: string): Revision | undefined {
		return this._entries.get(key)?.revision;
	}

	/** Revision at which this key came to be. */
	createdAt(key: string): Revision | undefined {
		const entry = this._entries.get(key);
		return entry?.createdAt ?? entry?.revision;
	}

	/**
	 * Takes an entry in; one that means nothing new (`isChange` false) is only kept for VMs that come later. A key that was
	 * removed and written again between two reads is told all the same: a VM that listens may have heard of the removal
	 * from another one.
	 */
	put(entry: StoreEntry, isChange: boolean): void {
		const known = this._entries.get(entry.key);
		const isRecreated = known !== undefined && known.createdAt !== entry.createdAt;
		this._entries.set(entry.key, entry);
		if (isChange || isRecreated) {
			this._changed.set(entry.key, entry);
			this._removed.delete(entry.key);
		}
	}

	/**
	 * Whether this entry, or a later one of its key, was known here and is gone. A peer may still hold it: it waits for a VM
	 * that it takes to have lapsed. An owner that comes back writes a later one.
	 */
	isGone({key, revision}: StoreEntry): boolean {
		return revision <= (this._gone.get(key) ?? -1);
	}

	remove(key: string): void {
		const known = this._entries.get(key);
		if (known !== undefined && this._entries.delete(key)) {
			this._remember(known);
			this._changed.delete(key);
			this._removed.add(key);
		}
	}

	private _remember({key, revision}: StoreEntry): void {
		this._gone.delete(key);
		this._gone.set(key, revision);
		if (this._gone.size > mostRememberedGone) {
			const [earliest] = this._gone.keys();
			this._gone.delete(earliest!);
		}
	}

	/** Changes since the last call; undefined = there are none. */
	takeChanges(): {readonly entries: readonly StoreEntry[]; readonly deleted: readonly string[]} | undefined {
		if (this._changed.size === 0 && this._removed.size === 0) {
			return undefined;
		}

		const changes = {entries: [...this._changed.values()], deleted: [...this._removed]};
		this._changed = new Map();
		this._removed = new Set();
		return changes;
	}
}
