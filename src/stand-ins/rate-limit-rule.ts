/** The calls that a backend server with an announced rate limit tolerates, by which tests and soaks judge. */
import {type Milliseconds} from '../common/model/units.ts';

/** Span in which calls are counted. */
export const countedMilliseconds: Milliseconds = 4000;

const tolerance = 1.5;
const allowance = 5;

/** Returns how many calls a backend server tolerates within any `countedMilliseconds`: a multiple of its limit, and some more. */
export function toleratedCalls(callsPerSecond: number): number {
	return (tolerance * callsPerSecond * countedMilliseconds / 1000) + allowance;
}
