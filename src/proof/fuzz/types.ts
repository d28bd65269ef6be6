/** Types of the fuzzed calls, and the interfaces between a fuzzed VM, its attempts and its environment. */
import {type CallEvent, type CallId, type LoadUpdate} from '../../common/calls/types.ts';
import {type HistoryEvent, type ReportedOutcome} from '../oracle/types.ts';
import {type FakeBackendServer} from './fake-backend-server.ts';
import {type Timeline} from './timeline.ts';

/** A call as its caller sends it. */
export type FuzzedCall = {
	readonly name: string;
	readonly service: string;
	readonly method: string;
	readonly fingerprint: string;
	readonly key: string | undefined;
	readonly isIdempotent: boolean;
	/** The backend server that runs the call crashes. */
	readonly crashesBackendServer: boolean;
	readonly timeoutMilliseconds: number;
	readonly workMilliseconds: number;
	readonly bodyMilliseconds: number;
};

/** Services that the simulated world provides to a VM. */
export type CallEnvironment = {
	readonly timeline: Timeline;
	record(event: HistoryEvent): void;
	random(): number;
	backendServerAt(port: number): FakeBackendServer;
	/** False if messages from one party to the other are lost. */
	canPass(from: string, to: string): boolean;
	claimKey(vm: VmHost, key: string, answer: (claim: 'granted' | 'taken' | 'unavailable') => void): void;
	releaseKey(vm: VmHost, key: string): void;
	sendToPeers(vm: VmHost, update: LoadUpdate): void;
	reportLeavingSign(vm: VmHost, identity: string, instance: string): void;
};

/** A call that has not ended, with the body received by its caller so far and the reported outcome. */
export type OpenCall = {readonly call: FuzzedCall; received: string; outcome: ReportedOutcome | undefined};

/** Interface of a VM to its attempts. */
export type VmHost = {
	readonly name: string;
	readonly now: number;
	readonly isPaused: boolean;
	feed(event: CallEvent): void;
	/** Runs the task now, or after the pause if the VM is paused. */
	runOrDefer(task: () => void): void;
	after(milliseconds: number, task: () => void): void;
	openCall(callId: CallId): OpenCall | undefined;
	endCall(callId: CallId, end: (open: OpenCall) => HistoryEvent): void;
};
