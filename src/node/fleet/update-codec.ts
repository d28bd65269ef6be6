/** Encoding of updates of call engines between VMs of a store-led fleet. Unknown fields of later builds are ignored. */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {type LoadUpdate} from '../../common/calls/types.ts';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {type EvidenceKey, type EvidenceReply} from '../../common/registry/types.ts';

/** Path for updates on a VM's peers endpoint. Earlier builds answer 404. */
export const updatesPath = '/updates';

/** Path on a VM's peers endpoint for comparing evidence of crashes. Earlier builds answer 404. */
export const evidencePath = '/evidence';

/** Maximum length of a message with updates or evidence in bytes; a longer one does not come from a VM of this fleet. */
export const maxUpdatesBytes = 1_000_000;

const fingerprintSchema = z.string().max(128);

const reportSchema = z.object({
	inFlight: z.number(),
	queued: z.number(),
	slots: z.number(),
	instance: z.string().max(128).optional(),
	isLeaving: z.boolean(),
});

/** `callsPerSecond` is absent once the limit has ended. */
const rateLimitSchema = z.object({process: z.string().min(1).max(256), callsPerSecond: z.number().positive().optional(), sequence: z.int().min(1)});

/** Schema of one update. Suspects of a crash are limited as in the call engine. */
export const updateSchema = z.object({
	identity: z.string().min(1).max(128),
	report: reportSchema.optional(),
	ageMilliseconds: z.number().min(0),
	suspects: z.array(fingerprintSchema).max(64).default([]),
	crash: z.string().max(256).optional(),
	isCrashCertain: z.boolean().optional(),
	cleared: z.array(fingerprintSchema).max(64).optional(),
	rateLimit: rateLimitSchema.optional(),
});

const updatesSchema = z.array(updateSchema).max(1000);

/** The identity of a process and a fingerprint. */
const evidenceKeysSchema = z.array(z.string().max(512)).max(1000);

const evidenceReplySchema = z.object({updates: updatesSchema, missing: evidenceKeysSchema});

export type EncodedUpdate = z.input<typeof updateSchema>;

export function toWire({identity, report, ageMilliseconds, suspects, crash, isCrashCertain, cleared, rateLimit}: LoadUpdate): EncodedUpdate {
	return {
		identity, report, ageMilliseconds: Math.round(ageMilliseconds), suspects: [...suspects], crash, isCrashCertain, cleared: cleared === undefined ? undefined : [...cleared], rateLimit,
	};
}

export function fromWire({report, crash, isCrashCertain, cleared, rateLimit, ...update}: z.output<typeof updateSchema>): LoadUpdate {
	return {
		...update,
		report: report === undefined ? undefined : {...report, instance: report.instance},
		crash,
		...(isCrashCertain === undefined ? {} : {isCrashCertain}),
		...(cleared === undefined ? {} : {cleared}),
		...(rateLimit === undefined ? {} : {rateLimit}),
	};
}

export function encodeUpdates(updates: readonly LoadUpdate[]): string {
	return JSON.stringify(updates.map(update => toWire(update)));
}

export function decodeUpdates(text: string): Result<LoadUpdate[], Failure<'invalid-document'>> {
	return decode(updatesSchema, text, 'updates').map(updates => updates.map(update => fromWire(update)));
}

export function encodeEvidenceKeys(keys: readonly EvidenceKey[]): string {
	return JSON.stringify(keys);
}

export function decodeEvidenceKeys(text: string): Result<EvidenceKey[], Failure<'invalid-document'>> {
	return decode(evidenceKeysSchema, text, 'evidence');
}

export function encodeEvidenceReply({updates, missing}: EvidenceReply): string {
	return JSON.stringify({updates: updates.map(update => toWire(update)), missing});
}

export function decodeEvidenceReply(text: string): Result<EvidenceReply, Failure<'invalid-document'>> {
	return decode(evidenceReplySchema, text, 'evidence').map(({updates, missing}) => ({updates: updates.map(update => fromWire(update)), missing}));
}

function decode<Schema extends z.ZodType>(schema: Schema, text: string, name: string): Result<z.output<Schema>, Failure<'invalid-document'>> {
	try {
		const parsed = schema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : err(failure('invalid-document', `${name}: ${parsed.error.issues[0]?.message ?? 'invalid'}`));
	} catch {
		return err(failure('invalid-document', `${name}: truncated or not valid JSON`));
	}
}
