/** Schemas of the burn report, which shows how fast services spend their error budgets. Exchanged between VMs and returned to operators and programs. */
import {z} from 'zod';
import {nameSchema} from '../model/resources.ts';

/** Windows over which calls are counted, shortest first. */
export const burnWindowNames = ['5m', '1h', '6h', '30d'] as const;
export const burnWindowNameSchema = z.enum(burnWindowNames);
export type BurnWindowName = z.infer<typeof burnWindowNameSchema>;

/** Good and bad calls in one window. */
export const windowCountsSchema = z.strictObject({
	window: burnWindowNameSchema,
	good: z.int().min(0),
	bad: z.int().min(0),
	/** Part of the window that the counts cover; shorter than the window until the process has run that long. */
	coveredMilliseconds: z.number().min(0),
});
export type WindowCounts = z.infer<typeof windowCountsSchema>;

/** One bucket as sent to another VM: age in whole buckets, number of good calls, number of bad calls. */
export const bucketSchema = z.tuple([z.int().min(0), z.int().min(0), z.int().min(0)]);
export type Bucket = z.infer<typeof bucketSchema>;

/** Limit on the buckets of one window in a message. */
const maxBuckets = 512;
/** Limit on the services in a message; the largest supported installation has this many. */
const maxServices = 2000;

/** Counts of one process for one service, by bucket, so that a receiver can drop buckets as they leave the window. */
export const serviceBucketsSchema = z.strictObject({
	service: nameSchema,
	/** Time for which the process has counted calls of the service. */
	coveredMilliseconds: z.number().min(0),
	windows: z.array(z.strictObject({window: burnWindowNameSchema, buckets: z.array(bucketSchema).max(maxBuckets)})).max(burnWindowNames.length),
	/** Measuring calls in the current measuring window; 0 once the process has ended. */
	measuringSpent: z.number().min(0),
});
export type ServiceBuckets = z.infer<typeof serviceBucketsSchema>;

/** Counts of one process, sent by the process itself or by a VM that stores a copy. */
export const processCountsSchema = z.strictObject({
	/** Identity of the process that counted the calls. */
	identity: z.string().min(1).max(64),
	vm: nameSchema,
	/** Milliseconds from when the process exported the counts until this message was sent. */
	ageMilliseconds: z.number().min(0),
	services: z.array(serviceBucketsSchema).max(maxServices),
});
export type ProcessCounts = z.infer<typeof processCountsSchema>;

/** Measuring calls that all VMs made in the current window, and the number that the operator allows. */
export const measuringSpendSchema = z.strictObject({
	spent: z.number().min(0),
	allowed: z.number().min(0),
});
export type MeasuringSpend = z.infer<typeof measuringSpendSchema>;

/** Assessment of how fast a service spends its error budget. */
export const burnVerdictSchema = z.enum(['no-calls', 'within-objective', 'slow-burn', 'fast-burn']);
export type BurnVerdict = z.infer<typeof burnVerdictSchema>;

/** Counts of one window and the burn rate computed from them. */
export const windowBurnSchema = windowCountsSchema.extend({
	/**
	 * Share of bad calls divided by the share that the objective allows; a rate of 1 spends the budget exactly.
	 * null = no calls, or at least one bad call where the objective allows none.
	 */
	burnRate: z.number().nullable(),
});
export type WindowBurn = z.infer<typeof windowBurnSchema>;

/** Burn of one service. */
export const serviceBurnSchema = z.strictObject({
	service: nameSchema,
	objective: z.strictObject({successShare: z.number(), latencyMilliseconds: z.number()}),
	windows: z.array(windowBurnSchema),
	/** Remaining part of the error budget of the longest window, by the counts available; below 0 = overspent; null as for `burnRate`. */
	budgetLeft: z.number().nullable(),
	verdict: burnVerdictSchema,
	measuring: measuringSpendSchema,
});
export type ServiceBurn = z.infer<typeof serviceBurnSchema>;

/** Burn report over all VMs. */
export const burnReportSchema = z.strictObject({
	services: z.array(serviceBurnSchema),
	/** Addresses of the VMs that sent their own counts. */
	vmsCounted: z.array(z.string()),
	/** Addresses of the serving VMs that did not answer. The newest copy of their counts on another VM is used instead, if one exists. */
	vmsMissing: z.array(z.string()),
	/** Number of processes whose counts come from a copy. */
	copiesCounted: z.int().min(0),
});
export type BurnReport = z.infer<typeof burnReportSchema>;
