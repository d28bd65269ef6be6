/** What VMs tell each other of backend servers. */
import {type Milliseconds} from '../model/units.ts';
import {type BackendServerIdentity, type LoadReport} from './types.ts';

/** What a process of a backend server has last announced of its rate limit, as one VM tells others. */
export type RateLimitAdvertisement = {
	/** Identity of the process. */
	readonly process: string;
	/** Calls per second that it accepts from all VMs together; undefined = it no longer announces a limit. */
	readonly callsPerSecond?: number | undefined;
	/** Higher for a later advertisement on the same process, whichever VM made it. */
	readonly sequence: number;
};

/** Information on one backend server that a VM sends to its peers. */
export type LoadUpdate = {
	readonly identity: BackendServerIdentity;
	readonly report: LoadReport | undefined;
	/** Age of the report when the update was sent. */
	readonly ageMilliseconds: Milliseconds;
	/** Fingerprints of the calls that were in flight when the backend server crashed; empty without a crash. */
	readonly suspects: readonly string[];
	/** Identity of the crash that the suspects belong to, so that a crash reported twice counts once. */
	readonly crash: string | undefined;
	/** True if the process has certainly ended. Absent in updates of earlier builds, which also report single resets. */
	readonly isCrashCertain?: boolean;
	/** Fingerprints of suspects that are not at fault: they were answered, or an operator has lifted their quarantine. */
	readonly cleared?: readonly string[];
	/** Rate limit of the backend server. */
	readonly rateLimit?: RateLimitAdvertisement;
};
