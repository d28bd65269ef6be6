/**
 * The moments of a call's life at which a planned stop may begin, and what may come of the call. The same table serves both
 * listeners. What may come of it follows from the aim alone: each call that the VM has read whole has exactly one whole answer or
 * one whole refusal; a refusal that says "not run" is true, also later; a connection ends without an answer only if no call on
 * it was read whole; and after an answer that says `connection: close` its caller waits for no other.
 */
import {callStopCases} from './stop-call-moments.test.ts';
import {connectionStopCases} from './stop-connection-moments.test.ts';
import {type StopCase} from './stop-scene.test.ts';

export {unansweredStopCases as lastMoments} from './stop-connection-moments.test.ts';

/** Moments at each listener. */
export const moments: readonly StopCase[] = [...callStopCases, ...connectionStopCases];
