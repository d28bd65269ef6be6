/** In-memory implementation of the platform's key-value service, for tests of the fleet engine. */
import {type Instant} from '../model/units.ts';
import {type StoreEntry, type StoreOperation, type StoreReply} from '../platform/types.ts';

export const testLeaseMilliseconds = 9000;

/** Key-value store with leases. A watch returns at once; the fake fleet makes it wait. */
export class FakeStore {
	revision = 0;
	calls = 0;
	readonly entries = new Map<string, StoreEntry & {readonly leaseId?: string}>();
	private readonly _leases = new Map<string, Instant>();
	private _nextLease = 1;

	expire(now: Instant): void {
		for (const [leaseId, until] of this._leases) {
			if (until <= now) {
				this._dropLease(leaseId);
			}
		}
	}

	execute(operation: StoreOperation, now: Instant): StoreReply {
		this.expire(now);
		switch (operation.type) {
			case 'get': {
				return {type: 'entry', entry: this.entries.get(operation.key), revision: this.revision};
			}

			case 'list': {
				return {type: 'entries', entries: [...this.entries.values()].filter(({key}) => key.startsWith(operation.prefix)), revision: this.revision};
			}

			case 'compare-and-swap': {
				return this._swap(operation);
			}

			case 'delete': {
				this.entries.delete(operation.key);
				this.revision += 1;
				return {type: 'written', revision: this.revision};
			}

			// Used by the store-led engine only.
			case 'write-all': {
				return {type: 'unavailable'};
			}

			case 'watch': {
				const entries = [...this.entries.values()].filter(({key, revision}) => key.startsWith(operation.prefix) && revision > operation.after);
				return {
					type: 'changes', entries, deleted: [], revision: this.revision,
				};
			}

			case 'grant-lease':
			case 'keep-lease':
			case 'revoke-lease': {
				return this._lease(operation, now);
			}
		}
	}

	private _swap(operation: StoreOperation & {readonly type: 'compare-and-swap'}): StoreReply {
		const {key, value, leaseId} = operation;
		const entry = this.entries.get(key);
		if ((entry?.revision ?? 0) !== operation.expected) {
			return {type: 'conflict', entry};
		}

		if (leaseId !== undefined && !this._leases.has(leaseId)) {
			return {type: 'lease-lost'};
		}

		this.revision += 1;
		this.entries.set(key, {
			key, value, revision: this.revision, leaseId,
		});
		return {type: 'written', revision: this.revision};
	}

	private _lease(operation: StoreOperation, now: Instant): StoreReply {
		if (operation.type === 'grant-lease') {
			const leaseId = `lease-${this._nextLease}`;
			this._nextLease += 1;
			this._leases.set(leaseId, now + operation.milliseconds);
			return {type: 'lease', leaseId, milliseconds: operation.milliseconds};
		}

		if (operation.type === 'revoke-lease') {
			this._dropLease(operation.leaseId);
			return {type: 'written', revision: this.revision};
		}

		if (operation.type === 'keep-lease' && this._leases.has(operation.leaseId)) {
			this._leases.set(operation.leaseId, now + testLeaseMilliseconds);
			return {type: 'lease', leaseId: operation.leaseId, milliseconds: testLeaseMilliseconds};
		}

		return {type: 'lease-lost'};
	}

	private _dropLease(leaseId: string): void {
		this._leases.delete(leaseId);
		for (const [key, entry] of this.entries) {
			if (entry.leaseId === leaseId) {
				this.entries.delete(key);
				this.revision += 1;
			}
		}
	}
}
