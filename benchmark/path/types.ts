/** Orders and results of the load process, and stored results of the benchmark. */
import {z} from 'zod';

/** Order to run load. */
export const loadOrderSchema = z.strictObject({
	ports: z.array(z.int()).min(1),
	/** Prefix of every path: `/services/bench` for jaydale, empty for a backend server. */
	pathPrefix: z.string(),
	/** Rate of the open loop; 0 = closed loop. */
	callsPerSecond: z.number().min(0),
	/** Number of connections of the closed loop. */
	concurrency: z.int().min(1),
	/** Calls in this first part of the run are not counted, since processes compile code and open connections during it. */
	warmUpSeconds: z.number().min(0),
	seconds: z.number().positive(),
	answerBytes: z.int().min(0),
	/** 0 = GET without a body, otherwise POST. */
	bodyBytes: z.int().min(0),
	workMilliseconds: z.number().min(0),
});
export type LoadOrder = z.infer<typeof loadOrderSchema>;

/** Result of a run. Latencies are in milliseconds from the instant at which a call was due. */
export const loadResultSchema = z.object({
	calls: z.int(),
	/** Calls without a complete and correct answer of status 200. */
	failed: z.int(),
	callsPerSecond: z.number(),
	p50: z.number(),
	p99: z.number(),
	p999: z.number(),
	maximum: z.number(),
});
export type LoadResult = z.infer<typeof loadResultSchema>;

/** Order to hold connections open. */
export const holdOrderSchema = z.strictObject({
	port: z.int(),
	path: z.string(),
	count: z.int().min(1),
	answerBytes: z.int().min(0),
	/** Whether reading stops after the first bytes. */
	isPaused: z.boolean(),
});
export type HoldOrder = z.infer<typeof holdOrderSchema>;

/** Garbage collection of a process during a run. */
export const garbageCollectionSchema = z.object({
	pauses: z.number(),
	totalMilliseconds: z.number(),
	longestMilliseconds: z.number(),
});
export type GarbageCollection = z.infer<typeof garbageCollectionSchema>;

/** Direct calls compared with calls through jaydale, for one kind of call at one rate; medians over the rounds. */
export const pairedResultSchema = z.object({
	name: z.string(),
	/** 0 = closed loop. */
	callsPerSecond: z.number(),
	rounds: z.int(),
	direct: loadResultSchema,
	through: loadResultSchema,
	/** Latency added by jaydale in milliseconds: median over the rounds of the difference in each round. */
	added: z.object({p50: z.number(), p99: z.number(), p999: z.number()}),
	/** Smallest difference at p99 of all rounds, that is, of the round in which the machine was quietest. */
	leastAddedP99: z.number(),
	/** Processor time of jaydale's process per call through it. */
	processorMicrosecondsPerCall: z.number(),
	/** Runs at backend servers beyond one per call (hedges, retries), as a fraction of the calls. */
	extraRunShare: z.number(),
	/** Fraction of the run in which the main thread of jaydale was ready but waited for a processor, due to other load on the machine. */
	waitingShare: z.number(),
	garbageCollection: garbageCollectionSchema,
});
export type PairedResult = z.infer<typeof pairedResultSchema>;

/** All results of one run of the benchmark. */
export const pathResultsSchema = z.object({
	command: z.string(),
	node: z.string(),
	processors: z.string(),
	target: z.enum(['daemon', 'front-only']),
	paired: z.array(pairedResultSchema),
	memory: z.object({
		startBytes: z.number(),
		bytesPerIdleConnection: z.number(),
		bytesPerPausedDownload: z.number(),
		/** Growth while paused downloads stay paused; 0 except for noise if back pressure works. */
		growthWhilePausedBytes: z.number(),
		/** Peak resident memory above that of a fresh process, while downloads of a length ran two at a time. */
		growthInDownloads: z.array(z.object({answerBytes: z.number(), growthBytes: z.number()})),
	}),
});
export type PathResults = z.infer<typeof pathResultsSchema>;
