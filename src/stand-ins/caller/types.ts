/** What a caller sends, gets and counts. */
import {z} from 'zod';

/** Answer to "which addresses": one VM with its share of the caller's calls. */
export const addressAnswerSchema = z.object({
	vms: z.array(z.object({address: z.string(), port: z.int(), weight: z.number().min(0)})),
	keepForMilliseconds: z.number().min(0),
});
export type AddressAnswer = z.infer<typeof addressAnswerSchema>;
export type VmAddress = AddressAnswer['vms'][number];

/** A call to be made. */
export type OutgoingCall = {
	/** Names the call for the oracle. */
	readonly callId: string;
	readonly service: string;
	readonly method: 'GET' | 'POST' | 'PUT';
	/** Path on the backend server, from `/`. */
	readonly path: string;
	readonly body: Uint8Array | undefined;
	/** Bytes of the answer's body. */
	readonly answerBytes: number;
	/** Work at the backend server; undefined = as it is set. */
	readonly workMilliseconds: number | undefined;
	readonly timeoutMilliseconds: number;
	readonly headers?: Readonly<Record<string, string>>;
};

/** What became of a call, as its caller sees it. */
export const callResultSchema = z.object({
	callId: z.string(),
	method: z.string(),
	/** `lost`: no final answer came, and it may not be sent again. */
	outcome: z.enum(['ran', 'not-run', 'unknown', 'lost']),
	/** Status of the last answer; undefined = none came. */
	status: z.int().optional(),
	/** A whole answer came, and every byte of it is right. */
	isRight: z.boolean(),
	/** An answer that looked whole had wrong bytes. */
	isWrong: z.boolean(),
	tries: z.int(),
	/** Why the last try failed, for people. */
	detail: z.string().optional(),
});
export type CallResult = z.infer<typeof callResultSchema>;

/** Counts and latencies of one service at one caller. */
export const callerReportSchema = z.object({
	service: z.string(),
	calls: z.int(),
	/** Whole and right answers. */
	right: z.int(),
	/** Not run, with a final answer that says so. */
	refused: z.int(),
	unknown: z.int(),
	lost: z.int(),
	wrong: z.int(),
	inFlight: z.int(),
	/** Latencies of right answers in milliseconds, from the moment at which the call was due. */
	p50: z.number(),
	p99: z.number(),
	p999: z.number(),
	/** Every non-idempotent call with its outcome, for the oracle; and what went wrong with others. */
	nonIdempotent: z.array(callResultSchema.pick({callId: true, outcome: true})),
	faults: z.array(callResultSchema),
});
export type CallerReport = z.infer<typeof callerReportSchema>;
