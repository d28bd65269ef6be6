/** What is told of a call that has ended: its outcome, its attempts, and what each choice of a place went by. */
import {type Milliseconds} from '../model/units.ts';
import {type BackendServerIdentity, type CallOutcome, type RefusalReason} from './types.ts';

/** Why an attempt went where it went: what was known when it was placed. */
export type AttemptRecord = {
	readonly backendServer: BackendServerIdentity;
	readonly purpose: string;
	/** Milliseconds since the call arrived. */
	readonly atMilliseconds: Milliseconds;
	/** Calls believed to be there, of its slots. */
	readonly load: number;
	readonly slots: number;
	/** Work time against the usual, as reported; undefined = never reported. */
	readonly workTimeFactor: number | undefined;
	/** Age of that report; undefined = there was none. */
	readonly reportAgeMilliseconds: Milliseconds | undefined;
	/** What the choice went by. */
	readonly grounds: PlacingGrounds | undefined;
};

/** How a place was chosen: a free slot in time, a queue in time, a slow backend server, a half empty one, or none at all. */
export type PlacingChoice = 'free' | 'queued' | 'slow' | 'idle' | 'none';

/** What the latest look for a place saw, and by which limits it judged. Chances are parts of 1. */
export type PlacingGrounds = {
	readonly choice: PlacingChoice;
	/** Backend servers of the service that are known here. */
	readonly known: number;
	/** Those of them that stand in a data centre that is evacuated. */
	readonly evacuated: number;
	/** Those of them that warm up and get no further call of this VM now. */
	readonly warmingUp: number;
	/** Those of them that name a rate limit of which this VM's share is spent now. */
	readonly rateLimited: number;
	/** Those of them that may take the call: not leaving, with room, and not one that has failed it. */
	readonly able: number;
	/** Those of them that were weighed: with a young report where there are any. */
	readonly weighed: number;
	/** Those of them with a free slot. */
	readonly withFreeSlot: number;
	/** Best chance of an answer within the objective, and the chance that was asked for. */
	readonly inTime: number;
	readonly inTimeNeeded: number;
	/** Best chance of an answer before the deadline. */
	readonly atAll: number;
	/** Time that the work of the call takes where nothing slows it down; `isWorkLearnt` false = assumed. */
	readonly workMilliseconds: Milliseconds;
	readonly isWorkLearnt: boolean;
	/** Time left for an answer within the objective, and before the deadline. */
	readonly objectiveLeftMilliseconds: Milliseconds;
	readonly timeLeftMilliseconds: Milliseconds;
};

/** What a call came to. */
export type CallSummary = {
	/** Its attempts in order, where measuring is on demand. */
	readonly trail?: readonly AttemptRecord[];
	/** What the latest look for a place saw; undefined = none was looked for, or measuring is by the clock. */
	readonly grounds?: PlacingGrounds;
	readonly service: string;
	readonly outcome: CallOutcome;
	readonly reason: RefusalReason | undefined;
	readonly attempts: number;
	readonly milliseconds: Milliseconds;
	readonly queuedMilliseconds: Milliseconds;
	/** Within the service's objective: whole answer, no server error, in time. */
	readonly isGood: boolean;
};
