/**
 * State machine of a fleet that is coordinated through the store: configuration, backend servers, VMs and the lifecycle
 * of this VM.
 */
import {type CallConfiguration} from '../calls/types.ts';
import {
	type AddressAnswer, type FleetEffect, type FleetEvent, type FleetStage, type PeerAddress,
} from '../fleet/types.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {type StoreEntry, type StoreWrite} from '../platform/types.ts';
import {type StorePosition} from '../platform/store-position.ts';
import {BoundedStop} from './bounded-stop.ts';
import {Evacuations} from './evacuations.ts';
import {MemberRegistrar} from './member-registrar.ts';
import {ChangeLog} from './change-log.ts';
import {ConfigurationRegistry} from './configuration-registry.ts';
import {FeedFrames} from './feed-frames.ts';
import {FeedPublisher} from './feed-publisher.ts';
import {FeedSelector} from './feed-selector.ts';
import {FleetSharesSource} from './fleet-shares-source.ts';
import {OwnEntry} from './own-entry.ts';
import {RegistryContext} from './registry-context.ts';
import {ServerRegistry} from './server-registry.ts';
import {type MirrorChanges, StoreMirror} from './store-mirror.ts';
import {
	type DocumentCodec, type FeedFrame, type RegistrySettings,
} from './types.ts';
import {VmDirectory, type VmRanks} from './vm-directory.ts';
import {VmProber} from './vm-prober.ts';

/** Status of the fleet as seen by one VM. */
export type RegistryStatus = {
	readonly stage: FleetStage;
	readonly configurationVersion: number;
	readonly isWatchingStore: boolean;
	/** This VM reads the store itself and follows no other VM. */
	readonly isReadingStore: boolean;
	readonly storeContactAgeMilliseconds: Milliseconds | undefined;
	readonly vmCount: number;
	readonly backendServerCount: number;
};

export class RegistryFleet {
	private readonly _context: RegistryContext;
	private readonly _mirror: StoreMirror;
	private readonly _servers: ServerRegistry;
	private readonly _vms: VmDirectory;
	private readonly _prober: VmProber;
	private readonly _evacuations: Evacuations;
	private readonly _registrar: MemberRegistrar;
	private readonly _ownEntry: OwnEntry;
	private readonly _lifecycle: BoundedStop;
	private readonly _log = new ChangeLog();
	/** In random order, so that the VMs of a starting fleet do not all connect to the same seed. */
	private readonly _seeds: readonly PeerAddress[];
	private readonly _feedSelector: FeedSelector;
	private readonly _publisher: FeedPublisher;
	private readonly _configuration: ConfigurationRegistry;
	private readonly _frames: FeedFrames;
	/** This VM's own entry is in the store, as far as this VM knows. */
	private _isRegistered = false;
	private readonly _shares: FleetSharesSource;

	constructor(settings: RegistrySettings, documents: DocumentCodec, random: RandomSource) {
		this._context = new RegistryContext(settings);
		this._seeds = shuffled(settings.seeds.filter(seed => seed !== settings.own.peerAddress), random);
		this._configuration = new ConfigurationRegistry(this._context, documents);
		this._publisher = new FeedPublisher(this._context, this._log, {
			isReading: () => this._feedSelector.isReading,
			revision: () => this._mirror.revision,
			contactAge: now => this._mirror.contactAge(now),
		});
		this._evacuations = new Evacuations(this._context);
		const onRemoved = (key: string) => {
			this._log.remove(key);
		};

		const isReading = () => this._feedSelector.isReading;
		this._servers = new ServerRegistry(this._context, documents, {
			onRemoved,
			onChanged: () => {
				this._configure();
			},
			isReading,
		});
		this._prober = new VmProber(this._context);
		this._vms = new VmDirectory(this._context, documents, {random, prober: this._prober, listener: {onRemoved, isReading, hasMembers: () => this._registrar.hasMembers}});
		this._shares = new FleetSharesSource(this._context, this._vms);
		this._registrar = new MemberRegistrar(this._context, this._prober, {
			peerAddressOf: value => documents.vm(value).map(({peerAddress}) => peerAddress).unwrapOr(undefined),
			isReading: () => this._feedSelector.isReading,
			isStoreAvailable: () => this._mirror.isWatching,
			revisionOf: key => key === this._ownKey && !this._isRegistered ? undefined : this._log.revisionOf(key),
			onWritten: (writes, revision) => {
				this._applyOwnWrites(writes, revision);
			},
		});
		this._ownEntry = new OwnEntry(this._context, documents, this._registrar);
		this._frames = new FeedFrames(this._log, settings.layout, key => this._ownEntry.isSelfRegistered && key === this._ownKey);
		this._lifecycle = new BoundedStop({
			timers: this._context.timers,
			graceMilliseconds: settings.graceMilliseconds,
			longestCallMilliseconds: () => this._configuration.longestCallMilliseconds,
			onStage: stage => {
				this._onStage(stage);
			},
		});
		this._mirror = new StoreMirror(this._context, {
			onChanges: changes => {
				this._applyChanges(changes);
			},
			onRecovered: silence => {
				this._servers.onStoreRecovered(silence);
			},
			onRead: () => {
				this._publisher.onStoreRead();
				this._feedSelector.onStoreRead();
				this._registrar.onRead();
			},
			isReader: () => this._vms.ranks.isReader,
			isFollowing: () => this._feedSelector.source !== undefined,
			isSeed: () => settings.seeds.includes(settings.own.peerAddress),
		});
		this._feedSelector = new FeedSelector(this._context, () => this._ranksWithSeeds(), {
			onReadingChanged: isReading => {
				if (isReading) {
					this._publisher.onReadingStarted();
				}

				this._mirror.setReading(isReading);
			},
			onSourceChanged: source => {
				this._frames.reset();
				this._ownEntry.announceTurn();
				this._context.emit({type: 'follow-feed', source});
			},
			hasMembers: () => this._registrar.hasMembers,
		});
	}

	handle(event: FleetEvent, now: Instant): readonly FleetEffect[] {
		this._context.now = now;
		switch (event.type) {
			case 'started': {
				this._context.emit({type: 'stage', stage: this._lifecycle.stage});
				this._mirror.start();
				this._feedSelector.start(this._context.settings.seeds.includes(this._context.settings.own.peerAddress));
				break;
			}

			case 'feed-frame': {
				this._handleFrame(event.source, event.frame);
				break;
			}

			case 'feed-closed': {
				this._feedSelector.onSourceClosed(event.source);
				break;
			}

			case 'member-announced': {
				this._registrar.handleAnnouncement(event.announcement);
				break;
			}

			case 'member-ended': {
				this._registrar.onStreamClosed(event.identity);
				break;
			}

			case 'vm-probed': {
				this._prober.handleResult(event.identity, event.isServing);
				break;
			}

			case 'store-replied': {
				this._context.handleReply(event.requestId, event.reply);
				break;
			}

			case 'traffic': {
				this._lifecycle.setCallsInFlight(event.traffic.callsInFlight);
				break;
			}

			case 'stop-requested': {
				this._lifecycle.stop(now);
				break;
			}

			case 'tick': {
				this._context.timers.run(now);
				break;
			}

			default:
		}

		this._ownEntry.setRole({source: this._feedSelector.freshSource, isReader: this._vms.ranks.isReader});
		this._shares.update(this._lifecycle.stage === 'serving');
		this._publisher.publish();
		return this._context.takeEffects();
	}

	nextWakeUp(): Instant | undefined {
		return this._context.timers.next();
	}

	/** The VMs that a caller in this data centre should use. */
	addresses(service: string, dataCentre?: string): AddressAnswer {
		const isServing = this._lifecycle.stage === 'serving';
		return this._vms.answer(service, isServing ? this._context.settings.own : undefined, dataCentre);
	}

	/** Call addresses of the VMs known to serve, including this VM while it serves. */
	knownCallAddresses(): string[] {
		const {callAddress} = this._context.settings.own;
		return [...this._vms.callAddresses(), ...(this._lifecycle.stage === 'serving' ? [callAddress] : [])];
	}

	status(now: Instant): RegistryStatus {
		return {
			stage: this._lifecycle.stage,
			configurationVersion: this._configuration.version,
			isWatchingStore: this._mirror.isWatching,
			isReadingStore: this._feedSelector.isReading,
			storeContactAgeMilliseconds: this._mirror.contactAge(now),
			vmCount: this._vms.size + 1,
			backendServerCount: this._servers.size,
		};
	}

	/** Whether this VM is the process with that identity and accepts calls. */
	isServing(identity: string): boolean {
		return identity === this._context.settings.identity && this._lifecycle.stage === 'serving';
	}

	/** A snapshot of all entries for another VM. */
	feed(now: Instant): FeedFrame {
		return this._publisher.snapshot(now);
	}

	private _handleFrame(source: PeerAddress, frame: FeedFrame): void {
		const changes = source === this._feedSelector.source ? this._frames.changesOf(source, frame, this._mirror.revision ?? -1) : undefined;
		if (changes === undefined) {
			return;
		}

		const {entries, deleted, isCurrent} = changes;
		this._applyChanges({entries, deleted, isWhole: false}, true);
		if (isCurrent) {
			this._mirror.onFrame(frame.revision, frame.ageMilliseconds);
			this._feedSelector.onFrame(frame.ageMilliseconds);
		} else {
			this._context.log('info', 'frame of the registry feed is behind the entries known here', {source, frame: frame.revision, known: this._mirror.revision ?? 0});
		}
	}

	/** Applies and publishes this VM's own writes at once, without waiting for the next store read. */
	private _applyOwnWrites(writes: readonly StoreWrite[], revision: StorePosition): void {
		const entries = writes.flatMap(({key, expected, value}) => value === undefined
			? []
			: [{
				key, value, revision, createdAt: expected === 0 ? revision : this._log.createdAt(key) ?? revision,
			}]);
		const deleted = writes.filter(({value}) => value === undefined).map(({key}) => key);
		this._applyChanges({entries, deleted, isWhole: false}, true);
	}

	/**
	 * Seeds come first until one VM has sent a fresh feed, but no longer, since the list of seeds may be out of date.
	 * When a whole fleet restarts, the entries in the store are those of dead processes, and the VMs that they name
	 * have only just started to read as well.
	 */
	private _ranksWithSeeds(): VmRanks {
		const {ranks} = this._vms;
		return this._feedSelector.hasHadFreshFeed ? ranks : {...ranks, sources: [...this._seeds, ...ranks.sources.filter(source => !this._seeds.includes(source))]};
	}

	/** `isCertain` = the sender of removals has already waited for the owners to register again. */
	private _applyChanges({entries, deleted, isWhole}: MirrorChanges, isCertain = false): void {
		let isChanged = false;
		for (const entry of entries) {
			isChanged = this._applyEntry(entry) || isChanged;
		}

		for (const key of deleted) {
			isChanged = this._applyDeleted(key, isCertain) || isChanged;
		}

		if (isWhole) {
			const keys = new Set(entries.map(entry => entry.key));
			isChanged = this._servers.retain(keys) || isChanged;
			this._vms.retain(keys);
			this._checkOwnEntry(keys);
			for (const key of this._evacuations.missingFrom(keys)) {
				isChanged = this._applyDeleted(key, true) || isChanged;
			}
		}

		if (isChanged) {
			this._configure();
		}

		this._feedSelector.onRanksChanged();
	}

	/** Handles the removal of this VM's own entry, if it was in the store and is missing from a complete list. */
	private _checkOwnEntry(keys: ReadonlySet<string>): void {
		if (!keys.has(this._ownKey) && this._isRegistered) {
			this._applyDeleted(this._ownKey, true);
		}
	}

	/** Applies an entry; true = the configuration of the call engine changes. */
	private _applyEntry(entry: StoreEntry): boolean {
		const {key, value} = entry;
		const {layout} = this._context.settings;
		if (key === layout.configurationKey) {
			const isAdopted = this._configuration.apply(value);
			if (isAdopted) {
				this._log.put(entry, true);
			}

			return isAdopted;
		}

		if (key.startsWith(layout.serverPrefix)) {
			const effect = this._servers.put(key, value);
			if (effect !== 'outdated') {
				this._log.put(entry, effect === 'changed');
			}

			return effect === 'changed';
		}

		if (this._evacuations.isKey(key)) {
			const hasBegun = this._evacuations.put(key);
			this._log.put(entry, hasBegun);
			return hasBegun;
		}

		if (key.startsWith(layout.vmPrefix)) {
			const isOwn = key === this._ownKey;
			const isChange = isOwn ? this._log.revisionOf(key) !== entry.revision : this._vms.put(entry);
			this._log.put(entry, isChange);
			if (isOwn) {
				this._setRegistered(true);
			}
		}

		return false;
	}

	/**
	 * Sets whether this VM's entry is in the store. The revision of its creation determines whether other VMs follow
	 * this one.
	 */
	private _setRegistered(isRegistered: boolean): void {
		this._isRegistered = isRegistered;
		this._vms.setOwn(isRegistered ? this._log.createdAt(this._ownKey) : undefined);
		this._ownEntry.setInStore(isRegistered);
	}

	/**
	 * Handles the removal of this VM's own entry. While this VM serves, the entry is written again and the removal is
	 * not published: followers treat a published removal as certain and would drop a VM that is alive.
	 */
	private _handleOwnDeleted(): void {
		if (this._lifecycle.stage !== 'serving') {
			this._log.remove(this._ownKey);
		}

		this._setRegistered(false);
	}

	private get _ownKey(): string {
		const {layout, identity} = this._context.settings;
		return layout.vmPrefix + identity;
	}

	private _applyDeleted(key: string, isCertain: boolean): boolean {
		const {layout} = this._context.settings;
		if (key.startsWith(layout.vmPrefix)) {
			this._registrar.onRemoved(key);
		}

		if (key === this._ownKey) {
			this._handleOwnDeleted();
		} else if (key.startsWith(layout.vmPrefix)) {
			this._vms.remove(key, isCertain);
		} else if (key.startsWith(layout.serverPrefix)) {
			return this._servers.remove(key, isCertain);
		} else if (this._evacuations.isKey(key)) {
			this._log.remove(key);
			return this._evacuations.remove(key);
		}

		return false;
	}

	private _configure(): void {
		const {inForce} = this._configuration;
		if (inForce === undefined) {
			return;
		}

		const {version, services, routing, connectionLimits, warmUpLimits} = inForce;
		const configuration: CallConfiguration = {
			version,
			services: new Map(services.map(service => [service.name, service])),
			backendServers: this._servers.declared(connectionLimits),
			...(warmUpLimits === undefined ? {} : {warmUpLimits}),
			evacuatedDataCentres: this._evacuations.dataCentres,
			sharingRules: [],
			routing,
		};
		this._context.emit({type: 'configured', configuration});
		this._lifecycle.onConfigured();
	}

	private _onStage(stage: FleetStage): void {
		this._context.emit({type: 'stage', stage});
		if (stage === 'serving') {
			this._ownEntry.publish();
		} else if (this._lifecycle.isStopping) {
			this._ownEntry.withdraw();
		}
	}
}

/** Returns the items in random order. */
function shuffled<Item>(items: readonly Item[], random: RandomSource): Item[] {
	return items.map(item => ({item, place: random.next()})).toSorted((one, other) => one.place - other.place).map(({item}) => item);
}
