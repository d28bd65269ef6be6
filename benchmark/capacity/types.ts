/** Results of the capacity benchmark; the capacity page is generated from them. */
import {z} from 'zod';

/** One measured value at one size. */
export const pointSchema = z.object({size: z.number(), value: z.number()});
export type Point = z.infer<typeof pointSchema>;

/** A line through the points: value = fixed + slope × size, by least squares. */
export const slopeSchema = z.object({
	/** Identifier used by the capacity page, such as `membership.bytes`. */
	name: z.string(),
	/** Quantity on the x axis. */
	against: z.string(),
	unit: z.string(),
	fixed: z.number(),
	slope: z.number(),
	points: z.array(pointSchema),
});
export type Slope = z.infer<typeof slopeSchema>;

/** Traffic and processor use of one VM in a steady state, in virtual time. */
export const steadyStateSchema = z.object({
	vms: z.int(),
	isWatcher: z.boolean(),
	messagesOutPerSecond: z.number(),
	bytesOutPerSecond: z.number(),
	messagesInPerSecond: z.number(),
	bytesInPerSecond: z.number(),
	/** Processor time of the engine and of the message codec, as a fraction of one core. */
	engineCoreShare: z.number(),
	codecCoreShare: z.number(),
	storeCallsPerSecond: z.number(),
	/** Whether at the end fewer member updates wait to be sent than there are peers. */
	isKeepingUp: z.boolean(),
	/** Number of members whose known configuration version is older than the latest one at the end. */
	membersBehind: z.number(),
});
export type SteadyState = z.infer<typeof steadyStateSchema>;

/** All results of one run. */
export const capacityResultsSchema = z.object({
	command: z.string(),
	node: z.string(),
	slopes: z.array(slopeSchema),
	steadyStates: z.array(steadyStateSchema),
	/** Cost of gRPC per message: bytes on the wire, and processor time at one end. */
	transport: z.object({overheadBytesPerMessage: z.number(), processorMicrosecondsPerMessage: z.number()}),
});
export type CapacityResults = z.infer<typeof capacityResultsSchema>;
