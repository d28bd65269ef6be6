/** Summary of an ended call: its outcome, its attempts, and the data behind each choice of a backend server. */
import {type Milliseconds} from '../model/units.ts';
import {type SharingDecision} from './admission/service-overload.ts';
import {
	type AttemptFailure, type BackendServerIdentity, type CallOutcome, type RefusalReason,
} from './types.ts';

/** One attempt of a call, with the data by which its backend server was chosen. */
export type AttemptRecord = {
	readonly backendServer: BackendServerIdentity;
	readonly purpose: string;
	/** VM through which the connection went; undefined = direct. */
	readonly via?: string | undefined;
	/** Start of the attempt, counted from the arrival of the call. */
	readonly atMilliseconds: Milliseconds;
	/** Estimated number of calls on the backend server, and its number of slots. */
	readonly load: number;
	readonly slots: number;
	/** Reported work time as a multiple of the usual one; undefined = never reported. */
	readonly workTimeFactor: number | undefined;
	/** Age of the latest load report; undefined = there was none. */
	readonly reportAgeMilliseconds: Milliseconds | undefined;
	/** Data behind the choice; undefined unless load probes are on demand. */
	readonly grounds: PlacingGrounds | undefined;
	/** Why the attempt ended without a complete answer; undefined if it did not fail. */
	failure?: AttemptFailure;
};

/** Kind of the chosen backend server: a free slot in time, a queue that is short enough, a slow one, a half empty one, or none. */
export type PlacingChoice = 'free' | 'queued' | 'slow' | 'idle' | 'none';

/** Data and limits of the latest choice of a backend server. Probabilities are between 0 and 1. */
export type PlacingGrounds = {
	readonly choice: PlacingChoice;
	/** Number of backend servers of the service that this VM has in its configuration. */
	readonly known: number;
	/** Number of those in an evacuated data centre. */
	readonly evacuated: number;
	/** Number of those that are warming up and may not get another call from this VM now. */
	readonly warmingUp: number;
	/** Number of those with a rate limit of which this VM has used up its share. */
	readonly rateLimited: number;
	/** Number of those that may take the call: not leaving, with free capacity, and without a failed attempt of this call. */
	readonly able: number;
	/** Number of those that were compared: only those with a recent report, if there are any. */
	readonly weighed: number;
	/** Number of those with a free slot. */
	readonly withFreeSlot: number;
	/** Highest probability of an answer within the objective, and the required probability. */
	readonly inTime: number;
	readonly inTimeNeeded: number;
	/** Highest probability of an answer before the deadline. */
	readonly atAll: number;
	/** Work time of the call on a backend server that is not slowed down; assumed if `isWorkLearnt` is false. */
	readonly workMilliseconds: Milliseconds;
	readonly isWorkLearnt: boolean;
	/** Remaining time until the objective and until the deadline. */
	readonly objectiveLeftMilliseconds: Milliseconds;
	readonly timeLeftMilliseconds: Milliseconds;
};

/** Result of a call. */
export type CallSummary = {
	/** Attempts in order; undefined unless load probes are on demand. */
	readonly trail?: readonly AttemptRecord[];
	/** Data behind the latest choice of a backend server; undefined if none was chosen or load probes are not on demand. */
	readonly grounds?: PlacingGrounds;
	/** Why the call is suspected of crashing backend servers; undefined unless it was refused for that. */
	readonly suspicion?: {readonly fingerprint: string; readonly crashes: number};
	/** Share of the service's capacity that such calls had; undefined if the service was not short when the call arrived. */
	readonly sharing?: SharingDecision;
	/** Priority of the call (0 = most urgent), and the organisation that its key identified. Undefined for a call that was refused before its service was known. */
	readonly priority?: number;
	readonly organisation?: string;
	readonly service: string;
	readonly outcome: CallOutcome;
	readonly reason: RefusalReason | undefined;
	readonly attempts: number;
	readonly milliseconds: Milliseconds;
	readonly queuedMilliseconds: Milliseconds;
	/** True for a complete answer without a server error within the call's latency objective. */
	readonly isGood: boolean;
};
