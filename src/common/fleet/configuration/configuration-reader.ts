/** Keeps this VM's configuration up with the head in the platform's service: reads, watches, loads snapshots. */
import {ok, type Result} from 'neverthrow';
import {describeFailure, type Failure} from '../../errors/failure.ts';
import {type StoredResource} from '../../model/resources.ts';
import {type StoreEntry, type StoreReply} from '../../platform/types.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type ConfigurationState} from './configuration-state.ts';
import {
	type ConfigurationHead, decodeHead, decodeShard, emptyHead, headKey, type HeadFailureKind,
} from './head.ts';

/** A head as read, with the revision that a compare-and-swap on it names. */
export type HeadBase = {
	readonly revision: number;
	readonly head: ConfigurationHead;
	/** It came from a compare-and-swap, which no stale replica answers. */
	readonly isConfirmed: boolean;
};

/** A waiting watch counts as one call; long ones cost the service least and tell as soon as short ones. */
const watchTimeoutMilliseconds = 20_000;

/** First and longest wait after a failed read or watch: an outage must not be met by a storm of reads. */
const initialRetryMilliseconds = 250;
const maxRetryMilliseconds = 2000;

/** A VM that doesn't watch still reads the head now and then, should its peers be wrong about who watches. */
const pollIntervalMilliseconds = 30_000;

/** Without any live peer the store's answers are the only proof that the configuration is not old. */
const isolatedPollIntervalMilliseconds = 2000;
const pollCheckIntervalMilliseconds = 1000;

type ReadOutcome = 'read' | 'failed';

export class ConfigurationReader {
	private readonly _hasNoLivePeer: () => boolean;
	private _lastReadAt = 0;
	private _base: HeadBase | undefined;
	private _isWatching = false;
	private _isWatchPending = false;
	private _consecutiveFailures = 0;
	private _loadCallbacks: Array<(outcome: ReadOutcome) => void> | undefined;

	constructor(
		private readonly _context: FleetContext,
		private readonly _state: ConfigurationState,
		/** Called whenever the configuration in force has moved forward. */
		private readonly _onAdopted: () => void,
		/** Whether an empty service may be believed: a stale replica shows one too. */
		private readonly _mayAdoptEmpty: () => boolean,
		/** Whether no other VM answers. */
		hasNoLivePeer: () => boolean,
	) {
		this._hasNoLivePeer = hasNoLivePeer;
	}

	/** The newest head seen. */
	get base(): HeadBase | undefined {
		return this._base;
	}

	get isWatching(): boolean {
		return this._isWatching;
	}

	start(): void {
		this._poll();
	}

	/** Whether this VM is one of the few that watch. */
	setWatching(isWatching: boolean): void {
		this._isWatching = isWatching;
		if (isWatching) {
			this._watch();
		}
	}

	/** Asks for the head; `entry` is undefined in a reply that has none. */
	readHead(onDone: (outcome: ReadOutcome, base: HeadBase | undefined) => void): void {
		this._context.requestStore({type: 'get', key: headKey}, reply => {
			if (reply.type !== 'entry') {
				onDone('failed', undefined);
				return;
			}

			const base = this.observe(reply.entry, false);
			onDone(base ? 'read' : 'failed', base);
		});
	}

	/** Takes note of a head, from whatever source, and moves forward if it is newer. */
	observe(entry: StoreEntry | undefined, isConfirmed: boolean): HeadBase | undefined {
		const decoded: Result<ConfigurationHead, Failure<HeadFailureKind>> = entry ? decodeHead(entry.value) : ok(emptyHead);
		if (decoded.isErr()) {
			this._context.log('error', 'The configuration in the platform\'s service can\'t be read', {failure: describeFailure(decoded.error)});
			return undefined;
		}

		const base = {revision: entry?.revision ?? 0, head: decoded.value, isConfirmed};
		this.observeBase(base);
		return base;
	}

	/** As `observe`, for a head that this VM has just written. */
	observeBase(base: HeadBase): void {
		if (!this._base || base.revision >= this._base.revision) {
			this._base = base;
			this.catchUp(() => undefined);
		}
	}

	/** Takes over a whole configuration that this VM has just written, and tells so like any other step forward. */
	adoptWritten(version: number, resources: Iterable<StoredResource>, records: ConfigurationHead['records']): void {
		if (this._state.replace(version, resources, records)) {
			this._onAdopted();
		}
	}

	/** Brings the configuration in force up to the newest head seen. */
	catchUp(onDone: (outcome: ReadOutcome) => void): void {
		const head = this._base?.head;
		if (!head || (this._state.isLoaded && head.version <= this._state.version)) {
			onDone(head ? 'read' : 'failed');
			return;
		}

		if (head.version === 0) {
			this._adoptEmpty();
			onDone('read');
			return;
		}

		if (this._state.adopt(head.records)) {
			this._onAdopted();
		}

		if (this._state.version >= head.version) {
			onDone('read');
			return;
		}

		this._loadSnapshot(head, onDone);
	}

	private _adoptEmpty(): void {
		if (this._mayAdoptEmpty() && this._state.replace(0, [], [])) {
			this._onAdopted();
		}
	}

	private _loadSnapshot(head: ConfigurationHead, onDone: (outcome: ReadOutcome) => void): void {
		if (this._loadCallbacks) {
			this._loadCallbacks.push(onDone);
			return;
		}

		this._loadCallbacks = [onDone];
		const resources: StoredResource[] = [];
		this._loadShard(head, 0, resources);
	}

	private _loadShard(head: ConfigurationHead, index: number, resources: StoredResource[]): void {
		const shard = head.snapshot.shards[index];
		if (!shard) {
			this._finishLoading(head, resources);
			return;
		}

		this._context.requestStore({type: 'get', key: shard.key}, reply => {
			const decoded = reply.type === 'entry' && reply.entry ? decodeShard(reply.entry.value) : undefined;
			if (!decoded?.isOk()) {
				// Gone because a newer snapshot replaced it, or the service is out: the next read of the head tells.
				this._endLoading('failed');
				this._retryLater();
				return;
			}

			resources.push(...decoded.value);
			this._loadShard(head, index + 1, resources);
		});
	}

	private _finishLoading(head: ConfigurationHead, resources: readonly StoredResource[]): void {
		const snapshotRecords = head.records.filter(record => record.version <= head.snapshot.version);
		const isReplaced = this._state.replace(head.snapshot.version, resources, snapshotRecords);
		const isAdopted = this._state.adopt(head.records);
		if (isReplaced || isAdopted) {
			this._onAdopted();
		}

		this._endLoading('read');
		this.catchUp(() => undefined);
	}

	private _endLoading(outcome: ReadOutcome): void {
		const callbacks = this._loadCallbacks ?? [];
		this._loadCallbacks = undefined;
		for (const onDone of callbacks) {
			onDone(outcome);
		}
	}

	private _poll(): void {
		this.readHead(outcome => {
			if (outcome === 'failed') {
				this._retryLater();
				return;
			}

			this._consecutiveFailures = 0;
			this._lastReadAt = this._context.now;
			this._scheduleCheck();
			this._watch();
		});
	}

	private _scheduleCheck(): void {
		const wait = this._state.isLoaded ? pollCheckIntervalMilliseconds : initialRetryMilliseconds;
		this._context.timers.set('configuration-poll', this._context.now + this._context.jitter(wait), () => {
			const interval = this._hasNoLivePeer() ? isolatedPollIntervalMilliseconds : pollIntervalMilliseconds;
			if (!this._state.isLoaded || this._context.now - this._lastReadAt >= interval) {
				this._poll();
			} else {
				this._scheduleCheck();
			}
		});
	}

	private _retryLater(): void {
		const wait = Math.min(maxRetryMilliseconds, initialRetryMilliseconds * (2 ** Math.min(this._consecutiveFailures, 8)));
		this._consecutiveFailures += 1;
		this._context.timers.set('configuration-poll', this._context.now + this._context.jitter(wait), () => {
			this._poll();
		});
	}

	private _watch(): void {
		if (!this._isWatching || this._isWatchPending || !this._base) {
			return;
		}

		this._isWatchPending = true;
		this._context.requestStore({
			type: 'watch', prefix: headKey, after: this._base.revision, milliseconds: watchTimeoutMilliseconds,
		}, reply => {
			this._isWatchPending = false;
			this._handleWatchReply(reply);
		});
	}

	private _handleWatchReply(reply: StoreReply): void {
		if (reply.type !== 'changes') {
			this._retryLater();
			return;
		}

		this._consecutiveFailures = 0;
		for (const entry of reply.entries) {
			if (entry.key === headKey) {
				this.observe(entry, false);
			}
		}

		this._watch();
	}
}
