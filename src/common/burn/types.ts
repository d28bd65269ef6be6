/** The report on service-level burn as it crosses borders: between VMs, to operators, to programs. */
import {z} from 'zod';
import {nameSchema} from '../model/resources.ts';

/** Windows over which calls are counted, the shortest first. */
export const burnWindowNames = ['5m', '1h', '6h', '30d'] as const;
export const burnWindowNameSchema = z.enum(burnWindowNames);
export type BurnWindowName = z.infer<typeof burnWindowNameSchema>;

/** Good and bad calls in one window. */
export const windowCountsSchema = z.strictObject({
	window: burnWindowNameSchema,
	good: z.int().min(0),
	bad: z.int().min(0),
	/** How much of the window the counts cover: less than the window after a start. */
	coveredMilliseconds: z.number().min(0),
});
export type WindowCounts = z.infer<typeof windowCountsSchema>;

/** One bucket on its way to another VM: its age in whole buckets, good and bad calls. */
export const bucketSchema = z.tuple([z.int().min(0), z.int().min(0), z.int().min(0)]);
export type Bucket = z.infer<typeof bucketSchema>;

/** Most buckets of one window in a copy. */
const mostBuckets = 512;
/** Most services in a copy: all that the target size has. */
const mostServices = 2000;

/** What one process counted for one service, bucket by bucket, so that a copy can age. */
export const serviceBucketsSchema = z.strictObject({
	service: nameSchema,
	/** How long the process has counted. */
	coveredMilliseconds: z.number().min(0),
	windows: z.array(z.strictObject({window: burnWindowNameSchema, buckets: z.array(bucketSchema).max(mostBuckets)})).max(burnWindowNames.length),
	/** Measuring calls in the present measuring window; 0 once the process has ended. */
	measuringSpent: z.number().min(0),
});
export type ServiceBuckets = z.infer<typeof serviceBucketsSchema>;

/** What one process counted, told by itself or by a VM that keeps a copy. */
export const processCountsSchema = z.strictObject({
	/** Identity of the process that counted. */
	identity: z.string().min(1).max(64),
	vm: nameSchema,
	/** Milliseconds since the process itself told this, at the moment of sending. */
	ageMilliseconds: z.number().min(0),
	services: z.array(serviceBucketsSchema).max(mostServices),
});
export type ProcessCounts = z.infer<typeof processCountsSchema>;

/** Measuring calls made by all VMs in the present window against those that the operator allows. */
export const measuringSpendSchema = z.strictObject({
	spent: z.number().min(0),
	allowed: z.number().min(0),
});
export type MeasuringSpend = z.infer<typeof measuringSpendSchema>;

/** How fast a service spends its error budget. */
export const burnVerdictSchema = z.enum(['no-calls', 'within-objective', 'slow-burn', 'fast-burn']);
export type BurnVerdict = z.infer<typeof burnVerdictSchema>;

/** Counts of one window with the rate that follows from them. */
export const windowBurnSchema = windowCountsSchema.extend({
	/**
	 * Share of bad calls divided by the share that the objective allows: 1 spends the budget exactly.
	 * null = no calls, or a bad call where the objective allows none.
	 */
	burnRate: z.number().nullable(),
});
export type WindowBurn = z.infer<typeof windowBurnSchema>;

/** One line of the report. */
export const serviceBurnSchema = z.strictObject({
	service: nameSchema,
	objective: z.strictObject({successShare: z.number(), latencyMilliseconds: z.number()}),
	windows: z.array(windowBurnSchema),
	/** Part of the error budget of the longest window that is left, as far as its counts are known; below 0 = overspent; null as above. */
	budgetLeft: z.number().nullable(),
	verdict: burnVerdictSchema,
	measuring: measuringSpendSchema,
});
export type ServiceBurn = z.infer<typeof serviceBurnSchema>;

/** The report over all VMs. */
export const burnReportSchema = z.strictObject({
	services: z.array(serviceBurnSchema),
	/** Processes that told their counts themselves, by address. */
	vmsCounted: z.array(z.string()),
	/** VMs that should serve and did not answer; the newest copy kept elsewhere stands in where there is one. */
	vmsMissing: z.array(z.string()),
	/** Processes that are counted by a copy. */
	copiesCounted: z.int().min(0),
});
export type BurnReport = z.infer<typeof burnReportSchema>;
