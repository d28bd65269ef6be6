/** Rules for how long a call waits for a backend server, and which kinds of placement it accepts meanwhile. */
import {type Instant} from '../../model/units.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {type Call, objectiveOf, workEstimate} from '../call.ts';
import {type PlacingChoice} from '../types.ts';

/**
 * Fraction of its objective that a call waits for a backend server that is likely to answer in time. A refusal after a
 * longer wait would leave its caller no time to retry within the objective.
 */
const maxWaitFraction = 0.25;

/**
 * Probability of an answer in time below which a call that can still wait does so: the next check is as likely to find a
 * better backend server.
 */
export const minOnTimeProbability = 0.77;

/** Required probability once the call has waited as long as allowed: the alternative is a refusal. */
export const minOnTimeProbabilityAfterWait = 0.72;

/**
 * Required probability where no backend server has a fresh report, so that waiting for a better one would have no effect.
 */
export const minOnTimeProbabilityWithoutReports = 0.5;

/**
 * Kinds of placement for a call that can still wait, and for one that has waited as long as allowed, in order of
 * preference.
 */
const waitingChoices = ['free'] as const;
/**
 * While a service is short of capacity, calls of preferred priorities and callers may be queued at once. A free slot would
 * often be taken by a less urgent call of another VM first.
 */
const urgentChoices = ['free', 'queued'] as const;
const finalChoices = ['free', 'queued', 'slow', 'idle'] as const;

/** The kinds of placement that are acceptable for an attempt, in order of preference. */
export function acceptableChoices({sharing}: Call, canWait: boolean, isFirst: boolean): ReadonlyArray<Exclude<PlacingChoice, 'none'>> {
	if (!canWait) {
		return finalChoices;
	}

	return isFirst && sharing?.isPreferred === true ? urgentChoices : waitingChoices;
}

/** Keeps the backend server with the highest utility of those offered. */
export class BestServer {
	server: BackendServerState | undefined;
	private _utility = -Infinity;

	offer(server: BackendServerState, utility: number): void {
		if (utility > this._utility) {
			this._utility = utility;
			this.server = server;
		}
	}
}

/** Whether the call has waited as long as allowed for a backend server that answers within its objective. */
export function isWaitOver(call: Call, now: Instant): boolean {
	return now >= Math.min(call.arrivedAt + (maxWaitFraction * objectiveOf(call)), call.objectiveAt - workEstimate(call));
}
