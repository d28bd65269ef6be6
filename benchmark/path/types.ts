/** What the load process takes and gives, and what the benchmark stores. */
import {z} from 'zod';

/** One run of load. */
export const loadOrderSchema = z.strictObject({
	ports: z.array(z.int()).min(1),
	/** Stands before every path: `/services/bench` through jaydale, empty to a backend server. */
	pathPrefix: z.string(),
	/** Open loop at this rate; 0 = closed loop. */
	callsPerSecond: z.number().min(0),
	/** Connections of the closed loop. */
	concurrency: z.int().min(1),
	/** Calls of the first part of the run are not counted: processes compile and open connections meanwhile. */
	warmUpSeconds: z.number().min(0),
	seconds: z.number().positive(),
	answerBytes: z.int().min(0),
	/** 0 = GET without a body, else POST. */
	bodyBytes: z.int().min(0),
	workMilliseconds: z.number().min(0),
});
export type LoadOrder = z.infer<typeof loadOrderSchema>;

/** Latencies in milliseconds, counted from the moment at which a call was due. */
export const loadResultSchema = z.object({
	calls: z.int(),
	/** No whole right answer of status 200. */
	failed: z.int(),
	callsPerSecond: z.number(),
	p50: z.number(),
	p99: z.number(),
	p999: z.number(),
	maximum: z.number(),
});
export type LoadResult = z.infer<typeof loadResultSchema>;

/** Connections to hold open. */
export const holdOrderSchema = z.strictObject({
	port: z.int(),
	path: z.string(),
	count: z.int().min(1),
	answerBytes: z.int().min(0),
	/** Read nothing after the first bytes. */
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

/** One way of calling at one rate: direct and through jaydale, paired, the median of the rounds. */
export const pairedResultSchema = z.object({
	name: z.string(),
	/** 0 = closed loop. */
	callsPerSecond: z.number(),
	rounds: z.int(),
	direct: loadResultSchema,
	through: loadResultSchema,
	/** Differences in milliseconds: the median over the rounds of each round's difference. */
	added: z.object({p50: z.number(), p99: z.number(), p999: z.number()}),
	/** The smallest of the rounds' differences at p99: what the quietest moment of the machine showed. */
	leastAddedP99: z.number(),
	/** Of jaydale's process, through runs only. */
	processorMicrosecondsPerCall: z.number(),
	/** Runs at backend servers beyond one a call (hedges, retries), as a share of the calls. */
	extraRunShare: z.number(),
	/** Share of the run in which its main thread was ready and had no processor: the machine's doing. */
	waitingShare: z.number(),
	garbageCollection: garbageCollectionSchema,
});
export type PairedResult = z.infer<typeof pairedResultSchema>;

/** Everything that one run of the benchmark found. */
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
		/** Growth while paused downloads stay paused: 0 but for noise if back pressure holds. */
		growthWhilePausedBytes: z.number(),
		/** Highest resident memory above a fresh start while two downloads of a length ran at a time. */
		growthInDownloads: z.array(z.object({answerBytes: z.number(), growthBytes: z.number()})),
	}),
});
export type PathResults = z.infer<typeof pathResultsSchema>;
