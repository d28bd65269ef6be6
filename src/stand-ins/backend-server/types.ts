/** Settings, faults and records of the stand-in backend server. */
import {z} from 'zod';

/** How it behaves: see each mode at its field. */
export const backendServerModeSchema = z.enum([
	/** Works as set. */
	'normal',
	/** Every work takes `slowFactor` times as long; the load report does not show it. */
	'slow',
	/** Answers 500 at once, with a report that shows no load. */
	'fail-fast',
	/** Connections open at the switch are never answered again; new ones work. */
	'silent',
	/** A call with the crash mark ends the process (or, within a test's process, cuts all sockets). */
	'crash-on-mark',
	/** The report always shows no load. */
	'misleading',
]);
export type BackendServerMode = z.infer<typeof backendServerModeSchema>;

/** `POST /admin`; what is left out stays as it is. */
export const backendServerUpdateSchema = z.strictObject({
	mode: backendServerModeSchema.optional(),
	slowFactor: z.number().min(1).optional(),
	/** Begins to leave (or returns): answers are marked, `/health` says 503; calls are still run. */
	isDraining: z.boolean().optional(),
	/** `/health` and `/load` show a drain or load this much late; reports on answers too. */
	reportLagMilliseconds: z.number().min(0).optional(),
	workMilliseconds: z.number().min(0).optional(),
});
export type BackendServerUpdate = z.infer<typeof backendServerUpdateSchema>;

/** What a backend server is made with. */
export type BackendServerSettings = {
	readonly address: string;
	readonly port: number;
	readonly slots: number;
	readonly connectionLimit: number;
	/** Calls that may wait for a slot; one more is shed. */
	readonly queueLimit: number;
	/** Work of a call whose header names none. */
	readonly workMilliseconds: number;
	/** Bytes of an answer whose call names none. */
	readonly answerBytes: number;
	/** For so long after the start, work takes up to `coldFactor` times as long, falling to 1. */
	readonly coldMilliseconds: number;
	readonly coldFactor: number;
	/** Keep a record of every call for an oracle; off in benchmarks. */
	readonly recordsCalls: boolean;
	/** What a crash does: ends the process, or cuts every socket. */
	readonly crash: 'exit' | 'cut-sockets';
};

/** The brief's backend server: 6 slots, 250 connections. */
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

/** One run of one call, as `GET /admin/calls` lists it. A call that was shed has no record. */
export const callRecordSchema = z.object({
	callId: z.string(),
	method: z.string(),
	path: z.string(),
	/** On the backend server's own monotonic clock. */
	startedAt: z.number(),
	/** It was started after the drain had begun by this many milliseconds. */
	millisecondsIntoDrain: z.number().optional(),
	state: z.enum(['running', 'finished', 'cancelled', 'timed-out']),
});
export type CallRecord = z.infer<typeof callRecordSchema>;

/** Counts since the start, `GET /admin/counts`. */
export const backendServerCountsSchema = z.object({
	started: z.number(),
	finished: z.number(),
	cancelled: z.number(),
	timedOut: z.number(),
	shed: z.number(),
	/** Requests for `/load` and `/health`: measuring calls. */
	measured: z.number(),
	mostConnections: z.number(),
});
export type BackendServerCounts = z.infer<typeof backendServerCountsSchema>;
