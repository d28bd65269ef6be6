/** The load report as backend servers write it, on answers and at their load endpoint. */
import * as z from 'zod';
import {type LoadReport} from '../calls/types.ts';

const largestCount = 1_000_000;
const countSchema = z.coerce.number().int().min(0).max(largestCount);

/** Body of the load endpoint. */
export const loadBodySchema = z.object({
	inFlight: countSchema,
	queued: countSchema.default(0),
	slots: countSchema.min(1),
	instance: z.string().max(64).optional(),
	isLeaving: z.boolean().default(false),
});

/** Body of the load endpoint as a report; undefined if it says nothing usable. */
export function parseLoadBody(body: unknown): LoadReport | undefined {
	const parsed = loadBodySchema.safeParse(body);
	return parsed.success ? {...parsed.data, instance: parsed.data.instance} : undefined;
}

function count(text: string | undefined): number | undefined {
	if (text === undefined || !/^\d{1,7}$/v.test(text)) {
		return undefined;
	}

	const value = Number(text);
	return value <= largestCount ? value : undefined;
}

/** The form that backend servers write, in its usual order: read in one step, other forms field by field. */
const usualForm = /^in-flight=(\d+), queued=(\d+), slots=(\d+), instance=([^,\s]*)$/v;

function reportOf(
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
 * Parses `in-flight=3, queued=0, slots=6, instance=a1b2`. Runs once an answer: by hand, since a schema
 * costs more than the rest of the head's handling. A report that cannot be read counts as none.
 */
export function parseLoadHeader(text: string | undefined, isLeaving: boolean): LoadReport | undefined {
	if (text === undefined || text.length > 256) {
		return undefined;
	}

	const usual = usualForm.exec(text);
	if (usual !== null) {
		return reportOf(count(usual[1]), count(usual[2]), count(usual[3]), usual[4], isLeaving);
	}

	const fields = new Map<string, string>();
	for (const part of text.split(',')) {
		const equals = part.indexOf('=');
		if (equals > 0) {
			fields.set(part.slice(0, equals).trim(), part.slice(equals + 1).trim());
		}
	}

	return reportOf(count(fields.get('in-flight')), count(fields.get('queued')), count(fields.get('slots')), fields.get('instance'), isLeaving);
}
