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
import {
	eraOf, formatPosition, isLater, type StorePosition,
} from '../platform/store-position.ts';
import {BoundedStop} from './bounded-stop.ts';
import {Evacuations} from './evacuations.ts';
import {EvidenceComparison} from './evidence-comparison.ts';
import {EvidenceStore} from './evidence-store.ts';
import {MemberRegistrar} from './member-registrar.ts';
import {type LimitRights, LimitSlots} from './limit-slots.ts';
import {ChangeLog} from './change-log.ts';
import {ConfigurationRegistry} from './configuration-registry.ts';
import {FeedFrames, frameInEra} from './feed-frames.ts';
import {FeedPublisher} from './feed-publisher.ts';
import {FeedSelector} from './feed-selector.ts';
import {FleetSharesSource} from './fleet-shares-source.ts';
import {OwnEntry} from './own-entry.ts';
import {RegistryContext} from './registry-context.ts';
import {type RemovalCertainty} from './removal-grace-period.ts';
import {RevertedRemovals} from './reverted-removals.ts';
import {ServerRegistry} from './server-registry.ts';
import {SnapshotFilter} from './snapshot-filter.ts';
import {type MirrorChanges, StoreMirror} from './store-mirror.ts';
import {
	type DocumentCodec, type EvidenceKey, type EvidenceReply, type FeedFrame, type RegistrySettings,
} from './types.ts';
import {UpdateExchange} from './update-exchange.ts';
import {VmDirectory, type VmRanks} from './vm-directory.ts';
import {VmProber} from './vm-prober.ts';

/** Events that need no handling here, with the reason. The compiler rejects an event type that is neither handled nor listed. */
const ignoredEvents = {
	'leaving-sign': 'the load update that follows contains the same report',
	returned: 'the load update that follows contains the same report',
	'own-load': 'callers choose among all VMs alike',
	'peer-message': 'of a fleet that coordinates itself',
	'peer-unreachable': 'of a fleet that coordinates itself',
	'vm-list': 'of a fleet that coordinates itself',
	'operator-change': 'of a fleet that coordinates itself',
	'operator-drain': 'of a fleet that coordinates itself',
} as const satisfies Partial<Record<FleetEvent['type'], string>>;

type HandledEvent = Exclude<FleetEvent, {type: keyof typeof ignoredEvents}>;

function isHandled(event: FleetEvent): event is HandledEvent {
	return !Object.hasOwn(ignoredEvents, event.type);
}

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
	private readonly _revertedRemovals: RevertedRemovals;
	private readonly _snapshotFilter: SnapshotFilter;
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
	/** When this VM has noticed the last restore of the store. */
	private _restoredAt: Instant = Number.NEGATIVE_INFINITY;
	private readonly _shares: FleetSharesSource;
	private readonly _updates: UpdateExchange;
	private readonly _evidence = new EvidenceStore();
	private readonly _comparison: EvidenceComparison;
	private readonly _limitSlots: LimitSlots;

	constructor(settings: RegistrySettings, documents: DocumentCodec, random: RandomSource) {
		this._context = new RegistryContext(settings);
		this._seeds = shuffled(settings.seeds.filter(seed => seed !== settings.own.peerAddress), random);
		this._configuration = new ConfigurationRegistry(this._context, documents);
		this._publisher = new FeedPublisher(this._context, this._log, {
			isReading: () => this._feedSelector.isReading,
			revision: () => this._mirror.revision,
			contactAge: now => this._mirror.contactAge(now),
		});
		this._evacuations = new Evacuations(this._context, keys => {
			for (const key of keys) {
				this._applyDeleted(key, 'certain');
			}

			this._configure();
		});
		this._revertedRemovals = new RevertedRemovals(this._context, entries => {
			this._applyChanges({entries, deleted: [], isWhole: false});
		});
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
		const peers = () => this._vms.peerAddresses();
		this._updates = new UpdateExchange(this._context, {random, peers, evidence: this._evidence});
		this._comparison = new EvidenceComparison(this._context, {
			evidence: this._evidence, exchange: this._updates, peers, isLeaving: () => this._lifecycle.isStopping,
		});
		this._limitSlots = new LimitSlots(this._context, {
			random,
			isStoreAvailable: () => this._mirror.isWatching,
			isRegistered: () => this._isRegistered,
			claimRank: () => this._vms.claimRank(),
			onWritten: entry => {
				this._applyChanges({entries: [entry], deleted: [], isWhole: false}, 'certain');
			},
			onRemoved: key => {
				this._applyChanges({entries: [], deleted: [key], isWhole: false}, 'certain');
			},
		});
		this._snapshotFilter = new SnapshotFilter(this._context, {
			documents, log: this._log, servers: this._servers, vms: this._vms, evacuations: this._evacuations, prober: this._prober, revertedRemovals: this._revertedRemovals,
			onServing: entry => {
				this._applyChanges({entries: [entry], deleted: [], isWhole: false});
			},
		});
		this._registrar = new MemberRegistrar(this._context, this._prober, {
			peerAddressOf: value => documents.vm(value).map(({peerAddress}) => peerAddress).unwrapOr(undefined),
			isReading: () => this._feedSelector.isReading,
			isStoreAvailable: () => this._mirror.isWatching,
			revisionOf: key => this._storedRevisionOf(key),
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
			onRestoreCompleted: () => {
				this._context.log('info', 'all entries have been read since the store was restored', {milliseconds: Math.round(this._context.now - this._restoredAt), source: this._feedSelector.source ?? 'store'});
			},
			onRead: () => {
				this._publisher.onStoreRead();
				this._feedSelector.onStoreRead();
				this._registrar.onRead();
				this._limitSlots.onStoreRead();
			},
			isReader: () => this._vms.ranks.isReader,
			isFollowing: () => this._feedSelector.source !== undefined,
			isSeed: () => settings.seeds.includes(settings.own.peerAddress),
		});
		this._feedSelector = new FeedSelector(this._context, () => this._ranksWithSeeds(), {
			onReadingChanged: isReading => {
				if (isReading) {
					this._publisher.requireSnapshot();
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
		this._context.onRestored(() => {
			this._onRestored();
		});
	}

	handle(event: FleetEvent, now: Instant): readonly FleetEffect[] {
		this._context.now = now;
		if (isHandled(event)) {
			this._dispatch(event, now);
		}

		this._ownEntry.setRole({source: this._feedSelector.freshSource, isReader: this._vms.ranks.isReader});
		this._shares.update(this._lifecycle.stage === 'serving');
		this._limitSlots.update();
		this._comparison.update();
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

	/** The slots of the rate limits for which this VM may grant. */
	limitRights(now: Instant): LimitRights {
		return this._limitSlots.rights(now);
	}

	/** Whether this VM is the process with that identity and accepts calls. */
	isServing(identity: string): boolean {
		return identity === this._context.settings.identity && this._lifecycle.stage === 'serving';
	}

	/** A snapshot of all entries for another VM. */
	feed(now: Instant): FeedFrame {
		return {...this._publisher.snapshot(now), updates: this._evidence.snapshot(now)};
	}

	/** Compares the evidence of crashes with that of another VM, which has the evidence of these keys. */
	compareEvidence(known: readonly EvidenceKey[], now: Instant): EvidenceReply {
		return this._evidence.compare(known, now);
	}

	private _dispatch(event: HandledEvent, now: Instant): void {
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

			case 'woke': {
				this._limitSlots.onWoke();
				this._comparison.onWoke();
				break;
			}

			case 'limits-socket': {
				this._limitSlots.setSocketOpen(event.isOpen);
				break;
			}

			case 'tick': {
				this._context.timers.run(now);
				break;
			}

			default: {
				this._handleUpdates(event);
			}
		}
	}

	private _handleUpdates(event: Extract<HandledEvent, {type: 'load-update' | 'updates-received' | 'evidence-compared'}>): void {
		switch (event.type) {
			case 'load-update': {
				this._updates.addOwn(event.update);
				if (event.update.crash !== undefined) {
					this._comparison.onOwnCrash();
				}

				break;
			}

			case 'updates-received': {
				this._updates.addReceived(event.updates);
				break;
			}

			case 'evidence-compared': {
				this._comparison.handleReply(event.from, event.reply);
				break;
			}
		}
	}

	/** The store has lost its latest writes: this VM reads everything and writes its entries again. */
	private _onRestored(): void {
		this._restoredAt = this._context.now;
		this._registrar.onRestored();
		this._mirror.onRestored();
	}

	private _handleFrame(source: PeerAddress, received: FeedFrame): void {
		this._updates.addKnownToAll(received.updates ?? []);
		const frame = this._withEra(received);
		const isEmpty = !isLater(frame.revision, 0);
		if (!isEmpty && frame.lacksEra !== true) {
			this._context.noteEra(eraOf(frame.revision));
		}

		const isUsable = source === this._feedSelector.source && (isEmpty || !this._context.isOutdated(eraOf(frame.revision)));
		const changes = isUsable ? this._frames.changesOf(source, frame, this._mirror.revision ?? -1) : undefined;
		if (changes === undefined) {
			return;
		}

		const {entries, deleted, lostByRestore, isCurrent} = changes;
		this._revertedRemovals.handleFrame(frame);
		this._applyChanges({
			entries, deleted, lostByRestore, isWhole: false, isSnapshot: frame.isWhole, isRestored: isCurrent && this._mirror.isRestorePending,
		}, 'certain');
		if (isCurrent) {
			this._mirror.onFrame(frame.revision, frame.ageMilliseconds);
			this._feedSelector.onFrame(frame.ageMilliseconds);
		} else {
			this._context.log('info', 'frame of the registry feed is behind the entries known here', {source, frame: formatPosition(frame.revision), known: formatPosition(this._mirror.revision ?? 0)});
		}
	}

	/**
	 * Completes a frame of an earlier build, whose era is unknown: it is assumed to be that of this VM, but not once the
	 * store has been restored, since that VM may not have noticed.
	 */
	private _withEra(frame: FeedFrame): FeedFrame {
		const {era, hasSeenRestore} = this._context;
		return frame.lacksEra === true && era !== undefined && !hasSeenRestore ? frameInEra(frame, era) : frame;
	}

	/** Revision of a key in the store; undefined = not in the store, as far as this VM knows. */
	private _storedRevisionOf(key: string): StorePosition | undefined {
		const revision = this._log.revisionOf(key);
		const isGone = revision === undefined || (key === this._ownKey && !this._isRegistered) || this._context.isOutdated(eraOf(revision));
		return isGone ? undefined : revision;
	}

	/** Applies and publishes this VM's own writes at once, without waiting for the next store read. */
	private _applyOwnWrites(writes: readonly StoreWrite[], revision: StorePosition): void {
		const entries = writes.flatMap(({key, expected, value}) => value === undefined
			? []
			: [{
				key, value, revision, createdAt: expected === 0 ? revision : this._log.createdAt(key) ?? revision,
			}]);
		const deleted = writes.filter(({value}) => value === undefined).map(({key}) => key);
		this._applyChanges({entries, deleted, isWhole: false}, 'certain');
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

	/** `certainty` = of the removals in `deleted`; entries that a list of the store lacks may have lapsed. */
	private _applyChanges(changes: MirrorChanges, certainty: RemovalCertainty = 'uncertain'): void {
		const {entries, deleted, lostByRestore = [], isWhole, isSnapshot = isWhole, isRestored = false} = changes;
		if (isRestored) {
			this._beginGracePeriods();
		}

		const accepted = isSnapshot ? entries.filter(entry => this._snapshotFilter.accepts(entry, isRestored)) : entries;
		const effects = [
			...accepted.map(entry => this._applyEntry(entry)),
			...deleted.map(key => this._applyDeleted(key, certainty)),
			...lostByRestore.map(key => this._applyDeleted(key, 'restored')),
		];
		let isChanged = effects.includes(true);

		if (isWhole) {
			isChanged = this._retain(new Set(entries.map(entry => entry.key)), isRestored ? 'restored' : 'uncertain') || isChanged;
		}

		if (isChanged) {
			this._configure();
		}

		this._feedSelector.onRanksChanged();
	}

	/** The first entries read after a restore of the store may lack some whose owners are alive. */
	private _beginGracePeriods(): void {
		this._servers.onRestored();
		this._evacuations.onRestored();
		this._publisher.requireSnapshot();
	}

	/** Handles the removal of all other keys; true = the configuration of the call engine changes. */
	private _retain(keys: ReadonlySet<string>, certainty: RemovalCertainty): boolean {
		let isChanged = this._servers.retain(keys, certainty);
		this._vms.retain(keys, certainty);
		this._revertedRemovals.retain(keys);
		this._checkOwnEntry(keys);
		for (const key of this._evacuations.missingFrom(keys)) {
			isChanged = this._applyDeleted(key, certainty) || isChanged;
		}

		for (const key of this._limitSlots.keys.filter(key => !keys.has(key))) {
			this._applyDeleted(key, certainty);
		}

		return isChanged;
	}

	/** Handles the removal of this VM's own entry, if it was in the store and is missing from a complete list. */
	private _checkOwnEntry(keys: ReadonlySet<string>): void {
		if (!keys.has(this._ownKey) && this._isRegistered) {
			this._applyDeleted(this._ownKey, 'certain');
		}
	}

	/** Applies an entry; true = the configuration of the call engine changes. */
	private _applyEntry(entry: StoreEntry): boolean {
		const {key, value} = entry;
		const {layout} = this._context.settings;
		this._revertedRemovals.release(key);
		if (key === layout.configurationKey) {
			const isAdopted = this._configuration.apply(value);
			if (isAdopted || this._log.valueOf(key) === value) {
				this._log.put(entry, isAdopted);
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

		if (this._limitSlots.isKey(key)) {
			if (this._limitSlots.put(entry)) {
				this._log.put(entry, true);
			}

			return false;
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

	private _applyDeleted(key: string, certainty: RemovalCertainty): boolean {
		const {layout} = this._context.settings;
		if (this._revertedRemovals.release(key)) {
			this._log.publishRemoval(key);
		}

		if (this._limitSlots.isKey(key)) {
			this._handleLimitSlotRemoved(key, certainty);
			return false;
		}

		if (key.startsWith(layout.vmPrefix)) {
			this._registrar.onRemoved(key);
		}

		if (key === this._ownKey) {
			this._handleOwnDeleted();
		} else if (key.startsWith(layout.vmPrefix)) {
			if (!this._vms.has(key)) {
				this._log.remove(key);
			}

			this._vms.remove(key, certainty);
		} else if (key.startsWith(layout.serverPrefix)) {
			return this._servers.remove(key, certainty);
		} else if (this._evacuations.isKey(key)) {
			if (certainty === 'restored') {
				this._evacuations.hold(key);
				return false;
			}

			this._log.remove(key);
			return this._evacuations.remove(key);
		}

		return false;
	}

	/**
	 * A reply to a read may have been on its way while this VM's own write was confirmed: a removal that it reports, or a
	 * key that its list lacks, is then older than the entry known here.
	 */
	private _handleLimitSlotRemoved(key: string, certainty: RemovalCertainty): void {
		const revision = this._limitSlots.revisionOf(key);
		const isOlder = certainty !== 'certain' && revision !== undefined && !this._context.isOutdated(eraOf(revision)) && isLater(revision, this._mirror.revision ?? 0);
		if (!isOlder) {
			this._log.remove(key);
			this._limitSlots.remove(key);
		}
	}

	private _configure(): void {
		const {inForce} = this._configuration;
		if (inForce === undefined) {
			return;
		}

		const {version, services, routing, connectionLimits, warmUpLimits, organisations, keyOwners} = inForce;
		const configuration: CallConfiguration = {
			version,
			services: new Map(services.map(service => [service.name, service])),
			backendServers: this._servers.declared(connectionLimits),
			...(warmUpLimits === undefined ? {} : {warmUpLimits}),
			evacuatedDataCentres: this._evacuations.dataCentres,
			sharingRules: [],
			...(organisations === undefined ? {} : {organisations}),
			...(keyOwners === undefined ? {} : {keyOwners}),
			routing,
		};
		this._context.emit({type: 'configured', configuration});
		this._limitSlots.onConfigured();
		this._lifecycle.onConfigured();
	}

	private _onStage(stage: FleetStage): void {
		this._context.emit({type: 'stage', stage});
		this._limitSlots.setServing(stage === 'serving');
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
