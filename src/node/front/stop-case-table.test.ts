/**
 * The points in the life of a call at which a planned stop may begin, with the allowed outcomes. Both listeners use this table.
 * The allowed outcomes follow only from these requirements:
 * - Each call that the VM has read completely receives exactly one complete answer or one complete refusal.
 * - A refusal that states "not run" is true and stays true.
 * - A connection ends without an answer only if no call on it was read completely.
 * - After an answer with `connection: close`, the caller expects no further answer.
 */
import {callStopCases} from './stop-call-cases.test.ts';
import {connectionStopCases} from './stop-connection-cases.test.ts';
import {type StopCase} from './stop-case.test.ts';

export {unansweredStopCases as lastMoments} from './stop-connection-cases.test.ts';

/** Stop cases that apply to both listeners. */
export const stopCases: readonly StopCase[] = [...callStopCases, ...connectionStopCases];
