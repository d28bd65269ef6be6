/** The platform's store in virtual time for tests of whole fleets: leases, watches, outages, and the cost of calls. */
import {type Timeline} from '../../proof/fuzz/timeline.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {
	type StoreEntry, type StoreOperation, type StoreReply,
} from '../platform/types.ts';
import {
	revisionOf, storePosition, type StoreEra, type StorePosition,
} from '../platform/store-position.ts';

/** Default time for a request and its reply. */
const defaultReplyMilliseconds: Milliseconds = 5;

/** A client treats a reply as lost after this time. */
const replyTimeoutMilliseconds: Milliseconds = 2000;

/** Most entries in one page of a list. */
const pageEntries = 500;

/** Most conditions and writes in one transaction. */
const maxTransactionEntries = 32;

/** Cost of reads that may be stale, and of renewals, as a fraction of a call's cost. */
const reducedCost = 0.1;

type StoredEntry = StoreEntry & {readonly leaseId: string | undefined};
type StoreEvent = {readonly revision: StorePosition; readonly key: string; readonly entry: StoreEntry | undefined};
type PendingWatch = {readonly prefix: string; readonly after: StorePosition; readonly end: (reply: StoreReply) => void};
type OnReply = (reply: StoreReply) => void;

/** State of the store at one moment, from which it can be restored later. */
export type StoreBackup = {
	readonly entries: ReadonlyMap<string, StoredEntry>;
	readonly terms: ReadonlyMap<string, Milliseconds>;
	readonly revision: StorePosition;
	readonly lastLease: number;
};

/** Replaces the positions in a request by revisions. */
function withRevisions(operation: StoreOperation): StoreOperation {
	switch (operation.type) {
		case 'watch': {
			return {...operation, after: revisionOf(operation.after)};
		}

		case 'compare-and-swap':
		case 'delete': {
			return {...operation, expected: revisionOf(operation.expected)};
		}

		case 'write-all': {
			return {...operation, writes: operation.writes.map(write => ({...write, expected: revisionOf(write.expected)}))};
		}

		default: {
			return operation;
		}
	}
}

/** Replaces the revisions in a reply by positions in this era. */
function withPositions(reply: StoreReply, era: StoreEra): StoreReply {
	const entryOf = ({revision, createdAt = revision, ...entry}: StoreEntry): StoreEntry => ({...entry, revision: storePosition(era, revision), createdAt: storePosition(era, createdAt)});
	switch (reply.type) {
		case 'entries':
		case 'changes': {
			return {
				...reply, entries: reply.entries.map(entry => entryOf(entry)), revision: storePosition(era, reply.revision), era,
			};
		}

		case 'conflict': {
			return {...reply, entry: reply.entry === undefined ? undefined : entryOf(reply.entry), era};
		}

		case 'written': {
			return {...reply, revision: storePosition(era, reply.revision), era};
		}

		case 'not-all-as-expected': {
			return {...reply, revisions: new Map(Array.from(reply.revisions, ([key, revision]) => [key, revision === 0 ? 0 : storePosition(era, revision)])), era};
		}

		default: {
			return reply.type === 'unavailable' || reply.type === 'unknown' ? reply : {...reply, era};
		}
	}
}

export class StoreModel {
	/** Cost of all calls so far, by type. */
	readonly costs = new Map<string, number>();
	/** Whether the store does not respond to this VM now. */
	isSilentTo: (vm: string) => boolean = () => false;
	/** Time for a request and its reply. */
	replyMilliseconds: Milliseconds = defaultReplyMilliseconds;
	/** Time until a request of this VM reaches the store, and the same again for its reply; undefined = the default. */
	transitMilliseconds: (vm: string) => Milliseconds | undefined = () => undefined;
	/** No lease ends, as in a store that keeps its leases during an outage. */
	areLeasesPaused = false;
	private readonly _timeline: Timeline;
	private readonly _entries = new Map<string, StoredEntry>();
	private readonly _leases = new Map<string, Instant>();
	private readonly _terms = new Map<string, Milliseconds>();
	private readonly _events: StoreEvent[] = [];
	private readonly _pendingWatches = new Set<PendingWatch>();
	private _era = 1;
	private _revision = 10;
	/** The history up to this revision has been dropped. */
	private _oldestRevision = 0;
	private _lastLease = 0;

	constructor(timeline: Timeline) {
		this._timeline = timeline;
	}

	get totalCost(): number {
		return [...this.costs.values()].reduce((sum, cost) => sum + cost, 0);
	}

	/** Writes as an operator or a backend server would. */
	put(key: string, value: string, leaseId?: string): StorePosition {
		this._revision += 1;
		this._set(key, value, leaseId);
		this._endWatches();
		return this._revision;
	}

	remove(key: string): void {
		if (this._entries.delete(key)) {
			this._revision += 1;
			this._events.push({revision: this._revision, key, entry: undefined});
			this._endWatches();
		}
	}

	valueOf(key: string): string | undefined {
		return this._entries.get(key)?.value;
	}

	keys(prefix: string): string[] {
		return [...this._entries.keys()].filter(key => key.startsWith(prefix));
	}

	/** Copies the current state. */
	backUp(): StoreBackup {
		return {
			entries: new Map(this._entries), terms: new Map([...this._leases.keys()].map(lease => [lease, this._terms.get(lease)!])), revision: this._revision, lastLease: this._lastLease,
		};
	}

	/**
	 * Replaces the state by that of an earlier backup. Later writes and leases are lost, and their revisions and lease
	 * identifiers are assigned again. Leases of the backup start a new term. Pending watches are cut.
	 */
	restore({entries, terms, revision, lastLease}: StoreBackup): void {
		this._entries.clear();
		for (const [key, entry] of entries) {
			this._entries.set(key, entry);
		}

		this._era += 1;
		this._revision = revision;
		this._lastLease = lastLease;
		const kept = this._events.filter(event => event.revision <= revision);
		this._events.splice(0, this._events.length, ...kept);
		this._leases.clear();
		for (const [lease, term] of terms) {
			this._renewLease(lease, term);
		}

		for (const watch of this._pendingWatches) {
			watch.end({type: 'unavailable'});
		}
	}

	/** Requests and replies use positions; the entries here have bare revisions. */
	execute(vm: string, operation: StoreOperation, onReply: OnReply): void {
		this._charge(operation);
		if (this.isSilentTo(vm)) {
			const isWatch = operation.type === 'watch';
			this._timeline.after(isWatch ? operation.milliseconds + 800 : replyTimeoutMilliseconds, () => {
				onReply({type: isWatch || operation.type === 'list' ? 'unavailable' : 'unknown'});
			});
			return;
		}

		const transit = this.transitMilliseconds(vm);
		if (transit !== undefined) {
			this._executeLate(operation, transit, onReply);
			return;
		}

		this._timeline.after(this.replyMilliseconds / 2, () => {
			this._execute(withRevisions(operation), reply => {
				const positioned = withPositions(reply, this._era);
				this._timeline.after(this.replyMilliseconds / 2, () => {
					onReply(positioned);
				});
			});
		});
	}

	/** Executes a request that is on its way for long. The client gives up before a late reply, though the request was executed. */
	private _executeLate(operation: StoreOperation, transit: Milliseconds, onReply: OnReply): void {
		let isOver = false;
		const end = (reply: StoreReply) => {
			if (!isOver) {
				isOver = true;
				onReply(reply);
			}
		};

		this._timeline.after(replyTimeoutMilliseconds, () => {
			end({type: operation.type === 'watch' || operation.type === 'list' ? 'unavailable' : 'unknown'});
		});
		this._timeline.after(transit, () => {
			this._execute(withRevisions(operation), reply => {
				const positioned = withPositions(reply, this._era);
				this._timeline.after(transit, () => {
					end(positioned);
				});
			});
		});
	}

	private _charge(operation: StoreOperation): void {
		const pages = operation.type === 'list' ? Math.max(1, Math.ceil(this._entries.size / pageEntries)) : 1;
		const isReduced = operation.type === 'keep-lease' || (operation.type === 'list' && operation.allowsStale === true);
		this.costs.set(operation.type, (this.costs.get(operation.type) ?? 0) + (pages * (isReduced ? reducedCost : 1)));
	}

	private _execute(operation: StoreOperation, onReply: OnReply): void {
		switch (operation.type) {
			case 'list': {
				onReply({type: 'entries', entries: [...this._entries.values()].filter(entry => entry.key.startsWith(operation.prefix)), revision: this._revision});
				break;
			}

			case 'watch': {
				this._watch(operation, onReply);
				break;
			}

			case 'compare-and-swap': {
				onReply(this._swap(operation));
				break;
			}

			case 'write-all': {
				onReply(this._writeAll(operation));
				break;
			}

			case 'delete': {
				onReply(this._delete(operation));
				break;
			}

			case 'grant-lease': {
				this._lastLease += 1;
				const leaseId = String(this._lastLease);
				this._renewLease(leaseId, operation.milliseconds);
				onReply({type: 'lease', leaseId, milliseconds: operation.milliseconds});
				break;
			}

			case 'keep-lease': {
				if (this._leases.has(operation.leaseId)) {
					this._renewLease(operation.leaseId, this._terms.get(operation.leaseId)!);
					onReply({type: 'lease', leaseId: operation.leaseId, milliseconds: this._terms.get(operation.leaseId)!});
				} else {
					onReply({type: 'lease-lost'});
				}

				break;
			}

			case 'revoke-lease': {
				this.endLease(operation.leaseId);
				onReply({type: 'lease', leaseId: operation.leaseId, milliseconds: 0});
				break;
			}

			default: {
				onReply({type: 'unavailable'});
			}
		}
	}

	/** Drops the history of changes, so that watches from earlier revisions get `history-lost`. */
	dropHistory(): void {
		this._events.splice(0);
		this._oldestRevision = this._revision;
	}

	/** Ends a lease and removes its entries. */
	endLease(leaseId: string): void {
		if (!this._leases.delete(leaseId)) {
			return;
		}

		this._revision += 1;
		for (const [key, entry] of this._entries) {
			if (entry.leaseId === leaseId) {
				this._entries.delete(key);
				this._events.push({revision: this._revision, key, entry: undefined});
			}
		}

		this._endWatches();
	}

	private _renewLease(leaseId: string, term: Milliseconds): void {
		const until = this._timeline.now + term;
		this._terms.set(leaseId, term);
		this._leases.set(leaseId, until);
		this._timeline.after(term, () => {
			if (this._leases.get(leaseId) !== until) {
				return;
			}

			if (this.areLeasesPaused) {
				this._renewLease(leaseId, term);
			} else {
				this.endLease(leaseId);
			}
		});
	}

	private _swap({key, expected, value, leaseId}: StoreOperation & {type: 'compare-and-swap'}): StoreReply {
		const known = this._entries.get(key);
		if ((known?.revision ?? 0) !== expected) {
			return {type: 'conflict', entry: known};
		}

		if (leaseId !== undefined && !this._leases.has(leaseId)) {
			return {type: 'lease-lost'};
		}

		return {type: 'written', revision: this.put(key, value, leaseId)};
	}

	private _delete({key, expected}: StoreOperation & {type: 'delete'}): StoreReply {
		const known = this._entries.get(key);
		if (known?.revision !== expected) {
			return {type: 'conflict', entry: known};
		}

		this.remove(key);
		return {type: 'written', revision: this._revision};
	}

	private _writeAll({writes, leaseId}: StoreOperation & {type: 'write-all'}): StoreReply {
		if (2 * writes.length > maxTransactionEntries) {
			return {type: 'unknown'};
		}

		const revisions = new Map(writes.map(({key}) => [key, this._entries.get(key)?.revision ?? 0]));
		if (writes.some(({key, expected}) => revisions.get(key) !== expected)) {
			return {type: 'not-all-as-expected', revisions};
		}

		if (writes.some(({value}) => value !== undefined) && !this._leases.has(leaseId)) {
			return {type: 'lease-lost'};
		}

		this._revision += 1;
		for (const {key, value} of writes) {
			if (value === undefined) {
				this._entries.delete(key);
				this._events.push({revision: this._revision, key, entry: undefined});
			} else {
				this._set(key, value, leaseId);
			}
		}

		this._endWatches();
		return {type: 'written', revision: this._revision};
	}

	private _watch({prefix, after, milliseconds}: StoreOperation & {type: 'watch'}, onReply: OnReply): void {
		const watch: PendingWatch = {
			prefix,
			after,
			end: reply => {
				if (this._pendingWatches.delete(watch)) {
					onReply(reply);
				}
			},
		};
		if (after < this._oldestRevision || after > this._revision) {
			onReply({type: 'history-lost'});
			return;
		}

		this._pendingWatches.add(watch);
		if (this._events.some(event => event.revision > after && event.key.startsWith(prefix))) {
			watch.end(this._changes(watch));
			return;
		}

		this._timeline.after(milliseconds, () => {
			watch.end(this._changes(watch));
		});
	}

	private _changes({prefix, after}: PendingWatch): StoreReply {
		const latest = new Map<string, StoreEvent>();
		for (let index = this._events.length - 1; index >= 0 && this._events[index]!.revision > after; index--) {
			const event = this._events[index]!;
			if (event.key.startsWith(prefix) && !latest.has(event.key)) {
				latest.set(event.key, event);
			}
		}

		const events = [...latest.values()].toReversed();
		return {
			type: 'changes',
			entries: events.flatMap(event => event.entry ?? []),
			deleted: events.filter(event => event.entry === undefined).map(event => event.key),
			revision: this._revision,
		};
	}

	private _set(key: string, value: string, leaseId: string | undefined): void {
		const entry = {
			key, value, revision: this._revision, createdAt: this._entries.get(key)?.createdAt ?? this._revision,
		};
		this._entries.set(key, {...entry, leaseId});
		this._events.push({revision: this._revision, key, entry});
	}

	/** Replies to the watches that have changes. */
	private _endWatches(): void {
		for (const watch of this._pendingWatches) {
			if (this._events.some(event => event.revision > watch.after && event.key.startsWith(watch.prefix))) {
				watch.end(this._changes(watch));
			}
		}
	}
}
