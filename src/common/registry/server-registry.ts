/** Backend servers as they have registered themselves. */
import {err, ok, type Result} from 'neverthrow';
import {type BackendServerIdentity, type BackendServerInForce} from '../calls/types.ts';
import {describeFailure, failure} from '../errors/failure.ts';
import {type Milliseconds} from '../model/units.ts';
import {RemovalGracePeriod} from './removal-grace-period.ts';
import {type RegistryContext} from './registry-context.ts';
import {type DocumentFailure, type DocumentReader, type ServerEntry} from './types.ts';

/** Heartbeats that an entry outlives its owner by. */
const heartbeatsToLapse = 3;

/** Starts of processes that are gone and are still remembered; a late heartbeat follows within seconds. */
const mostRememberedStarts = 1024;

/** What an entry meant. */
export type EntryEffect
	/** Calls are to be handled in another way. */
	= | 'changed'
	/** It says what was known; its heartbeat counts. */
		| 'unchanged'
	/** A word of a process that another one has replaced: as if it had not been written. */
		| 'outdated';

/** Owners that live are back this long after the store is; the rest is gone. */
const holdMilliseconds: Milliseconds = 2000;

/** What the registry tells and asks its surroundings. */
export type RegistryListener = {
	/** An entry is gone. */
	readonly onGone: (key: string) => void;
	/** Something has changed with time alone. */
	readonly onChanged: () => void;
	/** This VM reads the store itself at the moment. */
	readonly isReading: () => boolean;
};

export class ServerRegistry {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentReader;
	private readonly _entries = new Map<string, ServerEntry>();
	/** Why an entry cannot be read, by key: each reason is logged once, and not with each heartbeat. */
	private readonly _unreadable = new Map<string, string>();
	/** Latest start of a process told under each key. */
	private readonly _starts = new Map<string, number>();
	private readonly _gracePeriod: RemovalGracePeriod;
	private readonly _onGone: (key: string) => void;

	constructor(context: RegistryContext, documents: DocumentReader, {onGone, onChanged, isReading}: RegistryListener) {
		this._context = context;
		this._documents = documents;
		this._onGone = onGone;
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
	 * All backend servers by process; those of services that nobody declares are among them. `connectionLimits` = what the
	 * configuration in force says of their services; an entry may have been read before it.
	 */
	declared(connectionLimits: ReadonlyMap<string, number>): Map<BackendServerIdentity, BackendServerInForce> {
		return new Map(Array.from(this._entries.values(), ({instance, declared}) => [
			instance, {...declared, connectionLimit: connectionLimits.get(declared.service) ?? declared.connectionLimit},
		]));
	}

	/** The store is back: could entries have lapsed meanwhile? The last heartbeat may lie just before the outage. */
	onRegained(silence: Milliseconds): void {
		if (silence >= (heartbeatsToLapse - 1) * this._context.settings.heartbeatMilliseconds) {
			this._gracePeriod.begin(holdMilliseconds);
		}
	}

	/** Takes an entry in. */
	put(key: string, value: string): EntryEffect {
		this._gracePeriod.noteThere(key);
		const read = this._documents.server(key, value).andThen(entry => this._withItsStart(key, entry));
		if (read.isErr()) {
			return this._withhold(key, read.error);
		}

		const entry = this._withWarmUp(read.value);
		const {processStartedAt} = entry.declared;
		const latest = this._starts.get(key);
		if (processStartedAt !== undefined && latest !== undefined && processStartedAt < latest) {
			this._context.log('info', 'a word of a backend server\'s earlier process is passed over', {backendServer: entry.instance, processStartedAt, latest});
			return 'outdated';
		}

		this._rememberStart(key, processStartedAt);
		const wasUnreadable = this._unreadable.delete(key);
		const known = this._entries.get(key);
		if (known !== undefined && !wasUnreadable && isSame(known.declared, entry.declared) && !this._hasTurnedCold(known, entry)) {
			return 'unchanged';
		}

		this._entries.set(key, entry);
		this._logTaken(entry, known);
		return 'changed';
	}

	/**
	 * An entry has disappeared; true = the backend server is gone. `isCertain` = whoever says so has already waited for
	 * its owner to come back.
	 */
	remove(key: string, isCertain = false): boolean {
		return this._entries.has(key) && (isCertain || !this._gracePeriod.hold(key)) && this._drop(key);
	}

	/** Takes out all entries whose key is not among these; true = some are gone. */
	retain(keys: ReadonlySet<string>, isCertain = false): boolean {
		let isChanged = false;
		for (const key of this._entries.keys()) {
			if (!keys.has(key)) {
				isChanged = this.remove(key, isCertain) || isChanged;
			}
		}

		return isChanged;
	}

	/** With the instant at which its warm-up ends: what its entry tells is the time left when it was written. */
	private _withWarmUp({instance, declared}: ServerEntry): ServerEntry {
		const {warmingMilliseconds = 0} = declared;
		return {instance, declared: warmingMilliseconds === 0 ? declared : {...declared, warmUntil: this._context.now + warmingMilliseconds}};
	}

	/** A warm-up began, or began anew. Its time runs off between two heartbeats, give or take what reading them took. */
	private _hasTurnedCold({declared: {warmUntil: before = -Infinity}}: ServerEntry, {declared: {warmUntil}}: ServerEntry): boolean {
		const {now, settings: {heartbeatMilliseconds}} = this._context;
		return warmUntil !== undefined && (before <= now || warmUntil > before + heartbeatMilliseconds);
	}

	/** An entry that once told its process's start and tells none now is of another writer: it names no process. */
	private _withItsStart(key: string, entry: ServerEntry): Result<ServerEntry, DocumentFailure> {
		return entry.declared.processStartedAt === undefined && this._starts.has(key)
			? err(failure('invalid-document', 'the start of the process is missing, which was told before'))
			: ok(entry);
	}

	/**
	 * Guards calls against an entry that another writer has spoilt: what it names cannot be known, and the backend server
	 * that was read there before may be gone. It gets no new work, as one that leaves, until its entry can be read again;
	 * calls in flight finish there.
	 */
	private _withhold(key: string, problem: DocumentFailure): EntryEffect {
		const reason = describeFailure(problem);
		const isNew = this._unreadable.get(key) !== reason;
		this._unreadable.set(key, reason);
		if (isNew) {
			this._context.log('warn', 'a backend server\'s entry cannot be read; it gets no new work', {key, failure: reason});
		}

		const known = this._entries.get(key);
		if (known === undefined || known.declared.isLeaving) {
			return 'unchanged';
		}

		this._entries.set(key, {...known, declared: {...known.declared, isLeaving: true}});
		return 'changed';
	}

	/** Remembered beyond the entry's end, since the last heartbeat of the earlier process may come after that. */
	private _rememberStart(key: string, processStartedAt: number | undefined): void {
		if (processStartedAt === undefined) {
			return;
		}

		this._starts.delete(key);
		this._starts.set(key, processStartedAt);
		if (this._starts.size > mostRememberedStarts + this._entries.size) {
			const [oldest] = this._starts.keys();
			this._starts.delete(oldest!);
		}
	}

	private _logTaken({instance, declared}: ServerEntry, known: ServerEntry | undefined): void {
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
			this._onGone(key);
		}

		return this._entries.delete(key);
	}
}

/** Whether two declarations mean the same to calls; the time left to warm up only counts when first seen. */
function isSame(one: BackendServerInForce, other: BackendServerInForce): boolean {
	return one.service === other.service && one.address === other.address && one.port === other.port && one.dataCentre === other.dataCentre
		&& one.slots === other.slots && one.isLeaving === other.isLeaving && one.processStartedAt === other.processStartedAt;
}
