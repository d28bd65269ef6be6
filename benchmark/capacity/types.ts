/** What the capacity benchmark finds, and what the page is made from. */
import {z} from 'zod';

/** One measured value at one size. */
export const pointSchema = z.object({size: z.number(), value: z.number()});
export type Point = z.infer<typeof pointSchema>;

/** A line through the points: value = fixed + slope × size, by least squares. */
export const slopeSchema = z.object({
	/** Names it for the page, such as `fleet.bytesPerMember`. */
	name: z.string(),
	/** What grows along the x axis. */
	against: z.string(),
	unit: z.string(),
	fixed: z.number(),
	slope: z.number(),
	points: z.array(pointSchema),
});
export type Slope = z.infer<typeof slopeSchema>;

/** What one VM of a fleet does in a steady state, in virtual time. */
export const steadyStateSchema = z.object({
	vms: z.int(),
	isWatcher: z.boolean(),
	messagesOutPerSecond: z.number(),
	bytesOutPerSecond: z.number(),
	messagesInPerSecond: z.number(),
	bytesInPerSecond: z.number(),
	/** Processor time of the engine and of the codec of messages, as a share of one core. */
	engineCoreShare: z.number(),
	codecCoreShare: z.number(),
	storeCallsPerSecond: z.number(),
	/** Most rumours about members that wait to be passed on at the end. */
	isKeepingUp: z.boolean(),
	membersBehind: z.number(),
});
export type SteadyState = z.infer<typeof steadyStateSchema>;

/** Everything that one run found. */
export const capacityResultsSchema = z.object({
	command: z.string(),
	node: z.string(),
	slopes: z.array(slopeSchema),
	steadyStates: z.array(steadyStateSchema),
	/** What gRPC adds to a message, at one end. */
	transport: z.object({overheadBytesPerMessage: z.number(), processorMicrosecondsPerMessage: z.number()}),
});
export type CapacityResults = z.infer<typeof capacityResultsSchema>;
