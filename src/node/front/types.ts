/** What the parts of the data path say to one another. */
import {type IncomingHttpHeaders} from 'node:http';
import {type AttemptFailure} from '../../common/calls/types.ts';
import {type OuterCallEvent} from '../../common/entry-vm/types.ts';
import {type EventSink} from '../decider-loop.ts';
import {type BackendAttempt} from './backend-attempt.ts';

/** Takes events for the call engine; the loop hands them over one at a time. */
export type CallEventSink = EventSink<OuterCallEvent>;

/** Head of a backend server's answer. */
export type AnswerHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** What an attempt reports to its call. */
export type AttemptListener = {
	onSent(attempt: BackendAttempt): void;
	onHead(attempt: BackendAttempt, head: AnswerHead): void;
	/** Answers false when the caller takes no more for now; the attempt then pauses. */
	onData(attempt: BackendAttempt, chunk: Uint8Array): boolean;
	onEnd(attempt: BackendAttempt): void;
	onFailure(attempt: BackendAttempt, failure: AttemptFailure): void;
};
