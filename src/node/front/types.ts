/** Types shared by the modules that carry calls between callers and backend servers. */
import {type IncomingHttpHeaders} from 'node:http';
import {type AttemptFailure} from '../../common/calls/types.ts';
import {type ExternalCallEvent} from '../../common/entry-vm/types.ts';
import {type OrganisationInForce} from '../../common/organisations/types.ts';
import {type EventSink} from '../decider-loop.ts';
import {type BackendAttempt} from './backend-attempt.ts';

/** Receives events for the call engine; the event loop passes them to the engine one at a time. */
export type CallEventSink = EventSink<ExternalCallEvent>;

/** What identifies a call besides its body, so that a repeated call is recognised on every VM. */
export type CallIdentity = {
	readonly caller: string;
	/** Host of the route; empty where the path names the service. */
	readonly host: string;
	readonly method: string;
	/** Path with the query. */
	readonly path: string;
};

/** Digest of a call and its caller, `CALL.CALLER`; `body` = the buffered start of its body. */
export type FingerprintFunction = (call: CallIdentity, body: Uint8Array) => string;

/** A call that was refused because it has no valid key. It contains neither the key nor its digest, so that neither can reach a log line. */
export type KeyRefusal = {
	/** Address of the caller. */
	readonly address: string;
	/** True if the call has one key, which belongs to no organisation; false if it has no key, another scheme or several headers. */
	readonly isKeySent: boolean;
	readonly traceId: string;
	/** The call's route or service; undefined if there is none. */
	readonly route: string | undefined;
};

/** A call that the key check admits: the organisation is undefined on public routes and where no key is required. */
export type KeyAdmission = {
	readonly isKeyChecked: boolean;
	readonly organisation: OrganisationInForce | undefined;
	/** Revision of the configuration against which the key was checked. */
	readonly revision: number;
};

/** Status and headers of a backend server's answer. */
export type AnswerHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** Callbacks from an attempt to its call. */
export type AttemptListener = {
	onSent(attempt: BackendAttempt): void;
	onHead(attempt: BackendAttempt, head: AnswerHead): void;
	/** Returns false if the caller's connection is backed up; the attempt then pauses reading. */
	onData(attempt: BackendAttempt, chunk: Uint8Array): boolean;
	onEnd(attempt: BackendAttempt): void;
	onFailure(attempt: BackendAttempt, failure: AttemptFailure): void;
};
