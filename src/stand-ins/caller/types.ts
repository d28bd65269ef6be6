/** What a caller sends, gets and counts. */
import {z} from 'zod';
import {type CallOutcome} from '../../common/calls/types.ts';

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
export type CallResult = {
	readonly callId: string;
	readonly method: string;
	/** `lost`: no final answer came, and it may not be sent again. */
	readonly outcome: CallOutcome | 'lost';
	/** Status of the last answer; undefined = none came. */
	readonly status: number | undefined;
	/** A whole answer came, and every byte of it is right. */
	readonly isRight: boolean;
	/** An answer that looked whole had wrong bytes. */
	readonly isWrong: boolean;
	readonly tries: number;
	/** Why the last try failed, for people. */
	readonly detail: string | undefined;
};

/** Counts and latencies of one service at one caller. */
export type CallerReport = {
	readonly service: string;
	readonly calls: number;
	/** Whole and right answers. */
	readonly right: number;
	/** Not run, with a final answer that says so. */
	readonly refused: number;
	readonly unknown: number;
	readonly lost: number;
	readonly wrong: number;
	readonly inFlight: number;
	/** Latencies of right answers in milliseconds, from the moment at which the call was due. */
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	/** Every non-idempotent call with its outcome, for the oracle; and what went wrong with others. */
	readonly nonIdempotent: ReadonlyArray<Pick<CallResult, 'callId' | 'outcome'>>;
	readonly faults: readonly CallResult[];
};
