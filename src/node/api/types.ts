/**
 * What the resource API and its neighbours share: the bodies that cross the wire (as schemas) and the
 * interface by which the API asks the system. Whoever wires the daemon implements `OperatorGateway`.
 */
import {type Result} from 'neverthrow';
import {type Maybe} from 'true-myth/maybe';
import {z} from 'zod';
import {type BurnReport} from '../../common/burn/types.ts';
import {type Failure} from '../../common/errors/failure.ts';
import {
	resourceSchema, storedResourceSchema, type ResourceKey, type ResourceKind, type StoredResource,
} from '../../common/model/resources.ts';
import {type InputFailure} from '../../common/settings/schema-failures.ts';
import {settingsSchema, type LogLevel} from '../../common/settings/settings.ts';

/** Kinds of resources as they stand in paths, keys and files. */
export const resourceKindSchema = z.enum(['service', 'backend-server', 'sharing-rule']);

/** Names a change for good: sent again, the same change is recognised and not made twice. */
export const operationSchema = z.string().regex(/^[\w\-]{8,64}$/v, '8 to 64 letters, digits, dashes and underscores');

/** A key such as `service/ordering`. */
export const resourceKeySchema = z.templateLiteral([resourceKindSchema, '/', z.string()]);

const putMutationSchema = z.strictObject({
	type: z.literal('put'),
	resource: resourceSchema,
	/** Version that the writer saw; 0 = only if absent; left out = whatever stands there. */
	expected: z.int().min(0).optional(),
});

const deleteMutationSchema = z.strictObject({
	type: z.literal('delete'),
	key: resourceKeySchema,
	/** Version that the writer saw; left out = whatever stands there. */
	expected: z.int().min(1).optional(),
});

/** One step of a change. */
export const mutationSchema = z.discriminatedUnion('type', [putMutationSchema, deleteMutationSchema]);
export type Mutation = z.infer<typeof mutationSchema>;

/** Most steps in one change: with 0.5 KB a step, a change stays well under the store's megabyte. */
const mostMutations = 1000;

/** Steps that come into force together or not at all. */
export const changeRequestSchema = z.strictObject({
	operation: operationSchema,
	/** Why, for the history. */
	note: z.string().max(500).default(''),
	mutations: z.array(mutationSchema).min(1).max(mostMutations),
});
export type ChangeRequest = z.infer<typeof changeRequestSchema>;

/** An accepted change: the platform's service has it, and that is known. */
export const changeAcceptedSchema = z.strictObject({
	version: z.int().min(1),
	operation: operationSchema,
});
export type ChangeAccepted = z.infer<typeof changeAcceptedSchema>;

/** A change as the history keeps it. */
export const changeRecordSchema = z.strictObject({
	version: z.int().min(1),
	operation: z.string(),
	operator: z.string(),
	/** Wall-clock time of the VM that took the change, RFC 3339. */
	when: z.string(),
	note: z.string(),
	changes: z.array(z.strictObject({action: z.enum(['created', 'replaced', 'deleted']), key: z.string()})),
	/** VMs on which it is in force, and those known to be behind, as the answering VM sees them. */
	inForceOn: z.array(z.string()),
	behindOn: z.array(z.string()),
});
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** What the answering VM knows of an operation. */
export const operationStateSchema = z.discriminatedUnion('state', [
	z.strictObject({state: z.literal('accepted'), operation: z.string(), version: z.int().min(1)}),
	/**
	 * Not among the changes in force here. It may still be under way: sending the same change again with
	 * its identity is safe and settles it.
	 */
	z.strictObject({state: z.literal('not-in-force'), operation: z.string()}),
]);
export type OperationState = z.infer<typeof operationStateSchema>;

/** Most resources in one answer: writing 500 as JSON holds calls up for less than a millisecond, 20,000 for 27. */
export const mostListed = 500;

/** Resources in force on the answering VM, all as of one version, sorted by key. */
export const resourceListSchema = z.strictObject({
	version: z.int().min(0),
	items: z.array(storedResourceSchema),
	/** Key to name as `after` for the next page; null = this is the last. */
	next: z.string().nullable(),
});
export type ResourceList = z.infer<typeof resourceListSchema>;

/** What a VM has in force. */
export type ResourcesInForce = {readonly version: number; readonly items: readonly StoredResource[]};

/** Changes that came into force on the answering VM. */
export const watchUpdateSchema = z.strictObject({
	/** Version to name next time. */
	version: z.int().min(0),
	records: z.array(changeRecordSchema),
	/** The changes since the version asked for are no longer kept: list again. */
	isReset: z.boolean(),
});
export type WatchUpdate = z.infer<typeof watchUpdateSchema>;

/** The latest changes, the newest first. */
export const historySchema = z.strictObject({records: z.array(changeRecordSchema)});

/** One VM as the answering VM knows it. */
export const vmStatusSchema = z.strictObject({
	/** Identity of the process; new after a restart. */
	identity: z.string(),
	/** Where callers reach it: `IP:PORT`. */
	address: z.string(),
	dataCentre: z.string(),
	state: z.enum(['live', 'suspected', 'leaving', 'dead']),
	/** Configuration version in force there, as last heard. */
	version: z.int().min(0),
	/** Milliseconds since it was last heard; 0 for the answering VM itself. */
	heardAgoMilliseconds: z.number().min(0),
	/** Why its version is older than the newest known one; null if it is not. */
	behind: z.enum(['suspected', 'dead', 'catching-up']).nullable(),
});
export type VmStatus = z.infer<typeof vmStatusSchema>;
export const vmListSchema = z.strictObject({vms: z.array(vmStatusSchema)});

/** One backend server as the answering VM knows it. */
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

/** The answering VM's own state. */
export const statusSchema = z.strictObject({
	name: z.string(),
	identity: z.string(),
	dataCentre: z.string(),
	stage: z.enum(['starting', 'serving', 'leaving', 'closing-idle', 'draining', 'refusing', 'ended']),
	/** No word from the platform's service nor from any other VM: the configuration may be old. */
	isCutOff: z.boolean(),
	/** Configuration version in force here. */
	version: z.int().min(0),
	/** Newest version heard of; above `version` while it is being fetched. */
	newestKnownVersion: z.int().min(0),
	/** Milliseconds since the platform's service last answered this VM; null = never. */
	storeContactAgeMilliseconds: z.number().min(0).nullable(),
	/** Its slot of the fleet's budgets; null = none, so it makes no measuring calls. */
	shareSlot: z.int().min(0).nullable(),
	callsInFlight: z.int().min(0),
	callsQueued: z.int().min(0),
	backendServers: z.array(backendServerReportSchema),
});
export type Status = z.infer<typeof statusSchema>;

/** A call that is refused because it crashed the backend servers that ran it. */
export const quarantineEntrySchema = z.strictObject({
	fingerprint: z.string(),
	crashes: z.int().min(0),
	remainingMilliseconds: z.number().min(0),
});
export type QuarantineEntry = z.infer<typeof quarantineEntrySchema>;
export const quarantineSchema = z.strictObject({entries: z.array(quarantineEntrySchema)});

/** The level below which nothing is logged. */
export const logLevelSchema = z.strictObject({level: settingsSchema.shape.log.unwrap().shape.level.unwrap()});

/** The change that stands where another was to be made. */
export const winnerSchema = z.strictObject({
	key: z.string(),
	/** Version that stands there now; 0 = the resource is gone. */
	version: z.int().min(0),
	/** Who made it; null if the history no longer reaches back to it. */
	operator: z.string().nullable(),
});
export type Winner = z.infer<typeof winnerSchema>;

/** Why the system did not do what an operator asked. */
export type GatewayFailure
	/** Another change came first; nothing was changed. */
	= | (Failure<'conflict'> & {readonly winner: Winner})
	/** The change may or may not be accepted; ask for the operation, or send the same again. */
		| (Failure<'outcome-unknown'> & {readonly operation: string})
	/** The change contradicts what is in force, such as a backend server of no service; nothing was changed. */
		| (Failure<'invalid'> & {readonly faults: readonly InputFailure[]})
	/** The store did not take part; nothing was changed. */
		| Failure<'unavailable'>
		| Failure<'not-found'>
	/** This VM has no configuration yet. */
		| Failure<'not-ready'>;

/** What the resource API asks of the system. Reads answer with what is in force on this VM. */
export type OperatorGateway = {
	/** All resources, or those of a kind, sorted by key. */
	list(kind: ResourceKind | undefined): Result<ResourcesInForce, GatewayFailure>;
	get(key: ResourceKey): Result<Maybe<StoredResource>, GatewayFailure>;
	/** Makes a change; the answer comes once its outcome is known or the wait for it has ended. */
	change(request: ChangeRequest, operator: string): Promise<Result<ChangeAccepted, GatewayFailure>>;
	/** What became of an operation, as far as it is known here. */
	operation(operation: string): Result<OperationState, GatewayFailure>;
	/** Answers once a version above `after` is in force, or with no records when the time or the signal ends. */
	watch(after: number, milliseconds: number, signal: AbortSignal): Promise<Result<WatchUpdate, GatewayFailure>>;
	/** The latest changes in force, the newest first. */
	history(limit: number): Result<readonly ChangeRecord[], GatewayFailure>;
	status(): Status;
	vms(): readonly VmStatus[];
	/** Tells a VM, by identity or address, to leave: out of the answers, then a planned stop that cuts off no call. */
	drain(vm: string, operator: string): Promise<Result<VmStatus, GatewayFailure>>;
	/** Gathers the counts of all VMs. */
	burn(): Promise<BurnReport>;
	quarantine(): readonly QuarantineEntry[];
	/** Lets a quarantined call run again on all VMs that hear of it. */
	liftQuarantine(fingerprint: string, operator: string): Promise<Result<void, GatewayFailure>>;
	logLevel(): LogLevel;
	setLogLevel(level: LogLevel): void;
};

/** The body of an answer that tells of a failure (RFC 9457). */
export const problemSchema = z.looseObject({
	type: z.string(),
	title: z.string(),
	status: z.int(),
	detail: z.string(),
	/** Faults of the input, each with the path of its field. */
	faults: z.array(z.strictObject({field: z.string(), kind: z.string(), message: z.string()})).optional(),
	/** For a conflict: what stands there now, and whose it is. */
	winner: winnerSchema.optional(),
	/** For an unknown outcome: the operation to ask about. */
	operation: z.string().optional(),
});
export type Problem = z.infer<typeof problemSchema>;
