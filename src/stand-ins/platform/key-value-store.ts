/** State of the key-value service: revisions, compare-and-swap, leases, and tombstones for watches. */
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {
	type StoreEntry, type StoreOperation, type StoreReply,
} from '../../common/platform/types.ts';
import {type StorePosition} from '../../common/platform/store-position.ts';

/** The platform rejects longer values. */
export const maxValueBytes = 1_048_576;

type Lease = {readonly milliseconds: Milliseconds; expiresAt: Instant; readonly keys: Set<string>};

type ImmediateOperation = Exclude<StoreOperation, {type: 'watch'}>;

/** Has no clock: callers pass the current time. Leases expire in `handle` and `expireLeases`. */
export class KeyValueStore {
	private _entries = new Map<string, StoreEntry>();
	private _deleted = new Map<string, StorePosition>();
	private readonly _leases = new Map<string, Lease>();
	private _revision: StorePosition = 0;
	private _nextLease = 1;

	/** Position of the latest write. */
	get revision(): StorePosition {
		return this._revision;
	}

	/** Returns an independent copy, which serves as a stale replica. */
	copy(): KeyValueStore {
		const copied = new KeyValueStore();
		copied._entries = new Map(this._entries);
		copied._deleted = new Map(this._deleted);
		copied._revision = this._revision;
		return copied;
	}

	/** Executes an operation other than a watch. Returns undefined if the value is too long. */
	handle(operation: ImmediateOperation, now: Instant): StoreReply | undefined {
		this.expireLeases(now);
		switch (operation.type) {
			case 'get': {
				return {type: 'entry', entry: this._entries.get(operation.key), revision: this._revision};
			}

			case 'list': {
				return {type: 'entries', entries: this._entriesWithPrefix(operation.prefix, 0), revision: this._revision};
			}

			case 'compare-and-swap': {
				return this._compareAndSwap(operation);
			}

			case 'delete': {
				return this._delete(operation);
			}

			// Only a fleet led by the platform's store writes several keys at once, and that store has a stand-in of its own.
			case 'write-all': {
				return {type: 'unavailable'};
			}

			case 'grant-lease': {
				const leaseId = `lease-${this._nextLease++}`;
				this._leases.set(leaseId, {milliseconds: operation.milliseconds, expiresAt: now + operation.milliseconds, keys: new Set()});
				return {type: 'lease', leaseId, milliseconds: operation.milliseconds};
			}

			case 'keep-lease': {
				return this._keepLease(operation.leaseId, now);
			}

			case 'revoke-lease': {
				return this._endLease(operation.leaseId) ? {type: 'written', revision: this._revision} : {type: 'lease-lost'};
			}
		}
	}

	/** Returns the changes under the prefix after the revision; undefined if there are none. */
	changes(prefix: string, after: StorePosition): Extract<StoreReply, {type: 'changes'}> | undefined {
		const entries = this._entriesWithPrefix(prefix, after);
		const deleted = [...this._deleted].filter(([key, revision]) => revision > after && key.startsWith(prefix)).map(([key]) => key);
		return entries.length + deleted.length === 0
			? undefined
			: {
				type: 'changes', entries, deleted, revision: this._revision,
			};
	}

	/** Removes expired leases and their keys. Returns whether a key was removed. */
	expireLeases(now: Instant): boolean {
		const before = this._revision;
		for (const [leaseId, lease] of this._leases) {
			if (lease.expiresAt <= now) {
				this._endLease(leaseId);
			}
		}

		return this._revision !== before;
	}

	private _entriesWithPrefix(prefix: string, after: StorePosition): StoreEntry[] {
		return [...this._entries.values()]
			.filter(entry => entry.revision > after && entry.key.startsWith(prefix))
			.toSorted((first, second) => first.key < second.key ? -1 : 1);
	}

	private _compareAndSwap(operation: Extract<StoreOperation, {type: 'compare-and-swap'}>): StoreReply | undefined {
		const {key, expected, value, leaseId} = operation;
		if (value.length > maxValueBytes) {
			return undefined;
		}

		const current = this._entries.get(key);
		if ((current?.revision ?? 0) !== expected) {
			return {type: 'conflict', entry: current};
		}

		const lease = leaseId === undefined ? undefined : this._leases.get(leaseId);
		if (leaseId !== undefined && lease === undefined) {
			return {type: 'lease-lost'};
		}

		// Detaches the key from any earlier lease, whose end would otherwise remove the new value.
		for (const other of this._leases.values()) {
			other.keys.delete(key);
		}

		this._revision++;
		this._deleted.delete(key);
		this._entries.set(key, {key, value, revision: this._revision});
		lease?.keys.add(key);
		return {type: 'written', revision: this._revision};
	}

	private _delete(operation: Extract<StoreOperation, {type: 'delete'}>): StoreReply {
		const current = this._entries.get(operation.key);
		if ((current?.revision ?? 0) !== operation.expected) {
			return {type: 'conflict', entry: current};
		}

		this._remove(operation.key);
		return {type: 'written', revision: this._revision};
	}

	private _remove(key: string): void {
		if (this._entries.delete(key)) {
			this._revision++;
			this._deleted.set(key, this._revision);
		}
	}

	private _keepLease(leaseId: string, now: Instant): StoreReply {
		const lease = this._leases.get(leaseId);
		if (lease === undefined) {
			return {type: 'lease-lost'};
		}

		lease.expiresAt = now + lease.milliseconds;
		return {type: 'lease', leaseId, milliseconds: lease.milliseconds};
	}

	private _endLease(leaseId: string): boolean {
		const lease = this._leases.get(leaseId);
		if (lease === undefined) {
			return false;
		}

		this._leases.delete(leaseId);
		for (const key of lease.keys) {
			this._remove(key);
		}

		return true;
	}
}
