/** Conversion of burn counts to and from their gRPC messages. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {burnWindowNameSchema, processCountsSchema, type ProcessCounts} from '../../common/burn/types.ts';
import {failure, type Failure} from '../../common/errors/failure.ts';

const numbersPerBucket = 3;

const wireWindowSchema = z.object({window: burnWindowNameSchema, buckets: z.array(z.number())});
const wireServiceSchema = z.object({
	service: z.string(), coveredMilliseconds: z.number(), windows: z.array(wireWindowSchema), measuringSpent: z.number(),
});
const wireCountsSchema = z.object({
	identity: z.string(), vm: z.string(), ageMilliseconds: z.number(), services: z.array(wireServiceSchema),
});
const wireReportSchema = z.object({own: wireCountsSchema, copies: z.array(wireCountsSchema)});

/** Counts as defined in `proto/burn.proto`: buckets are flat lists of numbers. */
export type WireCounts = z.infer<typeof wireCountsSchema>;
export type WireReport = z.infer<typeof wireReportSchema>;

/** Counts of one VM's process, and the copies that the VM stores. */
export type CountsReport = {readonly own: ProcessCounts; readonly copies: readonly ProcessCounts[]};

export function countsToWire(counts: ProcessCounts): WireCounts {
	return {
		...counts,
		services: counts.services.map(service => ({
			...service,
			windows: service.windows.map(({window, buckets}) => ({window, buckets: buckets.flat()})),
		})),
	};
}

export function countsFromWire(input: unknown): Result<ProcessCounts, Failure<'malformed-message'>> {
	const wire = wireCountsSchema.safeParse(input);
	const parsed = wire.success ? processCountsSchema.safeParse(unfold(wire.data)) : wire;
	return parsed.success ? ok(parsed.data) : err(failure('malformed-message', 'The burn counts are invalid.'));
}

export function reportFromWire(input: unknown): Result<CountsReport, Failure<'malformed-message'>> {
	const wire = wireReportSchema.safeParse(input);
	if (!wire.success) {
		return err(failure('malformed-message', 'The burn counts are invalid.'));
	}

	// Invalid copies are dropped; the others are still used.
	const copies = wire.data.copies.flatMap(copy => countsFromWire(copy).match(value => [value], () => []));
	return countsFromWire(wire.data.own).map(own => ({own, copies}));
}

function unfold(wire: WireCounts): unknown {
	return {
		...wire,
		services: wire.services.map(service => ({
			...service,
			windows: service.windows.map(({window, buckets}) => ({window, buckets: toTriples(buckets)})),
		})),
	};
}

function toTriples(numbers: readonly number[]): number[][] {
	return Array.from({length: Math.ceil(numbers.length / numbersPerBucket)}, (_, index) =>
		numbers.slice(index * numbersPerBucket, (index + 1) * numbersPerBucket));
}
