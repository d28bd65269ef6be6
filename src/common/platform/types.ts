/**
 * Interface of the platform: a small key-value store with compare-and-swap, leases and watches, and a delayed list of
 * VMs. Requests and replies are plain data, so that the state machines can emit requests as effects; a socket client in
 * src/node/platform executes them.
 */
import {type Milliseconds} from '../model/units.ts';
import {type StoreEra, type StorePosition} from './store-position.ts';

/** A key-value pair as read from the store. */
export type StoreEntry = {
	readonly key: string;
	/** At most 1 MB. */
	readonly value: string;
	/** Position of the last write of this key, to be passed as the expected revision of a compare-and-swap. */
	readonly revision: StorePosition;
	/** Position at which the key was created; later writes leave it unchanged. */
	readonly createdAt?: StorePosition;
};

/** One write of a transaction, in which either all writes are applied or none. */
export type StoreWrite = {
	readonly key: string;
	/** Position that the key must have; 0 = the key must not exist. */
	readonly expected: StorePosition;
	/** undefined = delete the key. */
	readonly value: string | undefined;
};

/** A request to the store. Each counts as one call, a pending watch included. */
export type StoreOperation
	= | {readonly type: 'get'; readonly key: string}
	/** `allowsStale` = the list may be some seconds old, which costs less; its revision shows how old. */
		| {readonly type: 'list'; readonly prefix: string; readonly allowsStale?: boolean}
	/** Writes only if the key's revision is `expected` (0 = only if the key does not exist). The key is deleted when the lease ends. */
		| {readonly type: 'compare-and-swap'; readonly key: string; readonly expected: StorePosition; readonly value: string; readonly leaseId?: string}
		| {readonly type: 'delete'; readonly key: string; readonly expected: StorePosition}
	/** At most 16 writes, of which either all are applied or none. The keys written are attached to the lease. */
		| {readonly type: 'write-all'; readonly writes: readonly StoreWrite[]; readonly leaseId: string}
		| {readonly type: 'grant-lease'; readonly milliseconds: Milliseconds}
		| {readonly type: 'keep-lease'; readonly leaseId: string}
		| {readonly type: 'revoke-lease'; readonly leaseId: string}
	/** Waits until a key with the prefix has a change later than the revision, for at most the given time. */
		| {readonly type: 'watch'; readonly prefix: string; readonly after: StorePosition; readonly milliseconds: Milliseconds};

/** A reply of the store. `era` = era in which it was given; absent if there was no response or the store reports none. */
export type StoreReply = StoreResult & {readonly era?: StoreEra};

type StoreResult
	= | {readonly type: 'entry'; readonly entry: StoreEntry | undefined; readonly revision: StorePosition}
		| {readonly type: 'entries'; readonly entries: readonly StoreEntry[]; readonly revision: StorePosition}
		| {readonly type: 'written'; readonly revision: StorePosition}
	/** The compare-and-swap found another revision; `entry` is the current entry. */
		| {readonly type: 'conflict'; readonly entry: StoreEntry | undefined}
	/** A key did not have the expected revision and nothing was written. `revisions` has the current one of each key; 0 = no such key. */
		| {readonly type: 'not-all-as-expected'; readonly revisions: ReadonlyMap<string, StorePosition>}
		| {readonly type: 'lease'; readonly leaseId: string; readonly milliseconds: Milliseconds}
		| {readonly type: 'lease-lost'}
	/** Changed entries and deleted keys; both lists are empty if nothing changed within the time. */
		| {readonly type: 'changes'; readonly entries: readonly StoreEntry[]; readonly deleted: readonly string[]; readonly revision: StorePosition}
	/** The store no longer has the changes after the revision; the client must list all entries again. */
		| {readonly type: 'history-lost'}
	/** The request did not reach the store and had no effect. */
		| {readonly type: 'unavailable'}
	/** The reply was lost or late; a write may or may not have been applied. */
		| {readonly type: 'unknown'};

/** A VM in the platform's list, which lags behind the actual state. */
export type ListedVm = {
	readonly address: string;
	readonly dataCentre: string;
	readonly state: 'live' | 'leaving';
};
