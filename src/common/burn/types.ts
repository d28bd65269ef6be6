/** The report on service-level burn as it crosses borders: between VMs, to operators, to programs. */
import {z} from 'zod';
import {nameSchema} from '../model/resources.ts';

/** Windows over which calls are counted, the shortest first. */
export const burnWindowNames = ['5m', '1h', '6h', '30d'] as const;
export const burnWindowNameSchema = z.enum(burnWindowNames);
export type BurnWindowName = z.infer<typeof burnWindowNameSchema>;

/** Good and bad calls of one service in one window. */
export const windowCountsSchema = z.strictObject({
	window: burnWindowNameSchema,
	good: z.int().min(0),
	bad: z.int().min(0),
	/** How much of the window the counts cover: less than the window after a start. */
	coveredMilliseconds: z.number().min(0),
});
export type WindowCounts = z.infer<typeof windowCountsSchema>;

/** Measuring calls made against those allowed, in the present measuring window. */
export const measuringSpendSchema = z.strictObject({
	spent: z.number().min(0),
	allowed: z.number().min(0),
});
export type MeasuringSpend = z.infer<typeof measuringSpendSchema>;

/** What one VM's process counted for one service. */
export const serviceCountsSchema = z.strictObject({
	service: nameSchema,
	windows: z.array(windowCountsSchema),
	measuring: measuringSpendSchema,
});
export type ServiceCounts = z.infer<typeof serviceCountsSchema>;

/** What one VM's process counted, told by itself or by a peer that kept a copy. */
export const instanceCountsSchema = z.strictObject({
	/** Identity of the process that counted. */
	instance: z.string().min(1).max(64),
	vm: nameSchema,
	/** Age of the counts at the moment of telling; 0 when told by the process itself. */
	ageMilliseconds: z.number().min(0),
	services: z.array(serviceCountsSchema),
});
export type InstanceCounts = z.infer<typeof instanceCountsSchema>;

/** How fast a service spends its error budget. */
export const burnVerdictSchema = z.enum(['no-calls', 'within-objective', 'slow-burn', 'fast-burn']);
export type BurnVerdict = z.infer<typeof burnVerdictSchema>;

/** One line of the report. */
export const serviceBurnSchema = z.strictObject({
	service: nameSchema,
	objective: z.strictObject({successShare: z.number(), latencyMilliseconds: z.number()}),
	windows: z.array(windowCountsSchema.extend({
		/**
		 * Share of bad calls divided by the share that the objective allows: 1 spends the budget exactly.
		 * null = no calls, or a bad call where the objective allows none.
		 */
		burnRate: z.number().nullable(),
	})),
	/** Part of the error budget of the longest window that is left; below 0 = overspent; null as above. */
	budgetLeft: z.number().nullable(),
	verdict: burnVerdictSchema,
	measuring: measuringSpendSchema,
});
export type ServiceBurn = z.infer<typeof serviceBurnSchema>;

/** The report over all VMs. */
export const burnReportSchema = z.strictObject({
	services: z.array(serviceBurnSchema),
	/** VMs whose own counts are in the report. */
	vmsCounted: z.array(nameSchema),
	/** VMs known to serve that did not answer; the newest copy that a peer kept stands in where there is one. */
	vmsMissing: z.array(nameSchema),
	/** Processes that ended and are counted by a peer's copy. */
	copiesCounted: z.int().min(0),
});
export type BurnReport = z.infer<typeof burnReportSchema>;
