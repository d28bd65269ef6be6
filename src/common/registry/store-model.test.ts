/** The platform's store in virtual time, as tests of whole fleets need it: leases, watches, outages, and a bill. */
import {type Timeline} from '../../proof/fuzz/timeline.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {
	type Revision, type StoreEntry, type StoreOperation, type StoreReply,
} from '../platform/types.ts';

/** The way to the store and back, unless it is slow. */
const usualAnswerMilliseconds: Milliseconds = 5;

/** After it a client takes an answer for lost. */
const lostMilliseconds: Milliseconds = 2000;

/** Entries that one page of a list holds at most. */
const pageEntries = 500;

/** Conditions and writes that one transaction holds together. */
const mostEntriesOfTransaction = 32;

/** Part of a call's price that the store asks for reads that may be old, and for renewals. */
const reducedPrice = 0.1;

type Held = StoreEntry & {readonly leaseId: string | undefined};
type StoreEvent = {readonly revision: Revision; readonly key: string; readonly entry: StoreEntry | undefined};
type Waiting = {readonly prefix: string; readonly after: Revision; readonly end: (reply: StoreReply) => void};
type Answer = (reply: StoreReply) => void;

export class StoreModel {
	/** Price of all calls so far, by kind. */
	readonly bill = new Map<string, number>();
	/** Whom the store does not answer now. */
	isSilentTo: (vm: string) => boolean = () => false;
	/** The way to the store and back. */
	answerMilliseconds: Milliseconds = usualAnswerMilliseconds;
	/** No lease ends: the store keeps those that it had while it was away. */
	arePaused = false;
	private readonly _timeline: Timeline;
	private readonly _entries = new Map<string, Held>();
	private readonly _leases = new Map<string, Instant>();
	private readonly _terms = new Map<string, Milliseconds>();
	private readonly _events: StoreEvent[] = [];
	private readonly _waiting = new Set<Waiting>();
	private _revision = 10;
	/** Changes up to this revision are no longer known one by one. */
	private _oldest = 0;
	private _lastLease = 0;

	constructor(timeline: Timeline) {
		this._timeline = timeline;
	}

	get total(): number {
		return [...this.bill.values()].reduce((sum, price) => sum + price, 0);
	}

	/** Writes as an operator or a backend server does. */
	put(key: string, value: string, leaseId?: string): Revision {
		this._revision += 1;
		this._set(key, value, leaseId);
		this._wake();
		return this._revision;
	}

	remove(key: string): void {
		if (this._entries.delete(key)) {
			this._revision += 1;
			this._events.push({revision: this._revision, key, entry: undefined});
			this._wake();
		}
	}

	keys(prefix: string): string[] {
		return [...this._entries.keys()].filter(key => key.startsWith(prefix));
	}

	execute(vm: string, operation: StoreOperation, answer: Answer): void {
		this._charge(operation);
		if (this.isSilentTo(vm)) {
			const isWatch = operation.type === 'watch';
			this._timeline.after(isWatch ? operation.milliseconds + 800 : lostMilliseconds, () => {
				answer({type: isWatch || operation.type === 'list' ? 'unavailable' : 'unknown'});
			});
			return;
		}

		this._timeline.after(this.answerMilliseconds / 2, () => {
			this._carryOut(operation, reply => {
				this._timeline.after(this.answerMilliseconds / 2, () => {
					answer(reply);
				});
			});
		});
	}

	private _charge(operation: StoreOperation): void {
		const pages = operation.type === 'list' ? Math.max(1, Math.ceil(this._entries.size / pageEntries)) : 1;
		const isReduced = operation.type === 'keep-lease' || (operation.type === 'list' && operation.mayBeOld === true);
		this.bill.set(operation.type, (this.bill.get(operation.type) ?? 0) + (pages * (isReduced ? reducedPrice : 1)));
	}

	private _carryOut(operation: StoreOperation, answer: Answer): void {
		switch (operation.type) {
			case 'list': {
				answer({type: 'entries', entries: [...this._entries.values()].filter(entry => entry.key.startsWith(operation.prefix)), revision: this._revision});
				break;
			}

			case 'watch': {
				this._watch(operation, answer);
				break;
			}

			case 'compare-and-swap': {
				answer(this._swap(operation));
				break;
			}

			case 'write-all': {
				answer(this._writeAll(operation));
				break;
			}

			case 'grant-lease': {
				this._lastLease += 1;
				const leaseId = String(this._lastLease);
				this._renew(leaseId, operation.milliseconds);
				answer({type: 'lease', leaseId, milliseconds: operation.milliseconds});
				break;
			}

			case 'keep-lease': {
				if (this._leases.has(operation.leaseId)) {
					this._renew(operation.leaseId, this._terms.get(operation.leaseId)!);
					answer({type: 'lease', leaseId: operation.leaseId, milliseconds: this._terms.get(operation.leaseId)!});
				} else {
					answer({type: 'lease-lost'});
				}

				break;
			}

			case 'revoke-lease': {
				this.endLease(operation.leaseId);
				answer({type: 'lease', leaseId: operation.leaseId, milliseconds: 0});
				break;
			}

			default: {
				answer({type: 'unavailable'});
			}
		}
	}

	/** Forgets what has changed so far: watches that are behind are told to read anew. */
	dropHistory(): void {
		this._events.splice(0);
		this._oldest = this._revision;
	}

	/** Ends a lease and removes what it holds, as if it had lapsed. */
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

		this._wake();
	}

	private _renew(leaseId: string, term: Milliseconds): void {
		const until = this._timeline.now + term;
		this._terms.set(leaseId, term);
		this._leases.set(leaseId, until);
		this._timeline.after(term, () => {
			if (this._leases.get(leaseId) !== until) {
				return;
			}

			if (this.arePaused) {
				this._renew(leaseId, term);
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

	private _writeAll({writes, leaseId}: StoreOperation & {type: 'write-all'}): StoreReply {
		if (2 * writes.length > mostEntriesOfTransaction) {
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

		this._wake();
		return {type: 'written', revision: this._revision};
	}

	private _watch({prefix, after, milliseconds}: StoreOperation & {type: 'watch'}, answer: Answer): void {
		const waiting: Waiting = {
			prefix,
			after,
			end: reply => {
				if (this._waiting.delete(waiting)) {
					answer(reply);
				}
			},
		};
		if (after < this._oldest) {
			answer({type: 'history-lost'});
			return;
		}

		this._waiting.add(waiting);
		if (this._events.some(event => event.revision > after && event.key.startsWith(prefix))) {
			waiting.end(this._changes(waiting));
			return;
		}

		this._timeline.after(milliseconds, () => {
			waiting.end(this._changes(waiting));
		});
	}

	private _changes({prefix, after}: Waiting): StoreReply {
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

	/** Ends the watches for which something has changed. */
	private _wake(): void {
		for (const waiting of this._waiting) {
			if (this._events.some(event => event.revision > waiting.after && event.key.startsWith(waiting.prefix))) {
				waiting.end(this._changes(waiting));
			}
		}
	}
}
