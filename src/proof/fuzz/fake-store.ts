/** In-memory fake of the platform's key-value store in simulated time: it can be down, slow or stale, and lose writes or answers. */
import {type StoreEntry, type StoreOperation, type StoreReply} from '../../common/platform/types.ts';
import {type Timeline} from './timeline.ts';

type Lease = {until: number; readonly milliseconds: number};
type StoredEntry = StoreEntry & {readonly leaseId: string | undefined};
type Watch = {readonly prefix: string; readonly after: number; isDone: boolean; readonly reply: (reply: StoreReply) => void};

type Write = Extract<StoreOperation, {type: 'compare-and-swap' | 'delete' | 'grant-lease' | 'keep-lease'}>;
const writeTypes = new Set<StoreOperation['type']>(['compare-and-swap', 'delete', 'grant-lease', 'keep-lease']);
const isWrite = (operation: StoreOperation): operation is Write => writeTypes.has(operation.type);

/** Time after which a client gets the reply `unknown` if the answer is lost. */
const clientTimeoutMilliseconds = 500;
const normalMilliseconds = 1;
const slowMilliseconds = 900;

export class FakeStore {
	isUp = true;
	isSlow = false;
	/** Number of next writes that take effect, possibly after the client's timeout, but whose answers are lost. */
	answersToLose = 0;
	/** Number of next writes that are lost before they take effect. Their clients cannot tell them from writes with lost answers. */
	writesToLose = 0;
	private readonly _timeline: Timeline;
	private readonly _random: () => number;
	private readonly _entries = new Map<string, StoredEntry>();
	private _staleEntries: ReadonlyMap<string, StoredEntry> | undefined;
	private readonly _leases = new Map<string, Lease>();
	private readonly _watches = new Set<Watch>();
	private _revision = 0;
	private _lastLease = 0;

	constructor(timeline: Timeline, random: () => number) {
		this._timeline = timeline;
		this._random = random;
	}

	/** Reads are served from a replica that has stopped at the current state. */
	stopReplica(): void {
		this._staleEntries = new Map(this._entries);
	}

	resumeReplica(): void {
		this._staleEntries = undefined;
	}

	get isStale(): boolean {
		return this._staleEntries !== undefined;
	}

	/** Executes the operation after the latency to the store, and calls `reply` after the latency back. */
	execute(operation: StoreOperation, reply: (reply: StoreReply) => void): void {
		if (!this.isUp) {
			this._timeline.after(normalMilliseconds, () => {
				reply({type: 'unavailable'});
			});
			return;
		}

		if (isWrite(operation) && (this.answersToLose > 0 || this.writesToLose > 0)) {
			this._loseWrite(operation, reply);
			return;
		}

		const oneWayMilliseconds = (this.isSlow ? slowMilliseconds : normalMilliseconds) * (0.5 + this._random()) / 2;
		this._timeline.after(oneWayMilliseconds, () => {
			if (operation.type === 'watch') {
				this._watch(operation, reply);
				return;
			}

			const result = this._apply(operation);
			this._timeline.after(oneWayMilliseconds, () => {
				reply(result);
			});
		});
	}

	private _loseWrite(operation: Write, reply: (reply: StoreReply) => void): void {
		const takesEffect = this.answersToLose > 0;
		this.answersToLose -= takesEffect ? 1 : 0;
		this.writesToLose -= takesEffect ? 0 : 1;
		if (takesEffect) {
			// The write may take effect after the client's timeout.
			this._timeline.after(this._random() * 2 * clientTimeoutMilliseconds, () => {
				this._apply(operation);
			});
		}

		this._timeline.after(clientTimeoutMilliseconds, () => {
			reply({type: 'unknown'});
		});
	}

	private _apply(operation: Exclude<StoreOperation, {type: 'watch'}>): StoreReply {
		this._expire();
		switch (operation.type) {
			case 'get': {
				return {type: 'entry', entry: this._readable().get(operation.key), revision: this._revision};
			}

			case 'list': {
				return {type: 'entries', entries: [...this._readable().values()].filter(({key}) => key.startsWith(operation.prefix)), revision: this._revision};
			}

			case 'compare-and-swap': {
				return this._swap(operation);
			}

			case 'delete': {
				const entry = this._entries.get(operation.key);
				if ((entry?.revision ?? 0) !== operation.expected) {
					return {type: 'conflict', entry};
				}

				this._remove(operation.key);
				return {type: 'written', revision: this._revision};
			}

			// Not used by the fleet engine under test.
			case 'write-all': {
				return {type: 'unavailable'};
			}

			case 'grant-lease': {
				const leaseId = `lease-${++this._lastLease}`;
				this._leases.set(leaseId, {until: this._timeline.now + operation.milliseconds, milliseconds: operation.milliseconds});
				return {type: 'lease', leaseId, milliseconds: operation.milliseconds};
			}

			case 'keep-lease': {
				const lease = this._leases.get(operation.leaseId);
				if (lease === undefined) {
					return {type: 'lease-lost'};
				}

				lease.until = this._timeline.now + lease.milliseconds;
				return {type: 'lease', leaseId: operation.leaseId, milliseconds: lease.milliseconds};
			}

			case 'revoke-lease': {
				this._endLease(operation.leaseId);
				return {type: 'written', revision: this._revision};
			}
		}
	}

	private _readable(): ReadonlyMap<string, StoredEntry> {
		return this._staleEntries ?? this._entries;
	}

	private _swap(operation: Extract<StoreOperation, {type: 'compare-and-swap'}>): StoreReply {
		const {key, value, leaseId} = operation;
		const entry = this._entries.get(key);
		if ((entry?.revision ?? 0) !== operation.expected) {
			return {type: 'conflict', entry};
		}

		if (leaseId !== undefined && !this._leases.has(leaseId)) {
			return {type: 'lease-lost'};
		}

		this._entries.set(key, {
			key, value, revision: ++this._revision, leaseId,
		});
		this._notifyWatches();
		return {type: 'written', revision: this._revision};
	}

	private _watch(operation: Extract<StoreOperation, {type: 'watch'}>, reply: (reply: StoreReply) => void): void {
		const watch: Watch = {
			prefix: operation.prefix, after: operation.after, isDone: false, reply,
		};
		this._watches.add(watch);
		this._notifyWatches();
		this._timeline.after(operation.milliseconds, () => {
			this._endWatch(watch, {
				type: 'changes', entries: [], deleted: [], revision: this._revision,
			});
		});
	}

	private _notifyWatches(): void {
		for (const watch of this._watches) {
			const entries = [...this._readable().values()].filter(({key, revision}) => key.startsWith(watch.prefix) && revision > watch.after);
			if (entries.length > 0) {
				this._endWatch(watch, {
					type: 'changes', entries, deleted: [], revision: this._revision,
				});
			}
		}
	}

	private _endWatch(watch: Watch, reply: StoreReply): void {
		if (this._watches.delete(watch)) {
			this._timeline.after(this.isSlow ? slowMilliseconds : normalMilliseconds, () => {
				watch.reply(this.isUp ? reply : {type: 'unavailable'});
			});
		}
	}

	private _expire(): void {
		for (const [leaseId, {until}] of this._leases) {
			if (until <= this._timeline.now) {
				this._endLease(leaseId);
			}
		}
	}

	private _endLease(leaseId: string): void {
		this._leases.delete(leaseId);
		for (const entry of this._entries.values()) {
			if (entry.leaseId === leaseId) {
				this._remove(entry.key);
			}
		}
	}

	private _remove(key: string): void {
		this._entries.delete(key);
		this._revision++;
	}
}
