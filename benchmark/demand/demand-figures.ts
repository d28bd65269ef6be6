/** Figures of a run, computed from the outcomes of the callers' calls. */
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {type DemandKind} from './scenarios.ts';

/** Length of the windows of which the worst tenth is scored separately. */
const windowMilliseconds: Milliseconds = 1000;

/** State and outcome of one caller's call, including its retry. */
export type CallerRequest = {
	readonly kind: DemandKind;
	readonly vm: number;
	readonly work: Milliseconds;
	readonly sentAt: Instant;
	retries: number;
	refusals: number;
	answeredAt: Instant | undefined;
};

/** Figures of a run: fractions from 0 to 1, except the last five. */
export type DemandFigures = {
	/** Users' score: weighted sum of `earned`, `worstWindows` and `served`. */
	readonly worth: number;
	readonly earned: number;
	readonly worstWindows: number;
	readonly served: number;
	readonly late: number;
	readonly refused: number;
	readonly refusedAgain: number;
	readonly attemptsACall: number;
	readonly measuringsACall: number;
	/** Milliseconds. */
	readonly p99: number;
	/** New connections to backend servers for each call in the second half of the run; at the start each VM opens its first ones. */
	readonly connectionsACall: number;
	/** Calls of the backend server with the most, as a multiple of the mean of its service and data centre; the highest of all. */
	readonly maxLoadRatio: number;
};

export function worstWindows(requests: readonly CallerRequest[]): number {
	const windows = new Map<number, CallerRequest[]>();
	for (const request of requests) {
		const index = Math.floor(request.sentAt / windowMilliseconds);
		windows.set(index, [...windows.get(index) ?? [], request]);
	}

	const windowFractions = Array.from(windows.values(), ofWindow => earnedFraction(ofWindow)).toSorted((a, b) => a - b);
	const worst = windowFractions.slice(0, Math.max(1, Math.round(windowFractions.length / 10)));
	return worst.reduce((sum, one) => sum + one, 0) / worst.length;
}

/** Whether the call was answered within its objective. */
export function isInTime(request: CallerRequest): boolean {
	return request.answeredAt !== undefined && request.answeredAt - request.sentAt <= request.kind.rule.objectiveMilliseconds;
}

/** Value of the answers as a fraction of the value if all were in time. */
export function earnedFraction(requests: readonly CallerRequest[]): number {
	let earned = 0;
	let attainable = 0;
	for (const request of requests) {
		attainable += request.kind.value;
		if (request.answeredAt !== undefined) {
			earned += isInTime(request) ? request.kind.value : request.kind.lateValue;
		}
	}

	return earned / attainable;
}
