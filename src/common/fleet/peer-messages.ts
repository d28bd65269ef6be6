/**
 * Messages between VMs. Data received over gRPC is validated against these schemas before the engine handles it. Times
 * are durations, never clock readings, so the VMs' clocks need not agree.
 */
import {z} from 'zod';
import {
	resourceKinds, resourceSchema, resourceMetadataSchema, storedResourceSchema,
} from '../model/resources.ts';

const identitySchema = z.string().min(1).max(64);
const addressSchema = z.string().min(1).max(64);

/** A VM's record of itself. Only that VM increments `sequence`; the record with the highest sequence is current. */
export const memberRecordSchema = z.strictObject({
	identity: identitySchema,
	peerAddress: addressSchema,
	callAddress: addressSchema,
	dataCentre: z.string().max(63),
	/** Revision of the record, and the incarnation number of SWIM: a higher sequence refutes a suspicion of a lower one. */
	sequence: z.int().min(0),
	isLeaving: z.boolean(),
	/** True while the VM is in the stage `serving`, which it enters once it has a configuration; only such VMs are returned to callers. */
	isServing: z.boolean(),
	/** Whether the VM holds a share slot; a stopping VM hands its slot to one that holds none. */
	holdsShare: z.boolean(),
	configurationVersion: z.int().min(0),
	/** Utilisation of the VM, 0 to 1. */
	utilisation: z.number().min(0).max(1),
});
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** A rumour about a member: its record and a verdict on it. */
export const memberUpdateSchema = z.strictObject({
	record: memberRecordSchema,
	verdict: z.enum(['live', 'suspected', 'dead']),
});
export type MemberUpdate = z.infer<typeof memberUpdateSchema>;

/** A leaving sign of a backend server's process, as passed from VM to VM. */
export const leavingRumourSchema = z.strictObject({
	identity: identitySchema,
	instance: z.string().max(128).optional(),
	/** Milliseconds from the first sign to the sending of this message. */
	ageMilliseconds: z.number().min(0),
});
export type LeavingRumour = z.infer<typeof leavingRumourSchema>;

/** Load report of one backend server, or its crash with the fingerprints of the calls that were in flight. */
export const loadUpdateSchema = z.strictObject({
	identity: identitySchema,
	report: z.strictObject({
		inFlight: z.number(),
		queued: z.number(),
		slots: z.number(),
		instance: z.string().max(128).optional(),
		isLeaving: z.boolean(),
	}).optional(),
	ageMilliseconds: z.number().min(0),
	suspects: z.array(z.string().max(128)).max(64).readonly(),
	crash: z.string().max(128).optional(),
	/** Absent in messages of earlier builds. */
	isCrashCertain: z.boolean().optional(),
	cleared: z.array(z.string().max(128)).max(64).readonly().optional(),
	/** `callsPerSecond` is absent once the limit has ended. */
	rateLimit: z.strictObject({process: z.string().max(256), callsPerSecond: z.number().positive().optional(), sequence: z.int().min(1)}).optional(),
});

/** An accepted configuration change, as stored in the platform's service and passed from VM to VM. */
export const changeRecordSchema = z.strictObject({
	version: z.int().min(1),
	operationId: z.string().min(1).max(128),
	who: z.string().max(256),
	when: z.string().max(64),
	note: z.string().max(4096),
	/** True if the mutations are too large for a record and are only in the snapshot of this version. */
	isInSnapshotOnly: z.literal(true).optional(),
	mutations: z.array(z.discriminatedUnion('type', [
		z.strictObject({type: z.literal('put'), resource: resourceSchema, metadata: resourceMetadataSchema}),
		z.strictObject({type: z.literal('delete'), kind: z.enum(resourceKinds), name: z.string().max(63)}),
	])),
});
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** Message bodies. */
export const peerBodySchema = z.discriminatedUnion('type', [
	/** Probes the receiver; carries rumours. */
	z.strictObject({type: z.literal('ping'), nonce: z.int()}),
	z.strictObject({type: z.literal('ping-answer'), nonce: z.int()}),
	/** Requests that the receiver probe `target`, which has not answered the sender. */
	z.strictObject({type: z.literal('ping-request'), nonce: z.int(), target: addressSchema}),
	/** Requests all members; answered by a `members` message. */
	z.strictObject({type: z.literal('join')}),
	z.strictObject({type: z.literal('members')}),
	/** Carries rumours that are sent without waiting for the next ping. */
	z.strictObject({type: z.literal('rumours')}),
	z.strictObject({type: z.literal('changes-request'), after: z.int().min(-1)}),
	z.strictObject({type: z.literal('changes'), records: z.array(changeRecordSchema).min(1).max(1000)}),
	/** One page of the whole configuration, for a VM that is too far behind for single records. */
	z.strictObject({
		type: z.literal('snapshot-page'),
		version: z.int().min(0),
		page: z.int().min(0),
		pages: z.int().min(1),
		resources: z.array(storedResourceSchema),
		/** The latest records, on the last page only, so that the receiver's history continues. */
		records: z.array(changeRecordSchema),
	}),
	/** A stopping VM offers its share slot. */
	z.strictObject({type: z.literal('share-offer'), slot: z.int().min(0)}),
	z.strictObject({type: z.literal('share-accept'), slot: z.int().min(0), nonce: z.int()}),
	/** The sender uses nothing of the slot after sending this. The receiver counts the remaining lease time from its acceptance. */
	z.strictObject({
		type: z.literal('share-grant'),
		slot: z.int().min(0),
		nonce: z.int(),
		leaseId: z.string().max(128),
		revision: z.int().min(0),
		remainingMilliseconds: z.number().min(0),
	}),
	/** An operator's order for a planned stop. */
	z.strictObject({type: z.literal('drain'), identity: identitySchema}),
]);
export type PeerBody = z.infer<typeof peerBodySchema>;

/** A message: the sender's record, a body, and piggybacked rumours and load updates, whose size the sender limits. */
export const peerMessageSchema = z.strictObject({
	/** Version of this protocol; a receiver ignores messages of another major version. */
	protocol: z.literal(1),
	sender: memberRecordSchema,
	/** Milliseconds since the sender last received a reply from the platform's service; undefined = never. */
	storeContactAgeMilliseconds: z.number().min(0).optional(),
	body: peerBodySchema,
	members: z.array(memberUpdateSchema).max(512),
	leaving: z.array(leavingRumourSchema).max(512),
	/** Digest of the sender's recent leaving signs, including those in this message; absent in messages that carry no rumours. */
	leavingDigest: z.int().min(0).optional(),
	updates: z.array(loadUpdateSchema).max(512),
});
export type PeerMessage = z.infer<typeof peerMessageSchema>;
