/**
 * What VMs say to one another. The schemas are the border: what comes over gRPC is checked against
 * them before the engine sees it. Times are spans, never clock readings, so clocks need not agree.
 */
import {z} from 'zod';
import {resourceSchema, resourceMetadataSchema, storedResourceSchema} from '../model/resources.ts';

const identitySchema = z.string().min(1).max(64);
const addressSchema = z.string().min(1).max(64);

/** What a VM says about itself. Only its owner raises `sequence`; the highest one is the truth. */
export const memberRecordSchema = z.strictObject({
	identity: identitySchema,
	peerAddress: addressSchema,
	callAddress: addressSchema,
	dataCentre: z.string().max(63),
	/** Also the incarnation: a suspicion of a lower sequence is refuted by a higher one. */
	sequence: z.int().min(0),
	isLeaving: z.boolean(),
	/** False until it has a configuration; such a VM is in no answer to callers. */
	isServing: z.boolean(),
	/** Holds a share slot: a stopping VM looks for one that does not. */
	holdsShare: z.boolean(),
	configurationVersion: z.int().min(0),
	/** 0 to 1. */
	utilisation: z.number().min(0).max(1),
});
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** A rumour about a member: its own record, or another VM's verdict on that record. */
export const memberUpdateSchema = z.strictObject({
	record: memberRecordSchema,
	verdict: z.enum(['live', 'suspected', 'dead']),
});
export type MemberUpdate = z.infer<typeof memberUpdateSchema>;

/** A sign of leaving on its way through the fleet. */
export const leavingRumourSchema = z.strictObject({
	identity: identitySchema,
	instance: z.string().max(128).optional(),
	/** Milliseconds since the first sign, at the moment of sending. */
	ageMilliseconds: z.number().min(0),
});
export type LeavingRumour = z.infer<typeof leavingRumourSchema>;

/** An update about one backend server's load. */
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
});

/** A change of the configuration as accepted: what the platform's service holds and VMs pass on. */
export const changeRecordSchema = z.strictObject({
	version: z.int().min(1),
	operationId: z.string().min(1).max(128),
	who: z.string().max(256),
	when: z.string().max(64),
	note: z.string().max(4096),
	/** Too large for a record: the mutations are only in the snapshot of this version. */
	isInSnapshotOnly: z.literal(true).optional(),
	mutations: z.array(z.discriminatedUnion('type', [
		z.strictObject({type: z.literal('put'), resource: resourceSchema, metadata: resourceMetadataSchema}),
		z.strictObject({type: z.literal('delete'), kind: z.enum(['service', 'backend-server', 'sharing-rule']), name: z.string().max(63)}),
	])),
});
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** Kinds of message. */
export const peerBodySchema = z.discriminatedUnion('type', [
	/** Are you there? Carries rumours. */
	z.strictObject({type: z.literal('ping'), nonce: z.int()}),
	z.strictObject({type: z.literal('ping-answer'), nonce: z.int()}),
	/** Ask that VM for me: I can't reach it. */
	z.strictObject({type: z.literal('ping-request'), nonce: z.int(), target: addressSchema}),
	/** A new VM asks for everything; the answer comes in `members` messages. */
	z.strictObject({type: z.literal('join')}),
	z.strictObject({type: z.literal('members')}),
	/** Rumours that can't wait for the next ping. */
	z.strictObject({type: z.literal('rumours')}),
	z.strictObject({type: z.literal('changes-request'), after: z.int().min(-1)}),
	z.strictObject({type: z.literal('changes'), records: z.array(changeRecordSchema).min(1).max(1000)}),
	/** One page of the whole configuration, for a VM that is too far behind. */
	z.strictObject({
		type: z.literal('snapshot-page'),
		version: z.int().min(0),
		page: z.int().min(0),
		pages: z.int().min(1),
		resources: z.array(storedResourceSchema),
		/** Latest records, on the last page only, so that the history goes on. */
		records: z.array(changeRecordSchema),
	}),
	/** A stopping VM has a share slot to give away. */
	z.strictObject({type: z.literal('share-offer'), slot: z.int().min(0)}),
	z.strictObject({type: z.literal('share-accept'), slot: z.int().min(0), nonce: z.int()}),
	/** From its sending on the giver spends nothing; the rest of the lease counts from the taker's acceptance. */
	z.strictObject({
		type: z.literal('share-grant'),
		slot: z.int().min(0),
		nonce: z.int(),
		leaseId: z.string().max(128),
		revision: z.int().min(0),
		remainingMilliseconds: z.number().min(0),
	}),
	/** An operator's order to stop in the planned way. */
	z.strictObject({type: z.literal('drain'), identity: identitySchema}),
]);
export type PeerBody = z.infer<typeof peerBodySchema>;

/** A message: who says it, what, and the rumours that ride along (bounded in bytes by the sender). */
export const peerMessageSchema = z.strictObject({
	/** Version of this protocol; a receiver ignores messages of another major version. */
	protocol: z.literal(1),
	sender: memberRecordSchema,
	/** Milliseconds since the sender last heard from the platform's service; undefined = never. */
	storeContactAgeMilliseconds: z.number().min(0).optional(),
	body: peerBodySchema,
	members: z.array(memberUpdateSchema).max(512),
	leaving: z.array(leavingRumourSchema).max(512),
	/** Of the signs of leaving that the sender knows, these included; absent = none known. */
	leavingDigest: z.int().min(0).optional(),
	updates: z.array(loadUpdateSchema).max(512),
});
export type PeerMessage = z.infer<typeof peerMessageSchema>;
