/**
 * The platform's service as jaydale sees it: a small key-value service with compare-and-swap, leases
 * and watches, and a lagging list of VMs. Requests and replies are data, so that the deciders can
 * ask for them as effects; a client with sockets carries them out (src/node/platform).
 */
import {type Milliseconds} from '../model/units.ts';

/** Revision of the whole key-value service; grows with each write. 0 stands for "absent". */
export type Revision = number;

/** A key with its value, as read. */
export type StoreEntry = {
	readonly key: string;
	/** At most one megabyte. */
	readonly value: string;
	/** Revision of the latest write of this key; what a compare-and-swap names. */
	readonly revision: Revision;
	/** Revision at which the key came to be; later writes leave it as it is. */
	readonly createdAt?: Revision;
};

/** One of several writes that are made together or not at all. */
export type StoreWrite = {
	readonly key: string;
	/** Revision that the key must have; 0 = it must not be there. */
	readonly expected: Revision;
	/** undefined = the key is removed. */
	readonly value: string | undefined;
};

/** A request to the key-value service. Each counts as one call there, a waiting watch too. */
export type StoreOperation
	= | {readonly type: 'get'; readonly key: string}
	/** `mayBeOld` = a copy of some seconds ago will do, which costs less; its revision says how old. */
		| {readonly type: 'list'; readonly prefix: string; readonly mayBeOld?: boolean}
	/** Writes only if the key's revision is `expected` (0 = only if absent). A lease removes it when it lapses. */
		| {readonly type: 'compare-and-swap'; readonly key: string; readonly expected: Revision; readonly value: string; readonly leaseId?: string}
		| {readonly type: 'delete'; readonly key: string; readonly expected: Revision}
	/** At most 16 writes, made together or not at all. What is put is held by the lease. */
		| {readonly type: 'write-all'; readonly writes: readonly StoreWrite[]; readonly leaseId: string}
		| {readonly type: 'grant-lease'; readonly milliseconds: Milliseconds}
		| {readonly type: 'keep-lease'; readonly leaseId: string}
		| {readonly type: 'revoke-lease'; readonly leaseId: string}
	/** Waits until a key under the prefix changes after the revision, at most for the time given. */
		| {readonly type: 'watch'; readonly prefix: string; readonly after: Revision; readonly milliseconds: Milliseconds};

/** A reply of the key-value service. */
export type StoreReply
	= | {readonly type: 'entry'; readonly entry: StoreEntry | undefined; readonly revision: Revision}
		| {readonly type: 'entries'; readonly entries: readonly StoreEntry[]; readonly revision: Revision}
		| {readonly type: 'written'; readonly revision: Revision}
	/** The compare-and-swap lost; `entry` is what stands there now. */
		| {readonly type: 'conflict'; readonly entry: StoreEntry | undefined}
	/** A key had another revision than expected: nothing was written. Those of all keys now; 0 = not there. */
		| {readonly type: 'not-all-as-expected'; readonly revisions: ReadonlyMap<string, Revision>}
		| {readonly type: 'lease'; readonly leaseId: string; readonly milliseconds: Milliseconds}
		| {readonly type: 'lease-lost'}
	/** What changed; deleted keys are named. No change within the time: both lists empty. */
		| {readonly type: 'changes'; readonly entries: readonly StoreEntry[]; readonly deleted: readonly string[]; readonly revision: Revision}
	/** The changes after the revision are no longer kept: everything must be listed again. */
		| {readonly type: 'history-lost'}
	/** The request did not reach the service: it had no effect. */
		| {readonly type: 'unavailable'}
	/** The answer was lost or late: a write may or may not have taken effect. */
		| {readonly type: 'unknown'};

/** A VM as the platform lists it; the list lags behind reality. */
export type ListedVm = {
	readonly address: string;
	readonly dataCentre: string;
	readonly state: 'live' | 'leaving';
};
