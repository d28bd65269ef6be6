/** Settings, faults and records of the stand-in backend server. */
import {z} from 'zod';

/** Modes of the backend server, which simulate faults. */
export const backendServerModeSchema = z.enum([
	/** No fault. */
	'normal',
	/** All work takes `slowFactor` times as long; the load report does not show the slowdown. */
	'slow',
	/** Responds with status 500 at once, and reports no load. */
	'fail-fast',
	/** Requests on connections that are open at the switch to this mode get no response; new connections work. */
	'silent',
	/** A call with the crash header ends the process or destroys all sockets, by the setting `crash`. */
	'crash-on-mark',
	/** The load report always shows no load. */
	'misleading',
]);
export type BackendServerMode = z.infer<typeof backendServerModeSchema>;

/** Body of `POST /admin`. Absent fields stay unchanged. */
export const backendServerUpdateSchema = z.strictObject({
	mode: backendServerModeSchema.optional(),
	slowFactor: z.number().min(1).optional(),
	/** Starts or ends a drain: responses carry the leaving header and `/health` has status 503, but calls are still run. */
	isDraining: z.boolean().optional(),
	/** Delay of load and drain in the reports of `/health`, `/load` and responses. */
	reportLagMilliseconds: z.number().min(0).optional(),
	workMilliseconds: z.number().min(0).optional(),
});
export type BackendServerUpdate = z.infer<typeof backendServerUpdateSchema>;

/** Settings of a backend server. */
export type BackendServerSettings = {
	readonly address: string;
	readonly port: number;
	readonly slots: number;
	readonly connectionLimit: number;
	/** Calls that may wait for a slot; further ones are shed. */
	readonly queueLimit: number;
	/** Work of a call without the work header. */
	readonly workMilliseconds: number;
	/** Length of the response body for a call without the bytes header. */
	readonly answerBytes: number;
	/** Warm-up time after the start, in which work takes longer by a factor that falls linearly from `coldFactor` to 1. */
	readonly coldMilliseconds: number;
	readonly coldFactor: number;
	/** Whether every call is recorded for the oracle; off in benchmarks. */
	readonly recordsCalls: boolean;
	/** Effect of a crash: ends the process, or destroys all sockets. */
	readonly crash: 'exit' | 'cut-sockets';
};

/** The default has the 6 slots and 250 connections of the backend server in the brief. */
export const defaultBackendServerSettings: BackendServerSettings = {
	address: '127.0.0.1',
	port: 0,
	slots: 6,
	connectionLimit: 250,
	queueLimit: 24,
	workMilliseconds: 2,
	answerBytes: 256,
	coldMilliseconds: 0,
	coldFactor: 1,
	recordsCalls: true,
	crash: 'cut-sockets',
};

/** One run of a call, as listed by `GET /admin/calls`. A call that was shed has no record. */
export const callRecordSchema = z.object({
	callId: z.string(),
	method: z.string(),
	path: z.string(),
	/** Milliseconds on the backend server's monotonic clock. */
	startedAt: z.number(),
	/** Time from the start of the drain to the start of the call; absent if the call started outside a drain. */
	millisecondsIntoDrain: z.number().optional(),
	state: z.enum(['running', 'finished', 'cancelled', 'timed-out']),
});
export type CallRecord = z.infer<typeof callRecordSchema>;

/** Counts since the start, as returned by `GET /admin/counts`. */
export const backendServerCountsSchema = z.object({
	started: z.number(),
	finished: z.number(),
	cancelled: z.number(),
	timedOut: z.number(),
	shed: z.number(),
	/** Measuring calls: requests for `/load` and `/health`. */
	measured: z.number(),
	mostConnections: z.number(),
});
export type BackendServerCounts = z.infer<typeof backendServerCountsSchema>;
