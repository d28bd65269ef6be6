/** Records of backend servers whose entry has left the configuration. */
import {type BackendServerState} from './backend-server-state.ts';
import {type BackendServerIdentity, type BackendServerInForce} from './types.ts';

/** Records that are kept besides as many as there are backend servers in force: all of them can lapse at the same time. */
const spareRecords = 256;

/**
 * Keeps what is known of a process for as long as the process may live: its entry can be missing for a while, and what the
 * process has announced (a rate limit, a warm-up), its calls in flight and its probe budget remain valid.
 */
export class RemovedServers {
	private readonly _records = new Map<BackendServerIdentity, BackendServerState>();

	get size(): number {
		return this._records.size;
	}

	/** Keeps a record; `inForceCount` = number of backend servers in force. */
	keep(server: BackendServerState, inForceCount: number): void {
		this._records.delete(server.identity);
		this._records.set(server.identity, server);
		for (const identity of this._records.keys()) {
			if (this._records.size <= spareRecords + inForceCount) {
				return;
			}

			this._records.delete(identity);
		}
	}

	/** Takes out the record of a backend server that is declared again; undefined = none, or it is of another process. */
	take(identity: BackendServerIdentity, declared: BackendServerInForce): BackendServerState | undefined {
		const record = this._records.get(identity);
		this._records.delete(identity);
		return record?.declared.processStartedAt === declared.processStartedAt ? record : undefined;
	}
}
