/** Counts and state of a call engine for status pages. */
import {type Milliseconds} from '../model/units.ts';
import {type BackendServerIdentity} from './types.ts';

/** Counts of calls that have not ended. */
export type CallLoad = {
	readonly callsInFlight: number;
	readonly callsQueued: number;
	/** Calls in flight by service name; services without any are left out. */
	readonly inFlightOfServices: ReadonlyMap<string, number>;
};

/** State of the engine for a status page. */
export type CallEngineStatus = {
	readonly configurationVersion: number;
	readonly callsInFlight: number;
	readonly callsQueued: number;
	readonly backendServers: readonly BackendServerStatus[];
	readonly quarantined: ReadonlyArray<{readonly fingerprint: string; readonly crashes: number; readonly remainingMilliseconds: Milliseconds}>;
};

/** State of one backend server for a status page. */
export type BackendServerStatus = {
	readonly identity: BackendServerIdentity;
	readonly name: string;
	readonly service: string;
	readonly state: 'warming' | 'active' | 'ejected' | 'leaving';
	readonly inFlight: number;
	readonly reportedInFlight: number | undefined;
	readonly reportAgeMilliseconds: Milliseconds | undefined;
	/** Load probes that this VM sent in the current window, and the number that it may send per window. */
	readonly measuringSpent: number;
	readonly measuringAllowed: number;
};
