/** The decider of a fleet that the store leads: configuration, backend servers, VMs and this VM's life. */
import {type CallConfiguration} from '../calls/types.ts';
import {
	type AddressAnswer, type FleetEffect, type FleetEvent, type FleetStage, type PeerAddress,
} from '../fleet/types.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {type Revision, type StoreEntry, type StoreWrite} from '../platform/types.ts';
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
	type DocumentReader, type FeedFrame, type RegistrySettings,
} from './types.ts';
import {VmDirectory, type VmRanks} from './vm-directory.ts';
import {VmProber} from './vm-prober.ts';

/** What one VM knows about its fleet. */
export type RegistryStatus = {
	readonly stage: FleetStage;
	readonly configurationVersion: number;
	readonly isWatchingStore: boolean;
	/** It asks the store itself, and is not told by another VM. */
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
	private readonly _life: BoundedStop;
	private readonly _log = new ChangeLog();
	/** In an order of chance: a fleet that starts must not turn to one of them as one VM. */
	private readonly _seeds: readonly PeerAddress[];
	private readonly _source: FeedSelector;
	private readonly _publisher: FeedPublisher;
	private readonly _configuration: ConfigurationRegistry;
	private readonly _frames: FeedFrames;
	/** The own entry stands in the store, as far as this VM knows. */
	private _isRegistered = false;
	private readonly _shares: FleetSharesSource;

	constructor(settings: RegistrySettings, documents: DocumentReader, random: RandomSource) {
		this._context = new RegistryContext(settings);
		this._seeds = shuffled(settings.seeds.filter(seed => seed !== settings.own.peerAddress), random);
		this._configuration = new ConfigurationRegistry(this._context, documents);
		this._publisher = new FeedPublisher(this._context, this._log, {
			isReading: () => this._source.isReading,
			revision: () => this._mirror.revision,
			contactAge: now => this._mirror.contactAge(now),
		});
		this._evacuations = new Evacuations(this._context);
		const onGone = (key: string) => {
			this._log.remove(key);
		};

		const isReading = () => this._source.isReading;
		this._servers = new ServerRegistry(this._context, documents, {
			onGone,
			onChanged: () => {
				this._configure();
			},
			isReading,
		});
		this._prober = new VmProber(this._context);
		this._vms = new VmDirectory(this._context, documents, {random, prober: this._prober, listener: {onGone, isReading, hasMembers: () => this._registrar.hasMembers}});
		this._shares = new FleetSharesSource(this._context, this._vms);
		this._registrar = new MemberRegistrar(this._context, this._prober, {
			peerAddressOf: value => documents.vm(value).map(({peerAddress}) => peerAddress).unwrapOr(undefined),
			isReading: () => this._source.isReading,
			isStoreThere: () => this._mirror.isWatching,
			revisionOf: key => key === this._ownKey && !this._isRegistered ? undefined : this._log.revisionOf(key),
			onWritten: (writes, revision) => {
				this._takeOwnWrites(writes, revision);
			},
		});
		this._ownEntry = new OwnEntry(this._context, documents, this._registrar);
		this._frames = new FeedFrames(this._log, settings.layout, key => this._ownEntry.isKeptHere && key === this._ownKey);
		this._life = new BoundedStop({
			timers: this._context.timers,
			graceMilliseconds: settings.graceMilliseconds,
			longestCall: () => this._configuration.longestCall,
			onStage: stage => {
				this._enter(stage);
			},
		});
		this._mirror = new StoreMirror(this._context, {
			onChanges: changes => {
				this._takeChanges(changes);
			},
			onRegained: silence => {
				this._servers.onRegained(silence);
			},
			onRead: () => {
				this._publisher.noteRead();
				this._source.noteRead();
				this._registrar.onRead();
			},
			isReader: () => this._vms.ranks.isReader,
			isFollowing: () => this._source.source !== undefined,
			isSeed: () => settings.seeds.includes(settings.own.peerAddress),
		});
		this._source = new FeedSelector(this._context, () => this._ranks(), {
			onRead: isReading => {
				if (isReading) {
					this._publisher.noteReading();
				}

				this._mirror.setReading(isReading);
			},
			onFollow: source => {
				this._frames.reset();
				this._ownEntry.noteTurning();
				this._context.emit({type: 'follow-feed', source});
			},
			hasMembers: () => this._registrar.hasMembers,
		});
	}

	handle(event: FleetEvent, now: Instant): readonly FleetEffect[] {
		this._context.now = now;
		switch (event.type) {
			case 'started': {
				this._context.emit({type: 'stage', stage: this._life.stage});
				this._mirror.start();
				this._source.start(this._context.settings.seeds.includes(this._context.settings.own.peerAddress));
				break;
			}

			case 'feed-frame': {
				this._takeFrame(event.source, event.frame);
				break;
			}

			case 'feed-closed': {
				this._source.noteEnded(event.source);
				break;
			}

			case 'member-announced': {
				this._registrar.take(event.announcement);
				break;
			}

			case 'member-ended': {
				this._registrar.noteEnded(event.identity);
				break;
			}

			case 'vm-probed': {
				this._prober.takeResult(event.identity, event.isServing);
				break;
			}

			case 'store-replied': {
				this._context.takeReply(event.requestId, event.reply);
				break;
			}

			case 'traffic': {
				this._life.takeTraffic(event.traffic.callsInFlight);
				break;
			}

			case 'stop-requested': {
				this._life.stop(now);
				break;
			}

			case 'tick': {
				this._context.timers.run(now);
				break;
			}

			default:
		}

		this._ownEntry.review({source: this._source.freshSource, isReader: this._vms.ranks.isReader});
		this._shares.review(this._life.stage === 'serving');
		this._publisher.publish();
		return this._context.takeEffects();
	}

	nextWakeUp(): Instant | undefined {
		return this._context.timers.next();
	}

	/** Which VMs a caller in this data centre should use. */
	addresses(service: string, dataCentre?: string): AddressAnswer {
		const isServing = this._life.stage === 'serving';
		return this._vms.answer(service, isServing ? this._context.settings.own : undefined, dataCentre);
	}

	/** Where callers reach the VMs that are known to serve, this one among them while it does. */
	knownCallAddresses(): string[] {
		const {callAddress} = this._context.settings.own;
		return [...this._vms.callAddresses(), ...(this._life.stage === 'serving' ? [callAddress] : [])];
	}

	status(now: Instant): RegistryStatus {
		return {
			stage: this._life.stage,
			configurationVersion: this._configuration.version,
			isWatchingStore: this._mirror.isWatching,
			isReadingStore: this._source.isReading,
			storeContactAgeMilliseconds: this._mirror.contactAge(now),
			vmCount: this._vms.size + 1,
			backendServerCount: this._servers.size,
		};
	}

	/** Whether this VM is the process of that identity and takes callers. */
	isServing(identity: string): boolean {
		return identity === this._context.settings.identity && this._life.stage === 'serving';
	}

	/** Everything that other VMs can learn from this one. */
	feed(now: Instant): FeedFrame {
		return this._publisher.whole(now);
	}

	private _takeFrame(source: PeerAddress, frame: FeedFrame): void {
		const changes = source === this._source.source ? this._frames.changesOf(source, frame, this._mirror.revision ?? -1) : undefined;
		if (changes === undefined) {
			return;
		}

		const {entries, deleted, isCurrent} = changes;
		this._takeChanges({entries, deleted, isWhole: false}, true);
		if (isCurrent) {
			this._mirror.noteFrame(frame.revision, frame.ageMilliseconds);
			this._source.noteFrame(frame.ageMilliseconds);
		}
	}

	/** What this VM wrote itself is known and told at once, and not only when it next looks at the store. */
	private _takeOwnWrites(writes: readonly StoreWrite[], revision: Revision): void {
		const entries = writes.flatMap(({key, expected, value}) => value === undefined
			? []
			: [{
				key, value, revision, createdAt: expected === 0 ? revision : this._log.createdAt(key) ?? revision,
			}]);
		const deleted = writes.filter(({value}) => value === undefined).map(({key}) => key);
		this._takeChanges({entries, deleted, isWhole: false}, true);
	}

	/**
	 * Seeds may be stale; they go first until one VM has told something fresh. Where a whole fleet starts again, the entries of
	 * its dead processes name VMs that have just begun to read as well.
	 */
	private _ranks(): VmRanks {
		const {ranks} = this._vms;
		return this._source.hasBeenFresh ? ranks : {...ranks, sources: [...this._seeds, ...ranks.sources.filter(source => !this._seeds.includes(source))]};
	}

	/** `isCertain` = whoever tells of removals has already waited for the owners to come back. */
	private _takeChanges({entries, deleted, isWhole}: MirrorChanges, isCertain = false): void {
		let isChanged = false;
		for (const entry of entries) {
			isChanged = this._takeEntry(entry) || isChanged;
		}

		for (const key of deleted) {
			isChanged = this._takeDeleted(key, isCertain) || isChanged;
		}

		if (isWhole) {
			const keys = new Set(entries.map(entry => entry.key));
			isChanged = this._servers.retain(keys) || isChanged;
			this._vms.retain(keys);
			this._noticeOwnEntry(keys);
			for (const key of this._evacuations.missingFrom(keys)) {
				isChanged = this._takeDeleted(key, true) || isChanged;
			}
		}

		if (isChanged) {
			this._configure();
		}

		this._source.review();
	}

	/** The own entry was seen in the store and is not there any more. */
	private _noticeOwnEntry(keys: ReadonlySet<string>): void {
		if (!keys.has(this._ownKey) && this._isRegistered) {
			this._takeDeleted(this._ownKey, true);
		}
	}

	/** Takes an entry in; true = calls are to be handled in another way. */
	private _takeEntry(entry: StoreEntry): boolean {
		const {key, value} = entry;
		const {layout} = this._context.settings;
		if (key === layout.configurationKey) {
			const isAdopted = this._configuration.take(value);
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
				this._noteRegistered(true);
			}
		}

		return false;
	}

	/** Whether the own entry stands in the store, and since when, decides whether others go by this VM. */
	private _noteRegistered(isRegistered: boolean): void {
		this._isRegistered = isRegistered;
		this._vms.setOwn(isRegistered ? this._log.createdAt(this._ownKey) : undefined);
		this._ownEntry.noteSeen(isRegistered);
	}

	/**
	 * The own entry has disappeared. While this VM serves it is written anew, and the removal is not published: followers take
	 * a published removal for certain, and would no longer name a VM that lives.
	 */
	private _takeOwnDeleted(): void {
		if (this._life.stage !== 'serving') {
			this._log.remove(this._ownKey);
		}

		this._noteRegistered(false);
	}

	private get _ownKey(): string {
		const {layout, identity} = this._context.settings;
		return layout.vmPrefix + identity;
	}

	private _takeDeleted(key: string, isCertain: boolean): boolean {
		const {layout} = this._context.settings;
		if (key.startsWith(layout.vmPrefix)) {
			this._registrar.onRemoved(key);
		}

		if (key === this._ownKey) {
			this._takeOwnDeleted();
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
		this._life.takeConfigured();
	}

	private _enter(stage: FleetStage): void {
		this._context.emit({type: 'stage', stage});
		if (stage === 'serving') {
			this._ownEntry.publish();
		} else if (this._life.isStopping) {
			this._ownEntry.withdraw();
		}
	}
}

/** The same in an order of chance. */
function shuffled<Item>(items: readonly Item[], random: RandomSource): Item[] {
	return items.map(item => ({item, place: random.next()})).toSorted((one, other) => one.place - other.place).map(({item}) => item);
}
