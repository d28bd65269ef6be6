/** Encoding of updates of call engines between VMs of a store-led fleet. Unknown fields of later builds are ignored. */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {type LoadUpdate} from '../../common/calls/types.ts';
import {failure, type Failure} from '../../common/errors/failure.ts';

/** Path for updates on a VM's peers endpoint. Earlier builds answer 404. */
export const updatesPath = '/updates';

/** Header with the peers address of a sender that asks for the crashes known to the receiver. */
export const replyToHeader = 'jaydale-reply-to';

const fingerprintSchema = z.string().max(128);

const reportSchema = z.object({
	inFlight: z.number(),
	queued: z.number(),
	slots: z.number(),
	instance: z.string().max(128).optional(),
	isLeaving: z.boolean(),
});

/** Schema of one update. Suspects of a crash are limited as in the call engine. */
export const updateSchema = z.object({
	identity: z.string().min(1).max(128),
	report: reportSchema.optional(),
	ageMilliseconds: z.number().min(0),
	suspects: z.array(fingerprintSchema).max(64).default([]),
	crash: z.string().max(256).optional(),
	isCrashCertain: z.boolean().optional(),
	cleared: z.array(fingerprintSchema).max(64).optional(),
});

const updatesSchema = z.array(updateSchema).max(1000);

export type EncodedUpdate = z.input<typeof updateSchema>;

export function toWire({identity, report, ageMilliseconds, suspects, crash, isCrashCertain, cleared}: LoadUpdate): EncodedUpdate {
	return {
		identity, report, ageMilliseconds: Math.round(ageMilliseconds), suspects: [...suspects], crash, isCrashCertain, cleared: cleared === undefined ? undefined : [...cleared],
	};
}

export function fromWire({report, crash, isCrashCertain, cleared, ...update}: z.output<typeof updateSchema>): LoadUpdate {
	return {
		...update,
		report: report === undefined ? undefined : {...report, instance: report.instance},
		crash,
		...(isCrashCertain === undefined ? {} : {isCrashCertain}),
		...(cleared === undefined ? {} : {cleared}),
	};
}

export function encodeUpdates(updates: readonly LoadUpdate[]): string {
	return JSON.stringify(updates.map(update => toWire(update)));
}

export function decodeUpdates(text: string): Result<LoadUpdate[], Failure<'invalid-document'>> {
	try {
		const parsed = updatesSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data.map(update => fromWire(update))) : err(failure('invalid-document', `updates: ${parsed.error.issues[0]?.message ?? 'invalid'}`));
	} catch {
		return err(failure('invalid-document', 'updates: truncated or not valid JSON'));
	}
}
