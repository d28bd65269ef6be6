/**
 * A fleet that is led by the platform's store: operators write the configuration there as one document, backend
 * servers register themselves, and VMs find one another there. The engine of this folder decides what follows from
 * what it reads; how documents are written is the affair of a `DocumentReader`.
 */
import {type Result} from 'neverthrow';
import {type BackendServerInForce, type WarmUpLimit} from '../calls/types.ts';
import {type Failure} from '../errors/failure.ts';
import {type PeerAddress} from '../fleet/types.ts';
import {type Service} from '../model/resources.ts';
import {type Milliseconds} from '../model/units.ts';
import {type Revision, type StoreEntry} from '../platform/types.ts';
import {type Routing} from '../routing/types.ts';

/** The operators' whole configuration. */
export type ConfigurationDocument = {
	/** Grows with each change; never goes back. */
	readonly version: number;
	readonly services: readonly Service[];
	/** Connections that one backend server of a service accepts from all VMs together. */
	readonly connectionLimits: ReadonlyMap<string, number>;
	/** What a backend server of a service bears while it warms up, from all VMs together. */
	readonly warmUpLimits?: ReadonlyMap<string, WarmUpLimit>;
	readonly routing: Routing;
};

/** A backend server's own entry. */
export type ServerEntry = {
	/** Names it; also the identity in the call engine. A restart makes another one, or keeps it and tells a later start. */
	readonly instance: string;
	/** As declared to the call engine, but for the connections, which its service declares. */
	readonly declared: BackendServerInForce;
};

/** A VM's own entry. */
export type VmEntry = {
	/** Where callers reach it: `IP:PORT`. */
	readonly callAddress: string;
	/** Where other VMs reach it: `IP:PORT`. */
	readonly peerAddress: string;
	readonly dataCentre: string;
	/** Width of its link: who has the widest reads the store for the others. */
	readonly linkMegabits: number;
};

export type DocumentFailure = Failure<'invalid-document'> & {
	/** Route at fault, where it is one. */
	readonly route?: string;
};

/** Reads and writes the documents in the store. */
export type DocumentReader = {
	configuration(value: string): Result<ConfigurationDocument, DocumentFailure>;
	server(key: string, value: string): Result<ServerEntry, DocumentFailure>;
	vm(value: string): Result<VmEntry, DocumentFailure>;
	writeVm(entry: VmEntry): string;
};

/** Where things lie in the store. */
export type StoreLayout = {
	readonly configurationKey: string;
	/** Keys of backend servers are this and the instance. */
	readonly serverPrefix: string;
	/** Keys of VMs are this and the VM's identity. */
	readonly vmPrefix: string;
	/** Keys of evacuations are this and the data centre. */
	readonly evacuationPrefix: string;
	/** Beginning of all keys above. */
	readonly commonPrefix: string;
};

/** What the engine is told about its VM and the fleet. */
export type RegistrySettings = {
	readonly identity: string;
	readonly own: VmEntry;
	readonly layout: StoreLayout;
	/** Term of a lease on entries of VMs. */
	readonly leaseMilliseconds: Milliseconds;
	/** A VM whose entry another one keeps says this often that it lives. */
	readonly memberBeatMilliseconds: Milliseconds;
	/** Pause between the answer of a watch and the next one: what it costs in freshness buys fewer calls. */
	readonly watchPauseMilliseconds: Milliseconds;
	/** Within this time after the store has accepted a change, it is in force here. */
	readonly convergeMilliseconds: Milliseconds;
	/** VMs to learn from while the store has not answered since the start. */
	readonly seeds: readonly PeerAddress[];
	/** Backend servers write this often; silent for three such times, they lapse. */
	readonly heartbeatMilliseconds: Milliseconds;
	/** Longest time for which a caller may keep the answer to "which addresses". */
	readonly answerKeepMilliseconds: Milliseconds;
	/** From the order to stop to the end of the process. */
	readonly graceMilliseconds: Milliseconds;
};

/** What a VM tells the one that it follows about itself. */
export type MemberAnnouncement = {
	readonly identity: string;
	/** Its entry as it is to stand in the store. */
	readonly value: string;
	/**
	 * What it will do: stay and have its entry kept, turn to another VM that keeps it from then on, or leave, so that the
	 * entry is to be removed at once.
	 */
	readonly intent: 'stay' | 'turn' | 'leave';
};

/** What one VM tells another about the store. */
export type FeedFrame = {
	/** Revision of the store that the publishing VM knows. */
	readonly revision: Revision;
	/** How long ago the store was in that state. */
	readonly ageMilliseconds: Milliseconds;
	readonly entries: readonly StoreEntry[];
	readonly deleted: readonly string[];
	/** `entries` is all there is: what is not among them is gone. */
	readonly isWhole: boolean;
};
