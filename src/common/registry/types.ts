/**
 * A fleet that is led by the platform's store: operators write the configuration there as one document, backend
 * servers register themselves, and VMs find one another there. The engine of this folder decides what follows from
 * what it reads; how documents are written is the affair of a `DocumentReader`.
 */
import {type Result} from 'neverthrow';
import {type Failure} from '../errors/failure.ts';
import {type BackendServer, type Service} from '../model/resources.ts';
import {type Milliseconds} from '../model/units.ts';
import {type Routing} from '../routing/types.ts';

/** The operators' whole configuration. */
export type ConfigurationDocument = {
	/** Grows with each change; never goes back. */
	readonly version: number;
	readonly services: readonly Service[];
	readonly routing: Routing;
};

/** A backend server's own entry. */
export type ServerEntry = {
	/** Its process: a restart makes another one. It is also the identity in the call engine. */
	readonly instance: string;
	/** As declared to the call engine, but for the connections, which its service declares. */
	readonly declared: BackendServer;
};

/** A VM's own entry. */
export type VmEntry = {
	/** Where callers reach it: `IP:PORT`. */
	readonly callAddress: string;
	/** Where other VMs reach it: `IP:PORT`. */
	readonly peerAddress: string;
	readonly dataCentre: string;
};

export type DocumentFailure = Failure<'invalid-document'>;

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
	/** Beginning of all keys above. */
	readonly commonPrefix: string;
};

/** What the engine is told about its VM and the fleet. */
export type RegistrySettings = {
	readonly identity: string;
	readonly own: VmEntry;
	readonly layout: StoreLayout;
	/** Term of the lease on the VM's own entry. */
	readonly leaseMilliseconds: Milliseconds;
	/** Pause between the answer of a watch and the next one: what it costs in freshness buys fewer calls. */
	readonly watchPauseMilliseconds: Milliseconds;
	/** Backend servers write this often; silent for three such times, they lapse. */
	readonly heartbeatMilliseconds: Milliseconds;
	/** Longest time for which a caller may keep the answer to "which addresses". */
	readonly answerKeepMilliseconds: Milliseconds;
	/** From the order to stop to the end of the process. */
	readonly graceMilliseconds: Milliseconds;
};
