/**
 * Types of a fleet that is coordinated through the platform's store: operators write the configuration there as one
 * document, backend servers register themselves, and VMs find each other. Some VMs of each data centre (readers) read
 * the store. The others follow the registry feed of a reader (their source), which also registers them in the store (as
 * their registrar). If a reader is lost, the VM that ranks next (the standby) is the first to read the store in its
 * place.
 */
import {type Result} from 'neverthrow';
import {type BackendServerInForce, type LoadUpdate, type WarmUpLimit} from '../calls/types.ts';
import {type Failure} from '../errors/failure.ts';
import {type PeerAddress} from '../fleet/types.ts';
import {type Service} from '../model/resources.ts';
import {type Milliseconds} from '../model/units.ts';
import {type KeyOwners, type OrganisationInForce} from '../organisations/types.ts';
import {type StoreEntry} from '../platform/types.ts';
import {type StorePosition} from '../platform/store-position.ts';
import {type Routing} from '../routing/types.ts';

/** The complete configuration written by the operators. */
export type ConfigurationDocument = {
	/** Increases with each change. */
	readonly version: number;
	readonly services: readonly Service[];
	/** Connections that one backend server of a service accepts from all VMs together, by service. */
	readonly connectionLimits: ReadonlyMap<string, number>;
	/** Load that one backend server of a service accepts from all VMs together during its warm-up, by service. */
	readonly warmUpLimits?: ReadonlyMap<string, WarmUpLimit>;
	readonly routing: Routing;
	/** Organisations by name; undefined if the document declares none, so that callers need no key. */
	readonly organisations?: ReadonlyMap<string, OrganisationInForce>;
	/** The organisations' keys; undefined if and only if `organisations` is. */
	readonly keyOwners?: KeyOwners;
	/** Paths of fields that the product does not understand. */
	readonly unknownFields?: readonly string[];
};

/** The store entry of a backend server. */
export type ServerEntry = {
	/**
	 * Identifies the backend server, in the call engine too. A process that restarts has a new instance, or the same
	 * one with a later start time.
	 */
	readonly instance: string;
	/** Declaration for the call engine; its connection limit comes from the configuration of its service. */
	readonly declared: BackendServerInForce;
};

/** The store entry of a VM. */
export type VmEntry = {
	/** Address for callers: `IP:PORT`. */
	readonly callAddress: string;
	/** Address for other VMs: `IP:PORT`. */
	readonly peerAddress: string;
	readonly dataCentre: string;
	/** Bandwidth of the VM's network link, in Mbit/s. The VMs with the fastest links read the store for the others. */
	readonly linkMegabits: number;
};

export type DocumentFailure = Failure<'invalid-document'> & {
	/** The invalid route, if the failure concerns one. */
	readonly route?: string;
};

/** Parses and serialises the documents in the store. */
export type DocumentCodec = {
	configuration(value: string): Result<ConfigurationDocument, DocumentFailure>;
	server(key: string, value: string): Result<ServerEntry, DocumentFailure>;
	vm(value: string): Result<VmEntry, DocumentFailure>;
	writeVm(entry: VmEntry): string;
};

/** Keys and key prefixes in the store. */
export type StoreLayout = {
	readonly configurationKey: string;
	/** Followed by the instance of a backend server. */
	readonly serverPrefix: string;
	/** Followed by the identity of a VM. */
	readonly vmPrefix: string;
	/** Followed by the name of the evacuated data centre. */
	readonly evacuationPrefix: string;
	/** Followed by the number of a slot of the rate limits. */
	readonly limitPrefix: string;
	/** Common prefix of all keys above. */
	readonly commonPrefix: string;
};

/** Settings of the registry engine of one VM. */
export type RegistrySettings = {
	readonly identity: string;
	readonly own: VmEntry;
	/** Endpoint of this VM's datagram socket, `IP:PORT`; undefined = this VM grants no rate limits. */
	readonly limitsAddress?: string;
	readonly layout: StoreLayout;
	/** Term of the leases on VM entries. */
	readonly leaseMilliseconds: Milliseconds;
	/** Interval of the heartbeats that a VM sends to the VM that registers it. */
	readonly memberHeartbeatMilliseconds: Milliseconds;
	/** Pause between the reply to a watch and the next watch. A longer pause needs fewer calls but delays updates. */
	readonly watchPauseMilliseconds: Milliseconds;
	/** A change is in force on this VM within this time after the store has accepted it. */
	readonly convergeMilliseconds: Milliseconds;
	/** VMs whose feed this VM tries first, until it has received a fresh feed. */
	readonly seeds: readonly PeerAddress[];
	/**
	 * Interval at which backend servers renew their entries; an entry lapses after three intervals without a renewal.
	 */
	readonly heartbeatMilliseconds: Milliseconds;
	/** Longest time for which a caller may cache the list of VM addresses. */
	readonly addressTtlMilliseconds: Milliseconds;
	/** Time from the stop request until the process is killed. */
	readonly graceMilliseconds: Milliseconds;
};

/** A VM's announcement to the VM whose feed it follows. */
export type MemberAnnouncement = {
	readonly identity: string;
	/** The announcing VM's store entry, serialised. */
	readonly value: string;
	/**
	 * `stay`: the receiver is to keep the entry registered. `turn`: the VM switches to another VM, which registers it
	 * from then on. `leave`: the receiver is to remove the entry at once.
	 */
	readonly intent: 'stay' | 'turn' | 'leave';
};

/** Identifies one call at one crash, the same on every VM. */
export type EvidenceKey = string;

/** Reply of another VM that has compared its evidence of crashes with this VM's. */
export type EvidenceReply = {
	/** Evidence that this VM lacks: crashes, and calls that are cleared. */
	readonly updates: readonly LoadUpdate[];
	/** Keys of the evidence that the other VM lacks. */
	readonly missing: readonly EvidenceKey[];
};

/** An update of the store's entries that one VM sends to another. */
export type FeedFrame = {
	/** Position of the store up to which the sender's entries are complete. */
	readonly revision: StorePosition;
	/** Time since the store was in this state. */
	readonly ageMilliseconds: Milliseconds;
	readonly entries: readonly StoreEntry[];
	readonly deleted: readonly string[];
	/** `entries` is a complete snapshot: entries that it lacks have been removed. */
	readonly isWhole: boolean;
	/** Crashes of backend servers that the sender knows of; only in the first frame of a stream. */
	readonly updates?: readonly LoadUpdate[];
	/** The sender is of an earlier build, which sends revisions without their era. */
	readonly lacksEra?: boolean;
};
