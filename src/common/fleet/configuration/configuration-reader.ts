/** Keeps this VM's configuration up to date with the head in the platform's service: polls, watches and loads snapshots. */
import {ok, type Result} from 'neverthrow';
import {describeFailure, type Failure} from '../../errors/failure.ts';
import {type StoredResource} from '../../model/resources.ts';
import {isLater, type StorePosition} from '../../platform/store-position.ts';
import {type StoreEntry, type StoreReply} from '../../platform/types.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type ConfigurationState} from './configuration-state.ts';
import {
	type ConfigurationHead, decodeHead, decodeShard, emptyHead, headKey, type HeadFailureKind,
} from './head.ts';

/** A head with its revision in the store, which a compare-and-swap on it must name. */
export type HeadBase = {
	readonly revision: StorePosition;
	readonly head: ConfigurationHead;
	/** True if the head came from a compare-and-swap, which a stale replica cannot answer. */
	readonly isConfirmed: boolean;
};

/** Duration of one watch. A waiting watch counts as one call, and a long one reports changes as fast as a short one, so long watches cost the service least. */
const watchTimeoutMilliseconds = 20_000;

/** Initial and maximum delay of the exponential back-off after a failed read or watch, which avoids a flood of reads during an outage. */
const initialRetryMilliseconds = 250;
const maxRetryMilliseconds = 2000;

/** Interval at which each VM reads the head, even if it does not watch: its peers may disagree on which VMs watch. */
const pollIntervalMilliseconds = 30_000;

/** Interval without a live peer, when replies of the store are the only evidence that the configuration is up to date. */
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
		/** Called whenever a newer configuration has come into force. */
		private readonly _onAdopted: () => void,
		/** Whether a missing head may be adopted as an empty configuration; a stale replica may lack the head too. */
		private readonly _mayAdoptEmpty: () => boolean,
		/** Whether no other VM is live. */
		hasNoLivePeer: () => boolean,
	) {
		this._hasNoLivePeer = hasNoLivePeer;
	}

	/** The newest head seen so far. */
	get base(): HeadBase | undefined {
		return this._base;
	}

	get isWatching(): boolean {
		return this._isWatching;
	}

	start(): void {
		this._poll();
	}

	/** Starts watching the head, or stops after the watch in progress. */
	setWatching(isWatching: boolean): void {
		this._isWatching = isWatching;
		if (isWatching) {
			this._watch();
		}
	}

	/** Reads the head; a missing head counts as version 0. */
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

	/** Decodes a head from any source and catches up if it is newer; undefined if the head is invalid. */
	observe(entry: StoreEntry | undefined, isConfirmed: boolean): HeadBase | undefined {
		const decoded: Result<ConfigurationHead, Failure<HeadFailureKind>> = entry ? decodeHead(entry.value) : ok(emptyHead);
		if (decoded.isErr()) {
			this._context.log('error', 'the configuration head in the platform\'s service is invalid; the configuration in force stays', {failure: describeFailure(decoded.error)});
			return undefined;
		}

		const base = {revision: entry?.revision ?? 0, head: decoded.value, isConfirmed};
		this.observeBase(base);
		return base;
	}

	/** Like `observe`, for a decoded head. */
	observeBase(base: HeadBase): void {
		if (!this._base || !isLater(this._base.revision, base.revision)) {
			this._base = base;
			this.catchUp(() => undefined);
		}
	}

	/** Adopts a whole configuration that this VM has just written, and reports it through `onAdopted` like any other new version. */
	adoptWritten(version: number, resources: Iterable<StoredResource>, records: ConfigurationHead['records']): void {
		if (this._state.replace(version, resources, records)) {
			this._onAdopted();
		}
	}

	/** Brings the configuration in force up to the newest head seen, loading the snapshot if necessary. */
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
				// Either a newer snapshot has replaced this one, or the service is unavailable; the next read of the head shows which.
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
