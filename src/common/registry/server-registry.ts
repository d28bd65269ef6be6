/** Backend servers as they have registered themselves. */
import {type BackendServerIdentity} from '../calls/types.ts';
import {describeFailure} from '../errors/failure.ts';
import {type BackendServer} from '../model/resources.ts';
import {type Milliseconds} from '../model/units.ts';
import {DoubtfulRemovals} from './doubtful-removals.ts';
import {type RegistryContext} from './registry-context.ts';
import {type DocumentReader, type ServerEntry} from './types.ts';

/** Heartbeats that an entry outlives its owner by. */
const heartbeatsToLapse = 3;

/** Owners that live are back this long after the store is; the rest is gone. */
const holdMilliseconds: Milliseconds = 2000;

export class ServerRegistry {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentReader;
	private readonly _entries = new Map<string, ServerEntry>();
	private readonly _doubts: DoubtfulRemovals;
	private readonly _onGone: (key: string) => void;

	/** `onGone` is told of each entry that is gone, `onChanged` of changes that come with time alone. */
	constructor(context: RegistryContext, documents: DocumentReader, onGone: (key: string) => void, onChanged: () => void) {
		this._context = context;
		this._documents = documents;
		this._onGone = onGone;
		this._doubts = new DoubtfulRemovals(context, 'servers', keys => {
			for (const key of keys) {
				this._drop(key);
			}

			onChanged();
		});
	}

	get size(): number {
		return this._entries.size;
	}

	/**
	 * All backend servers by process; those of services that nobody declares are among them. `connectionLimits` = what the
	 * configuration in force says of their services; an entry may have been read before it.
	 */
	declared(connectionLimits: ReadonlyMap<string, number>): Map<BackendServerIdentity, BackendServer> {
		return new Map(Array.from(this._entries.values(), ({instance, declared}) => [
			instance, {...declared, connectionLimit: connectionLimits.get(declared.service) ?? declared.connectionLimit},
		]));
	}

	/** The store is back: could entries have lapsed meanwhile? The last heartbeat may lie just before the outage. */
	onRegained(silence: Milliseconds): void {
		if (silence >= (heartbeatsToLapse - 1) * this._context.settings.heartbeatMilliseconds) {
			this._doubts.beginDoubt(holdMilliseconds);
		}
	}

	/** Takes an entry in; true = more than its heartbeat has changed. */
	put(key: string, value: string): boolean {
		const read = this._documents.server(key, value);
		if (read.isErr()) {
			this._context.log('warn', 'a backend server\'s entry cannot be read and is left as it was', {key, failure: describeFailure(read.error)});
			return false;
		}

		this._doubts.noteThere(key);
		const entry = read.value;
		const known = this._entries.get(key);
		if (known !== undefined && isSame(known.declared, entry.declared)) {
			return false;
		}

		this._entries.set(key, entry);
		const {service, isLeaving, address, port} = entry.declared;
		this._context.log('info', known === undefined ? 'backend server registered' : 'backend server changed', {
			backendServer: entry.instance, service, address: `${address}:${port}`, isLeaving,
		});
		return true;
	}

	/**
	 * An entry has disappeared; true = the backend server is gone. `isCertain` = whoever says so has already waited for
	 * its owner to come back.
	 */
	remove(key: string, isCertain = false): boolean {
		return this._entries.has(key) && (isCertain || !this._doubts.hold(key)) && this._drop(key);
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

	private _drop(key: string): boolean {
		const entry = this._entries.get(key);
		if (entry !== undefined) {
			this._context.log('info', 'backend server gone', {backendServer: entry.instance, service: entry.declared.service});
			this._onGone(key);
		}

		return this._entries.delete(key);
	}
}

/** Whether two declarations mean the same to calls; the time left to warm up only counts when first seen. */
function isSame(one: BackendServer, other: BackendServer): boolean {
	return one.service === other.service && one.address === other.address && one.port === other.port && one.dataCentre === other.dataCentre
		&& one.slots === other.slots && one.isLeaving === other.isLeaving;
}
