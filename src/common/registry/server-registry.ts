/** Backend servers registered in the store. */
import {err, ok, type Result} from 'neverthrow';
import {type BackendServerIdentity, type BackendServerInForce} from '../calls/types.ts';
import {describeFailure, failure} from '../errors/failure.ts';
import {type Milliseconds} from '../model/units.ts';
import {type RemovalCertainty, RemovalGracePeriod} from './removal-grace-period.ts';
import {type RegistryContext} from './registry-context.ts';
import {type DocumentFailure, type DocumentCodec, type ServerEntry} from './types.ts';

/** An entry lapses after this many heartbeat intervals without a renewal. */
const missedHeartbeatsToLapse = 3;

/** Start times remembered for removed entries; a late heartbeat of an earlier process arrives within seconds. */
const maxRememberedStarts = 1024;

/** Effect of an entry. */
export type EntryEffect
	/** The configuration of the call engine changes. */
	= | 'changed'
	/** Nothing but the heartbeat is new. */
		| 'unchanged'
	/** The entry was written by a process that a later one has replaced; it is ignored. */
		| 'outdated';

/**
 * After an outage, backend servers that are alive have registered again within this time; entries still missing are
 * removed.
 */
const holdMilliseconds: Milliseconds = 2000;

/** Callbacks of the registry. */
export type RegistryListener = {
	/** An entry was removed. */
	readonly onRemoved: (key: string) => void;
	/** Backend servers have been removed at the end of a grace period. */
	readonly onChanged: () => void;
	/** Whether this VM reads the store itself. */
	readonly isReading: () => boolean;
};

export class ServerRegistry {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentCodec;
	private readonly _entries = new Map<string, ServerEntry>();
	/** Why an entry is invalid, by key, so that a reason is logged once and not with each heartbeat. */
	private readonly _unreadable = new Map<string, string>();
	/** Latest start time of a process, by key. */
	private readonly _starts = new Map<string, number>();
	private readonly _gracePeriod: RemovalGracePeriod;
	private readonly _onRemoved: (key: string) => void;

	constructor(context: RegistryContext, documents: DocumentCodec, {onRemoved, onChanged, isReading}: RegistryListener) {
		this._context = context;
		this._documents = documents;
		this._onRemoved = onRemoved;
		this._gracePeriod = new RemovalGracePeriod(context, 'servers', keys => {
			for (const key of keys) {
				this._drop(key);
			}

			onChanged();
		}, isReading);
	}

	get size(): number {
		return this._entries.size;
	}

	/**
	 * All backend servers by identity, including those of undeclared services. `connectionLimits` comes from the
	 * current configuration, since an entry may have been read before the configuration.
	 */
	declared(connectionLimits: ReadonlyMap<string, number>): Map<BackendServerIdentity, BackendServerInForce> {
		return new Map(Array.from(this._entries.values(), ({instance, declared}) => [
			instance, {...declared, connectionLimit: connectionLimits.get(declared.service) ?? declared.connectionLimit},
		]));
	}

	/**
	 * Starts a grace period if entries may have lapsed during the outage. The last heartbeat may have been just before
	 * it.
	 */
	onStoreRecovered(silence: Milliseconds): void {
		if (silence >= (missedHeartbeatsToLapse - 1) * this._context.settings.heartbeatMilliseconds) {
			this._gracePeriod.begin(holdMilliseconds);
		}
	}

	/** Starts a grace period, as the restored store may lack entries of backend servers that are alive. */
	onRestored(): void {
		this._gracePeriod.begin(holdMilliseconds, true);
	}

	/**
	 * Whether the entry is of the process known last under this key, and accepts calls. An entry of that kind is out of
	 * date if the process was leaving or has left, which no process takes back.
	 */
	isSameUsable(key: string, value: string): boolean {
		return this._documents.server(key, value)
			.map(({declared: {isLeaving, processStartedAt}}) => !isLeaving && (processStartedAt === undefined || processStartedAt === this._starts.get(key)))
			.unwrapOr(false);
	}

	/** Whether the backend server has announced that it leaves. */
	isLeaving(key: string): boolean {
		return this._entries.get(key)?.declared.isLeaving === true && !this._unreadable.has(key);
	}

	/** The entry is in the store, though its content is not used. */
	markPresent(key: string): void {
		this._gracePeriod.markPresent(key);
	}

	/** Handles an added or renewed entry. */
	put(key: string, value: string): EntryEffect {
		this._gracePeriod.markPresent(key);
		const read = this._documents.server(key, value).andThen(entry => this._requireProcessStart(key, entry));
		if (read.isErr()) {
			return this._markUnreadable(key, read.error);
		}

		const entry = this._withWarmUpEnd(read.value);
		const {processStartedAt} = entry.declared;
		const latest = this._starts.get(key);
		if (processStartedAt !== undefined && latest !== undefined && processStartedAt < latest) {
			this._context.log('info', 'entry of an earlier process of the backend server ignored', {backendServer: entry.instance, processStartedAt, latest});
			return 'outdated';
		}

		this._rememberStart(key, processStartedAt);
		const wasUnreadable = this._unreadable.delete(key);
		const known = this._entries.get(key);
		if (known !== undefined && !wasUnreadable && isSame(known.declared, entry.declared) && !this._hasWarmUpRestarted(known, entry)) {
			return 'unchanged';
		}

		this._entries.set(key, entry);
		this._logChange(entry, known);
		return 'changed';
	}

	/** Handles the removal of an entry; true = the backend server is removed. */
	remove(key: string, certainty: RemovalCertainty = 'uncertain'): boolean {
		return this._entries.has(key) && (certainty === 'certain' || !this._gracePeriod.hold(key)) && this._drop(key);
	}

	/** Removes all entries with other keys; true = some were removed. */
	retain(keys: ReadonlySet<string>, certainty: RemovalCertainty): boolean {
		let isChanged = false;
		for (const key of this._entries.keys()) {
			if (!keys.has(key)) {
				isChanged = this.remove(key, certainty) || isChanged;
			}
		}

		return isChanged;
	}

	/** Adds the time at which the warm-up ends: the entry only contains the time left when it was written. */
	private _withWarmUpEnd({instance, declared}: ServerEntry): ServerEntry {
		const {warmingMilliseconds = 0} = declared;
		return {instance, declared: warmingMilliseconds === 0 ? declared : {...declared, warmUntil: this._context.now + warmingMilliseconds}};
	}

	/**
	 * Whether a warm-up has started or restarted. Between two heartbeats the time left decreases by about the heartbeat
	 * interval.
	 */
	private _hasWarmUpRestarted({declared: {warmUntil: before = -Infinity}}: ServerEntry, {declared: {warmUntil}}: ServerEntry): boolean {
		const {now, settings: {heartbeatMilliseconds}} = this._context;
		return warmUntil !== undefined && (before <= now || warmUntil > before + heartbeatMilliseconds);
	}

	/**
	 * An entry without a process start, though an earlier one of its key had one, is by a foreign writer and identifies
	 * no process.
	 */
	private _requireProcessStart(key: string, entry: ServerEntry): Result<ServerEntry, DocumentFailure> {
		return entry.declared.processStartedAt === undefined && this._starts.has(key)
			? err(failure('invalid-document', 'the process start is missing, though an earlier entry had it'))
			: ok(entry);
	}

	/**
	 * Handles an entry corrupted by another writer. Its content is unknown, and the backend server registered there
	 * before may be gone. Until the entry is valid again, the backend server counts as leaving: it gets no new calls,
	 * and calls in flight finish there.
	 */
	private _markUnreadable(key: string, problem: DocumentFailure): EntryEffect {
		const reason = describeFailure(problem);
		const isNew = this._unreadable.get(key) !== reason;
		this._unreadable.set(key, reason);
		if (isNew) {
			this._context.log('warn', 'backend server entry is invalid; the backend server gets no new calls', {key, failure: reason});
		}

		const known = this._entries.get(key);
		if (known === undefined || known.declared.isLeaving) {
			return 'unchanged';
		}

		this._entries.set(key, {...known, declared: {...known.declared, isLeaving: true}});
		return 'changed';
	}

	/**
	 * Start times are kept after an entry is removed, since the last heartbeat of the earlier process may arrive later.
	 */
	private _rememberStart(key: string, processStartedAt: number | undefined): void {
		if (processStartedAt === undefined) {
			return;
		}

		this._starts.delete(key);
		this._starts.set(key, processStartedAt);
		if (this._starts.size > maxRememberedStarts + this._entries.size) {
			const [oldest] = this._starts.keys();
			this._starts.delete(oldest!);
		}
	}

	private _logChange({instance, declared}: ServerEntry, known: ServerEntry | undefined): void {
		const {service, isLeaving, address, port, processStartedAt} = declared;
		const isRestart = known !== undefined && known.declared.processStartedAt !== processStartedAt;
		const message = known === undefined ? 'backend server registered' : (isRestart ? 'backend server started again' : 'backend server changed');
		this._context.log('info', message, {
			backendServer: instance, service, address: `${address}:${port}`, isLeaving, ...(processStartedAt === undefined ? {} : {processStartedAt}),
		});
	}

	private _drop(key: string): boolean {
		this._unreadable.delete(key);
		const entry = this._entries.get(key);
		if (entry !== undefined) {
			this._context.log('info', 'backend server gone', {backendServer: entry.instance, service: entry.declared.service});
			this._onRemoved(key);
		}

		return this._entries.delete(key);
	}
}

/**
 * Whether two declarations are equal for the call engine. The remaining warm-up time only matters when first seen and
 * is not compared.
 */
function isSame(one: BackendServerInForce, other: BackendServerInForce): boolean {
	return one.service === other.service && one.address === other.address && one.port === other.port && one.dataCentre === other.dataCentre
		&& one.slots === other.slots && one.isLeaving === other.isLeaving && one.processStartedAt === other.processStartedAt;
}
