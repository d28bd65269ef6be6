/** Decides which entries of a snapshot apply at once, since a restored store contains entries that are out of date. */
import {type StoreEntry} from '../platform/types.ts';
import {type ChangeLog} from './change-log.ts';
import {type Evacuations} from './evacuations.ts';
import {type RegistryContext} from './registry-context.ts';
import {type RevertedRemovals} from './reverted-removals.ts';
import {type ServerRegistry} from './server-registry.ts';
import {type DocumentCodec} from './types.ts';
import {type VmDirectory} from './vm-directory.ts';
import {type VmProber} from './vm-prober.ts';

/** State of the registry engine that the filter uses. */
export type SnapshotFilterOptions = {
	readonly documents: DocumentCodec;
	readonly log: ChangeLog;
	readonly servers: ServerRegistry;
	readonly vms: VmDirectory;
	readonly evacuations: Evacuations;
	readonly prober: VmProber;
	readonly revertedRemovals: RevertedRemovals;
	/** A VM that was probed accepts calls: its entry applies. */
	readonly onServing: (entry: StoreEntry) => void;
};

export class SnapshotFilter {
	private readonly _context: RegistryContext;
	private readonly _options: SnapshotFilterOptions;

	constructor(context: RegistryContext, options: SnapshotFilterOptions) {
		this._context = context;
		this._options = options;
	}

	/**
	 * Whether the entry applies at once. An entry that was removed before a restore of the store is withheld, a backend
	 * server that was leaving keeps leaving, and a VM that may have ended since the backup is probed first. `isRestored` =
	 * the snapshot is the first one since the restore.
	 */
	accepts(entry: StoreEntry, isRestored: boolean): boolean {
		const {key} = entry;
		const {vmPrefix, serverPrefix} = this._context.settings.layout;
		if (key.startsWith(vmPrefix)) {
			return this._acceptsVm(entry, isRestored);
		}

		return key.startsWith(serverPrefix) ? this._acceptsServer(entry) : this._acceptsOrder(entry);
	}

	private _acceptsVm(entry: StoreEntry, isRestored: boolean): boolean {
		const {vms, log} = this._options;
		const {layout: {vmPrefix}, identity} = this._context.settings;
		const mustProbe = entry.key !== vmPrefix + identity && !vms.has(entry.key) && (isRestored || log.wasRemovedBeforeRestore(entry));
		if (mustProbe) {
			this._probe(entry);
		}

		return !mustProbe;
	}

	private _acceptsServer(entry: StoreEntry): boolean {
		const {servers, log, revertedRemovals} = this._options;
		const {key, value} = entry;
		const wasLeaving = servers.isLeaving(key) && log.wasWrittenBeforeRestore(entry);
		const wasRemoved = log.wasRemovedBeforeRestore(entry);
		if (!(wasLeaving || wasRemoved) || !servers.isSameUsable(key, value)) {
			return true;
		}

		if (wasLeaving) {
			servers.markPresent(key);
		} else {
			revertedRemovals.withhold(entry);
		}

		return false;
	}

	/** Decides on an operator's order: the configuration, which has a version, or an evacuation. */
	private _acceptsOrder(entry: StoreEntry): boolean {
		const {evacuations, log, revertedRemovals} = this._options;
		const isReverted = evacuations.isKey(entry.key) && log.wasRemovedBeforeRestore(entry);
		if (isReverted) {
			revertedRemovals.withhold(entry);
		}

		return !isReverted;
	}

	/**
	 * Probes a VM before it is named to callers. Its entry is published meanwhile, as followers take an entry that a
	 * snapshot lacks for removed.
	 */
	private _probe(entry: StoreEntry): void {
		const {documents, log, prober, revertedRemovals, onServing} = this._options;
		const {key, value} = entry;
		const address = documents.vm(value).map(({peerAddress}) => peerAddress).unwrapOr(undefined);
		if (address === undefined) {
			this._context.log('warn', 'VM entry in the restored store is invalid; callers are not sent to this VM', {key});
			return;
		}

		log.put(entry, true);
		revertedRemovals.withhold(entry);
		prober.probe(key.slice(this._context.settings.layout.vmPrefix.length), address, isServing => {
			if (!revertedRemovals.has(entry)) {
				return;
			}

			revertedRemovals.release(key);
			if (isServing) {
				onServing(entry);
			} else {
				log.remove(key);
				this._context.log('info', 'VM in the restored store does not respond; callers are not sent to it', {member: key});
			}
		});
	}
}
