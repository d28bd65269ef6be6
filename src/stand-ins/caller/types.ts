/** Calls, address answers and reports of the stand-in caller. */
import {z} from 'zod';

/** Response to an address request: the VMs of a service, each with its weight in the caller's choice. */
export const addressAnswerSchema = z.object({
	vms: z.array(z.object({address: z.string(), port: z.int(), weight: z.number().min(0)})),
	keepForMilliseconds: z.number().min(0),
});
export type AddressAnswer = z.infer<typeof addressAnswerSchema>;
export type VmAddress = AddressAnswer['vms'][number];

/** A call to make. */
export type OutgoingCall = {
	/** Identifies the call for the oracle. */
	readonly callId: string;
	readonly service: string;
	readonly method: 'GET' | 'POST' | 'PUT';
	/** Path on the backend server, beginning with `/`. */
	readonly path: string;
	readonly body: Uint8Array | undefined;
	/** Length of the response body. */
	readonly answerBytes: number;
	/** Work at the backend server; undefined for its own setting. */
	readonly workMilliseconds: number | undefined;
	readonly timeoutMilliseconds: number;
	readonly headers?: Readonly<Record<string, string>>;
};

/** Result of a call at its caller. */
export const callResultSchema = z.object({
	callId: z.string(),
	method: z.string(),
	/** `lost`: no complete response arrived, so it is unknown whether the call ran. */
	outcome: z.enum(['ran', 'not-run', 'unknown', 'lost']),
	/** Status of the last response; absent if the last try got none. */
	status: z.int().optional(),
	/** A complete response with status 200 arrived, and every byte of it is correct. */
	isRight: z.boolean(),
	/** A response with status 200 looked complete, but had wrong bytes or a wrong length. */
	isWrong: z.boolean(),
	tries: z.int(),
	/** Why the last try failed, as text. */
	detail: z.string().optional(),
});
export type CallResult = z.infer<typeof callResultSchema>;

/** Counts and latencies of one caller's calls to one service. */
export const callerReportSchema = z.object({
	service: z.string(),
	calls: z.int(),
	/** Calls with a complete and correct response. */
	right: z.int(),
	/** Calls that are known not to have run. */
	refused: z.int(),
	unknown: z.int(),
	lost: z.int(),
	wrong: z.int(),
	inFlight: z.int(),
	/** Latency percentiles of calls with a correct response, in milliseconds from the time at which the call was due. */
	p50: z.number(),
	p99: z.number(),
	p999: z.number(),
	/** Outcomes of all non-idempotent calls, for the oracle. */
	nonIdempotent: z.array(callResultSchema.pick({callId: true, outcome: true})),
	/** The first calls without a correct response. */
	faults: z.array(callResultSchema),
});
export type CallerReport = z.infer<typeof callerReportSchema>;
