/** The platform's key-value service in memory, in simulated time, with every way to fail that the brief names. */
import {type StoreEntry, type StoreOperation, type StoreReply} from '../../common/platform/types.ts';
import {type Timeline} from './timeline.ts';

type Lease = {until: number; readonly milliseconds: number};
type Held = StoreEntry & {readonly leaseId: string | undefined};
type Watch = {readonly prefix: string; readonly after: number; isDone: boolean; readonly reply: (reply: StoreReply) => void};

type Write = Extract<StoreOperation, {type: 'compare-and-swap' | 'delete' | 'grant-lease' | 'keep-lease'}>;
const writeTypes = new Set<StoreOperation['type']>(['compare-and-swap', 'delete', 'grant-lease', 'keep-lease']);
const isWrite = (operation: StoreOperation): operation is Write => writeTypes.has(operation.type);

/** How long a client waits for an answer that is lost. */
const clientLimitMilliseconds = 500;
const usualMilliseconds = 1;
const slowMilliseconds = 900;

export class FakeStore {
	isUp = true;
	isSlow = false;
	/** So many of the next writes take effect, at once or late, and their answers are lost. */
	answersToLose = 0;
	/** So many of the next writes are lost on the way, and their clients can't know. */
	writesToLose = 0;
	private readonly _timeline: Timeline;
	private readonly _chance: () => number;
	private readonly _entries = new Map<string, Held>();
	private _stale: ReadonlyMap<string, Held> | undefined;
	private readonly _leases = new Map<string, Lease>();
	private readonly _watches = new Set<Watch>();
	private _revision = 0;
	private _lastLease = 0;

	constructor(timeline: Timeline, chance: () => number) {
		this._timeline = timeline;
		this._chance = chance;
	}

	/** From now on reads come from a replica that has stopped here. */
	stopReplica(): void {
		this._stale = new Map(this._entries);
	}

	resumeReplica(): void {
		this._stale = undefined;
	}

	get isStale(): boolean {
		return this._stale !== undefined;
	}

	/** The reply comes by `reply`; the way there and back takes its time. */
	execute(operation: StoreOperation, reply: (reply: StoreReply) => void): void {
		if (!this.isUp) {
			this._timeline.after(usualMilliseconds, () => {
				reply({type: 'unavailable'});
			});
			return;
		}

		if (isWrite(operation) && (this.answersToLose > 0 || this.writesToLose > 0)) {
			this._loseOne(operation, reply);
			return;
		}

		const way = (this.isSlow ? slowMilliseconds : usualMilliseconds) * (0.5 + this._chance()) / 2;
		this._timeline.after(way, () => {
			if (operation.type === 'watch') {
				this._watch(operation, reply);
				return;
			}

			const result = this._apply(operation);
			this._timeline.after(way, () => {
				reply(result);
			});
		});
	}

	private _loseOne(operation: Write, reply: (reply: StoreReply) => void): void {
		const takesEffect = this.answersToLose > 0;
		this.answersToLose -= takesEffect ? 1 : 0;
		this.writesToLose -= takesEffect ? 0 : 1;
		if (takesEffect) {
			// Also after its client has given up waiting.
			this._timeline.after(this._chance() * 2 * clientLimitMilliseconds, () => {
				this._apply(operation);
			});
		}

		this._timeline.after(clientLimitMilliseconds, () => {
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

			// Only a fleet that the store leads asks for it.
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

	private _readable(): ReadonlyMap<string, Held> {
		return this._stale ?? this._entries;
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
		this._wakeWatches();
		return {type: 'written', revision: this._revision};
	}

	private _watch(operation: Extract<StoreOperation, {type: 'watch'}>, reply: (reply: StoreReply) => void): void {
		const watch: Watch = {
			prefix: operation.prefix, after: operation.after, isDone: false, reply,
		};
		this._watches.add(watch);
		this._wakeWatches();
		this._timeline.after(operation.milliseconds, () => {
			this._endWatch(watch, {
				type: 'changes', entries: [], deleted: [], revision: this._revision,
			});
		});
	}

	private _wakeWatches(): void {
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
			this._timeline.after(this.isSlow ? slowMilliseconds : usualMilliseconds, () => {
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
