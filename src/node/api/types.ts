/**
 * Schemas of the request and response bodies of the resource API, and the interface `OperatorGateway` through which the API
 * accesses the system. The daemon implements it.
 */
import {type Result} from 'neverthrow';
import {type Maybe} from 'true-myth/maybe';
import {z} from 'zod';
import {type BurnReport} from '../../common/burn/types.ts';
import {type Failure} from '../../common/errors/failure.ts';
import {
	resourceKinds, resourceSchema, storedResourceSchema, type ResourceKey, type ResourceKind, type StoredResource,
} from '../../common/model/resources.ts';
import {type InputFailure} from '../../common/settings/schema-failures.ts';
import {settingsSchema, type LogLevel} from '../../common/settings/settings.ts';

/** Kinds of resources as written in paths, keys and files. */
export const resourceKindSchema = z.enum(resourceKinds);

/** Idempotency key of a change: a repeated request with the same identity is recognised and not applied again. */
export const operationSchema = z.string().regex(/^[\w\-]{8,64}$/v, '8 to 64 letters, digits, dashes and underscores');

/** A key such as `service/ordering`. */
export const resourceKeySchema = z.templateLiteral([resourceKindSchema, '/', z.string()]);

const putMutationSchema = z.strictObject({
	type: z.literal('put'),
	resource: resourceSchema,
	/** Required current version of the resource; 0 = it must not exist; absent = any version. */
	expected: z.int().min(0).optional(),
});

const deleteMutationSchema = z.strictObject({
	type: z.literal('delete'),
	key: resourceKeySchema,
	/** Required current version of the resource; absent = any version. */
	expected: z.int().min(1).optional(),
});

/** Creation, replacement or deletion of one resource. */
export const mutationSchema = z.discriminatedUnion('type', [putMutationSchema, deleteMutationSchema]);
export type Mutation = z.infer<typeof mutationSchema>;

/** Maximum number of mutations in one change; at 0.5 KB each, a change stays well below the store's limit of a megabyte. */
const maxMutations = 1000;

/** Mutations that come into force atomically. */
export const changeRequestSchema = z.strictObject({
	operation: operationSchema,
	/** Reason for the change, shown in the history. */
	note: z.string().max(500).default(''),
	mutations: z.array(mutationSchema).min(1).max(maxMutations),
});
export type ChangeRequest = z.infer<typeof changeRequestSchema>;

/** An accepted change: the platform's service has confirmed that it is stored. */
export const changeAcceptedSchema = z.strictObject({
	version: z.int().min(1),
	operation: operationSchema,
});
export type ChangeAccepted = z.infer<typeof changeAcceptedSchema>;

/** A change in the history. */
export const changeRecordSchema = z.strictObject({
	version: z.int().min(1),
	operation: z.string(),
	operator: z.string(),
	/** Time of the change in RFC 3339 format, by the wall clock of the VM that accepted it. */
	when: z.string(),
	note: z.string(),
	changes: z.array(z.strictObject({action: z.enum(['created', 'replaced', 'deleted']), key: z.string()})),
	/** VMs on which it is in force, and VMs with an older version, in the answering VM's view. */
	inForceOn: z.array(z.string()),
	behindOn: z.array(z.string()),
});
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** State of an operation in the answering VM's view. */
export const operationStateSchema = z.discriminatedUnion('state', [
	z.strictObject({state: z.literal('accepted'), operation: z.string(), version: z.int().min(1)}),
	/**
	 * Not among the changes in force on this VM. It may still be in progress; repeating the same change with the same identity
	 * is safe and determines the outcome.
	 */
	z.strictObject({state: z.literal('not-in-force'), operation: z.string()}),
]);
export type OperationState = z.infer<typeof operationStateSchema>;

/** Maximum number of resources in one response. Serialising 500 to JSON delays calls by less than a millisecond, 20,000 by 27 ms. */
export const maxListedResources = 500;

/** Resources in force on the answering VM, all of one configuration version, sorted by key. */
export const resourceListSchema = z.strictObject({
	version: z.int().min(0),
	items: z.array(storedResourceSchema),
	/** Value of `after` for the next page; null = this is the last page. */
	next: z.string().nullable(),
});
export type ResourceList = z.infer<typeof resourceListSchema>;

/** Resources in force on a VM, and their configuration version. */
export type ResourcesInForce = {readonly version: number; readonly items: readonly StoredResource[]};

/** Changes that came into force on the answering VM. */
export const watchUpdateSchema = z.strictObject({
	/** Value of `after` for the next watch request. */
	version: z.int().min(0),
	records: z.array(changeRecordSchema),
	/** The changes since the requested version are no longer stored; the client has to list the resources again. */
	isReset: z.boolean(),
});
export type WatchUpdate = z.infer<typeof watchUpdateSchema>;

/** The latest changes, newest first. */
export const historySchema = z.strictObject({records: z.array(changeRecordSchema)});

/** One VM in the answering VM's view. */
export const vmStatusSchema = z.strictObject({
	/** Identity of the process; changes with a restart. */
	identity: z.string(),
	/** Address at which callers reach it: `IP:PORT`. */
	address: z.string(),
	dataCentre: z.string(),
	state: z.enum(['live', 'suspected', 'leaving', 'dead']),
	/** Configuration version in force on the VM, as last reported. */
	version: z.int().min(0),
	/** Milliseconds since the last message from or about the VM; 0 for the answering VM itself. */
	heardAgoMilliseconds: z.number().min(0),
	/** Why its version is older than the newest known version; null if it is not older. */
	behind: z.enum(['suspected', 'dead', 'catching-up']).nullable(),
});
export type VmStatus = z.infer<typeof vmStatusSchema>;
export const vmListSchema = z.strictObject({vms: z.array(vmStatusSchema)});

/** One backend server in the answering VM's view. */
export const backendServerReportSchema = z.strictObject({
	name: z.string(),
	service: z.string(),
	state: z.enum(['warming', 'active', 'ejected', 'leaving']),
	inFlight: z.number(),
	reportedInFlight: z.number().nullable(),
	reportAgeMilliseconds: z.number().nullable(),
	measuringSpent: z.number(),
	measuringAllowed: z.number(),
});

/** State of the answering VM. */
export const statusSchema = z.strictObject({
	name: z.string(),
	identity: z.string(),
	dataCentre: z.string(),
	stage: z.enum(['starting', 'serving', 'leaving', 'closing-idle', 'draining', 'refusing', 'ended']),
	/** Neither the platform's service nor any other VM can be reached, so the configuration may be outdated. */
	isCutOff: z.boolean(),
	/** Configuration version in force on this VM. */
	version: z.int().min(0),
	/** Newest version that any VM has reported; above `version` while this VM is fetching it. */
	newestKnownVersion: z.int().min(0),
	/** Milliseconds since the platform's service last answered this VM; null = never. */
	storeContactAgeMilliseconds: z.number().min(0).nullable(),
	/** The VM's slot of the fleet's budgets; null = none, so it sends no measuring calls. */
	shareSlot: z.int().min(0).nullable(),
	callsInFlight: z.int().min(0),
	callsQueued: z.int().min(0),
	backendServers: z.array(backendServerReportSchema),
});
export type Status = z.infer<typeof statusSchema>;

/** A call that is refused because backend servers crashed while running it. */
export const quarantineEntrySchema = z.strictObject({
	fingerprint: z.string(),
	crashes: z.int().min(0),
	remainingMilliseconds: z.number().min(0),
});
export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>;
export const quarantineSchema = z.strictObject({entries: z.array(quarantineEntrySchema)});

/** Minimum level of written log lines. */
export const logLevelSchema = z.strictObject({level: settingsSchema.shape.log.unwrap().shape.level.unwrap()});

/** The change that caused a conflict. */
export const winnerSchema = z.strictObject({
	key: z.string(),
	/** Current version of the resource; 0 = it does not exist. */
	version: z.int().min(0),
	/** Operator who made the change; null if the history no longer contains it. */
	operator: z.string().nullable(),
});
export type Winner = z.infer<typeof winnerSchema>;

/** Failure of an operator's request. */
export type GatewayFailure
	/** The resource was changed by another request first; nothing was changed. */
	= | (Failure<'conflict'> & {readonly winner: Winner})
	/** The change may or may not have been accepted; the client can query the operation or repeat the same request. */
		| (Failure<'outcome-unknown'> & {readonly operation: string})
	/** The change is inconsistent with the resources in force, such as a backend server without a service; nothing was changed. */
		| (Failure<'invalid'> & {readonly faults: readonly InputFailure[]})
	/** The store could not be reached; nothing was changed. */
		| Failure<'unavailable'>
		| Failure<'not-found'>
	/** This VM has no configuration yet. */
		| Failure<'not-ready'>;

/** Operations of the system that the resource API uses. Reads return the resources in force on this VM. */
export type OperatorGateway = {
	/** Returns all resources, or those of one kind, sorted by key. */
	list(kind: ResourceKind | undefined): Result<ResourcesInForce, GatewayFailure>;
	get(key: ResourceKey): Result<Maybe<StoredResource>, GatewayFailure>;
	/** Makes a change; resolves once its outcome is known or the wait for it has timed out. */
	change(request: ChangeRequest, operator: string): Promise<Result<ChangeAccepted, GatewayFailure>>;
	/** Returns the state of an operation in this VM's view. */
	operation(operation: string): Result<OperationState, GatewayFailure>;
	/** Resolves once a version above `after` is in force, or without records after `milliseconds` or when the signal is aborted. */
	watch(after: number, milliseconds: number, signal: AbortSignal): Promise<Result<WatchUpdate, GatewayFailure>>;
	/** Returns the latest changes in force, newest first. */
	history(limit: number): Result<readonly ChangeRecord[], GatewayFailure>;
	status(): Status;
	vms(): readonly VmStatus[];
	/** Drains a VM, given by identity or address: it is removed from address answers and then stops without cutting off calls. */
	drain(vm: string, operator: string): Promise<Result<VmStatus, GatewayFailure>>;
	/** Collects the counts of all VMs and returns the burn report. */
	burn(): Promise<BurnReport>;
	quarantine(): readonly QuarantineEntry[];
	/** Lifts the quarantine of a call on all VMs that can be reached. */
	liftQuarantine(fingerprint: string, operator: string): Promise<Result<void, GatewayFailure>>;
	logLevel(): LogLevel;
	setLogLevel(level: LogLevel): void;
};

/** Body of an error response (RFC 9457). */
export const problemSchema = z.looseObject({
	type: z.string(),
	title: z.string(),
	status: z.int(),
	detail: z.string(),
	/** Errors in the input, each with the path of its field. */
	faults: z.array(z.strictObject({field: z.string(), kind: z.string(), message: z.string()})).optional(),
	/** For a conflict: the current version and its operator. */
	winner: winnerSchema.optional(),
	/** For an unknown outcome: the operation to query. */
	operation: z.string().optional(),
});
export type Problem = z.infer<typeof problemSchema>;
