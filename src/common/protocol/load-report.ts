/** Parsers for the load report of a backend server: as an answer header and as the body of the load endpoint. */
import * as z from 'zod';
import {type LoadReport} from '../calls/types.ts';

const maxCount = 1_000_000;
const countSchema = z.coerce.number().int().min(0).max(maxCount);

/** Body of the load endpoint. */
export const loadBodySchema = z.object({
	inFlight: countSchema,
	queued: countSchema.default(0),
	slots: countSchema.min(1),
	instance: z.string().max(64).optional(),
	isLeaving: z.boolean().default(false),
});

/** Parses the body of the load endpoint; undefined if it is not a valid load report. */
export function parseLoadBody(body: unknown): LoadReport | undefined {
	const parsed = loadBodySchema.safeParse(body);
	return parsed.success ? {...parsed.data, instance: parsed.data.instance} : undefined;
}

function parseCount(text: string | undefined): number | undefined {
	if (text === undefined || !/^\d{1,7}$/v.test(text)) {
		return undefined;
	}

	const value = Number(text);
	return value <= maxCount ? value : undefined;
}

/** The usual order of fields, parsed with one pattern. Any other order is parsed field by field. */
const canonicalPattern = /^in-flight=(\d+), queued=(\d+), slots=(\d+), instance=([^,\s]*)$/v;

function createReport(
	inFlight: number | undefined,
	queued: number | undefined,
	slots: number | undefined,
	instance: string | undefined,
	isLeaving: boolean,
): LoadReport | undefined {
	if (inFlight === undefined || slots === undefined || slots === 0) {
		return undefined;
	}

	return {
		inFlight, queued: queued ?? 0, slots, instance, isLeaving,
	};
}

/**
 * Parses `in-flight=3, queued=0, slots=6, instance=a1b2`; undefined if the text is missing or malformed. Written without a
 * schema because it runs for every answer, and validation by schema costs more than all other handling of the head.
 */
export function parseLoadHeader(text: string | undefined, isLeaving: boolean): LoadReport | undefined {
	if (text === undefined || text.length > 256) {
		return undefined;
	}

	const canonicalMatch = canonicalPattern.exec(text);
	if (canonicalMatch !== null) {
		return createReport(parseCount(canonicalMatch[1]), parseCount(canonicalMatch[2]), parseCount(canonicalMatch[3]), canonicalMatch[4], isLeaving);
	}

	const fields = new Map<string, string>();
	for (const part of text.split(',')) {
		const equals = part.indexOf('=');
		if (equals > 0) {
			fields.set(part.slice(0, equals).trim(), part.slice(equals + 1).trim());
		}
	}

	return createReport(parseCount(fields.get('in-flight')), parseCount(fields.get('queued')), parseCount(fields.get('slots')), fields.get('instance'), isLeaving);
}
