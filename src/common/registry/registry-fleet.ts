/** The decider of a fleet that the store leads: configuration, backend servers, VMs and this VM's life. */
import {type CallConfiguration} from '../calls/types.ts';
import {describeFailure} from '../errors/failure.ts';
import {
	type AddressAnswer, type FleetEffect, type FleetEvent, type FleetStage,
} from '../fleet/types.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {BoundedStop} from './bounded-stop.ts';
import {OwnEntry} from './own-entry.ts';
import {RegistryContext} from './registry-context.ts';
import {ServerRegistry} from './server-registry.ts';
import {type MirrorChanges, StoreMirror} from './store-mirror.ts';
import {type ConfigurationDocument, type DocumentReader, type RegistrySettings} from './types.ts';
import {VmDirectory} from './vm-directory.ts';

/**
 * Connections to a backend server that this VM may hold, as a multiple of an even part: callers spread unevenly over
 * VMs, and a VM that has gone leaves its part unused.
 */
const connectionSlack = 2;

/** Longest call assumed before any route is known. */
const defaultLongestCall: Milliseconds = 2000;

/** What one VM knows about its fleet. */
export type RegistryStatus = {
	readonly stage: FleetStage;
	readonly configurationVersion: number;
	readonly isWatchingStore: boolean;
	readonly storeContactAgeMilliseconds: Milliseconds | undefined;
	readonly vmCount: number;
	readonly backendServerCount: number;
};

export class RegistryFleet {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentReader;
	private readonly _mirror: StoreMirror;
	private readonly _servers: ServerRegistry;
	private readonly _vms: VmDirectory;
	private readonly _ownEntry: OwnEntry;
	private readonly _life: BoundedStop;
	private _configuration: ConfigurationDocument | undefined;
	private _announcedVmCount = 0;

	constructor(settings: RegistrySettings, documents: DocumentReader, random: RandomSource) {
		this._context = new RegistryContext(settings);
		this._documents = documents;
		this._servers = new ServerRegistry(this._context, documents, () => {
			this._configure();
		});
		this._vms = new VmDirectory(this._context, documents, random);
		this._ownEntry = new OwnEntry(this._context, documents);
		this._life = new BoundedStop({
			timers: this._context.timers,
			graceMilliseconds: settings.graceMilliseconds,
			longestCall: () => this._longestCall(),
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
				this._vms.onRegained(silence);
			},
			onLost: () => undefined,
		});
	}

	handle(event: FleetEvent, now: Instant): readonly FleetEffect[] {
		this._context.now = now;
		switch (event.type) {
			case 'started': {
				this._context.emit({type: 'stage', stage: this._life.stage});
				this._mirror.start();
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

		this._announceShares();
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

	status(now: Instant): RegistryStatus {
		return {
			stage: this._life.stage,
			configurationVersion: this._configuration?.version ?? 0,
			isWatchingStore: this._mirror.isWatching,
			storeContactAgeMilliseconds: this._mirror.contactAge(now),
			vmCount: this._vms.size + 1,
			backendServerCount: this._servers.declared().size,
		};
	}

	private _takeChanges({entries, deleted, isWhole}: MirrorChanges): void {
		const {layout} = this._context.settings;
		let isChanged = false;
		for (const {key, value} of entries) {
			if (key === layout.configurationKey) {
				isChanged = this._takeConfiguration(value) || isChanged;
			} else if (key.startsWith(layout.serverPrefix)) {
				isChanged = this._servers.put(key, value) || isChanged;
			} else if (key.startsWith(layout.vmPrefix)) {
				this._vms.put(key, value);
			}
		}

		for (const key of deleted) {
			isChanged = this._takeDeleted(key) || isChanged;
		}

		if (isWhole) {
			const keys = new Set(entries.map(entry => entry.key));
			isChanged = this._servers.retain(keys) || isChanged;
			this._vms.retain(keys);
		}

		if (isChanged) {
			this._configure();
		}
	}

	private _takeDeleted(key: string): boolean {
		const {layout, identity} = this._context.settings;
		if (key === layout.vmPrefix + identity) {
			this._ownEntry.onRemoved();
		} else if (key.startsWith(layout.vmPrefix)) {
			this._vms.remove(key);
		} else if (key.startsWith(layout.serverPrefix)) {
			return this._servers.remove(key);
		}

		return false;
	}

	/** An older version never replaces a newer one, whoever brings it; one that cannot be read replaces none. */
	private _takeConfiguration(value: string): boolean {
		const read = this._documents.configuration(value);
		if (read.isErr()) {
			this._context.log('error', 'configuration rejected; the one in force stays', {
				versionInForce: this._configuration?.version ?? 0, failure: describeFailure(read.error),
			});
			return false;
		}

		const inForce = this._configuration?.version ?? 0;
		if (read.value.version <= inForce) {
			return false;
		}

		this._configuration = read.value;
		this._context.log('info', 'configuration adopted', {version: read.value.version, replaced: inForce, routes: read.value.routing.routes.length});
		return true;
	}

	private _configure(): void {
		if (this._configuration === undefined) {
			return;
		}

		const {version, services, routing} = this._configuration;
		const configuration: CallConfiguration = {
			version,
			services: new Map(services.map(service => [service.name, service])),
			backendServers: this._servers.declared(),
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

	private _announceShares(): void {
		const vmCount = this._vms.size + 1;
		if (vmCount === this._announcedVmCount) {
			return;
		}

		this._announcedVmCount = vmCount;
		this._context.emit({
			type: 'shares',
			shares: {
				measuringPart: 0,
				measuringFrom: 0,
				measuringUntil: 0,
				connectionPart: Math.min(1, connectionSlack / vmCount),
				vmCount,
			},
		});
	}

	private _longestCall(): Milliseconds {
		const routes = this._configuration?.routing.routes ?? [];
		return routes.length === 0 ? defaultLongestCall : Math.max(...routes.map(route => route.rule.timeoutMilliseconds));
	}
}
