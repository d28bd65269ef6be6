/** Store entries known to this VM, and their changes since the last frame, for publication to other VMs. */
import {type StoreEntry} from '../platform/types.ts';
import {isLater, precedesRestore, type StorePosition} from '../platform/store-position.ts';

/**
 * Removed entries that are remembered: several times the VMs of a large fleet, for the seconds in which peers decide
 * which VMs are lost.
 */
const maxRememberedRemovals = 2000;

/** Entries as in the store. Heartbeats that change nothing else are not published. */
export class ChangeLog {
	private readonly _entries = new Map<string, StoreEntry>();
	private _changed = new Map<string, StoreEntry>();
	private _removed = new Set<string>();
	/** Revisions of removed entries, the earliest first. */
	private readonly _removedRevisions = new Map<string, StorePosition>();

	/** All known entries. */
	get entries(): Iterable<StoreEntry> {
		return this._entries.values();
	}

	/** Position of the last known write of this key; undefined = no such key. */
	revisionOf(key: string): StorePosition | undefined {
		return this._entries.get(key)?.revision;
	}

	valueOf(key: string): string | undefined {
		return this._entries.get(key)?.value;
	}

	/** Position at which this key was created. */
	createdAt(key: string): StorePosition | undefined {
		const entry = this._entries.get(key);
		return entry?.createdAt ?? entry?.revision;
	}

	/**
	 * Stores an entry. One without a change (`isChange` is false) is stored only for the snapshots of later followers.
	 * A key that was deleted and created again between two reads is always published, since a follower may have
	 * received the deletion from another VM.
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
	 * Whether this entry, or a later one of its key, was known and has been removed. A peer may still hold the entry
	 * while it decides whether the VM is lost. An owner that registers again writes a later revision.
	 */
	isRemoved({key, revision}: StoreEntry): boolean {
		return !isLater(revision, this._removedRevisions.get(key) ?? -1);
	}

	/** Whether this key was removed before the restore of the store from which the entry was read. */
	wasRemovedBeforeRestore({key, revision}: StoreEntry): boolean {
		const removed = this._removedRevisions.get(key);
		return removed !== undefined && !this._entries.has(key) && precedesRestore(removed, revision);
	}

	/** Whether this key was last written before the restore of the store from which the entry was read. */
	wasWrittenBeforeRestore({key, revision}: StoreEntry): boolean {
		const known = this._entries.get(key);
		return known !== undefined && precedesRestore(known.revision, revision);
	}

	remove(key: string): void {
		const known = this._entries.get(key);
		if (known !== undefined && this._entries.delete(key)) {
			this._rememberRemoval(known);
			this._changed.delete(key);
			this._removed.add(key);
		}
	}

	/** Publishes the removal of a key that others may know. */
	publishRemoval(key: string): void {
		this._removed.add(key);
	}

	private _rememberRemoval({key, revision}: StoreEntry): void {
		this._removedRevisions.delete(key);
		this._removedRevisions.set(key, revision);
		if (this._removedRevisions.size > maxRememberedRemovals) {
			const [earliest] = this._removedRevisions.keys();
			this._removedRevisions.delete(earliest!);
		}
	}

	/** Returns the changes since the last call; undefined = none. */
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
