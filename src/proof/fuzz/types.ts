/** What a fuzzed VM is told of calls, and what it needs of the world round it. */
import {type CallEvent, type CallId, type LoadUpdate} from '../../common/calls/types.ts';
import {type HistoryEvent, type ToldOutcome} from '../oracle/types.ts';
import {type FakeBackendServer} from './fake-backend-server.ts';
import {type Timeline} from './timeline.ts';

/** A call as its caller made it. */
export type FuzzedCall = {
	readonly name: string;
	readonly service: string;
	readonly method: string;
	readonly fingerprint: string;
	readonly key: string | undefined;
	readonly isIdempotent: boolean;
	readonly isKiller: boolean;
	readonly timeoutMilliseconds: number;
	readonly workMilliseconds: number;
	readonly bodyMilliseconds: number;
};

/** What a VM needs of the world round it. */
export type CallSurroundings = {
	readonly timeline: Timeline;
	record(event: HistoryEvent): void;
	chance(): number;
	backendServerAt(port: number): FakeBackendServer;
	/** False if what goes from one party to the other is lost. */
	canPass(from: string, to: string): boolean;
	claimKey(vm: VmHost, key: string, answer: (claim: 'granted' | 'taken' | 'unavailable') => void): void;
	releaseKey(vm: VmHost, key: string): void;
	tellPeers(vm: VmHost, update: LoadUpdate): void;
	sawLeaving(vm: VmHost, identity: string, instance: string): void;
};

/** A call that has no answer yet, and what its caller has got so far. */
export type OpenCall = {readonly call: FuzzedCall; received: string; outcome: ToldOutcome | undefined};

/** A VM as its attempts see it. */
export type VmHost = {
	readonly name: string;
	readonly now: number;
	readonly isPaused: boolean;
	feed(event: CallEvent): void;
	/** Runs the task now, or when the VM goes on. */
	whenRunning(task: () => void): void;
	after(milliseconds: number, task: () => void): void;
	openCall(callId: CallId): OpenCall | undefined;
	endCall(callId: CallId, end: (open: OpenCall) => HistoryEvent): void;
};
