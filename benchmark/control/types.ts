/** Stored results of the control benchmark. */
import {z} from 'zod';

/** Distribution of times in milliseconds over a number of runs. */
export const spreadSchema = z.object({
	runs: z.int(), missed: z.int(), p50: z.number(), p99: z.number(), worst: z.number(),
});

/** Cost of one VM at rest; `storeCallsPerSecond` is for the whole fleet. */
export const costSchema = z.object({
	bytesOutPerSecond: z.number(), messagesOutPerSecond: z.number(), processorPercent: z.number(), memoryMegabytes: z.number(), storeCallsPerSecond: z.number(),
});

export const controlResultsSchema = z.object({
	command: z.string(),
	vms: z.array(z.object({
		vms: z.int(), atRest: costSchema, inForceCalm: spreadSchema, inForceStoreOut: spreadSchema, inForceReplaced: spreadSchema, leaving: spreadSchema,
	})),
	resources: z.array(z.object({resources: z.int(), atRest: costSchema, inForce: spreadSchema})),
});
export type ControlResults = z.infer<typeof controlResultsSchema>;
