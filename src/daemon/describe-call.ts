/** Formats the decisions on a call for the fields `trail` and `grounds` of its log line. */
import {type SharingDecision} from '../common/calls/admission/service-overload.ts';
import {type AttemptRecord, type PlacingGrounds} from '../common/calls/types.ts';
import {type Milliseconds} from '../common/model/units.ts';

function formatTime(milliseconds: Milliseconds): string {
	return `${Math.round(milliseconds)} ms`;
}

function formatPercent(chance: number): string {
	return `${Math.round(chance * 100)}%`;
}

/** Formats an attempt: its purpose, time, backend server and load, the age of the load report, and the placement choice. */
export function describeAttempt({backendServer, purpose, via, atMilliseconds, load, slots, workTimeFactor, reportAgeMilliseconds, grounds, failure}: AttemptRecord): string {
	const age = reportAgeMilliseconds === undefined ? 'no report' : `report ${formatTime(reportAgeMilliseconds)} old`;
	const choice = grounds === undefined ? '' : `, ${grounds.choice} of ${grounds.weighed}, in time ${formatPercent(grounds.inTime)}`;
	const way = via === undefined ? '' : `, by way of ${via}`;
	const ending = failure === undefined ? '' : `, ended by ${failure}`;
	return `${purpose} at ${formatTime(atMilliseconds)} to ${backendServer}: ${load}/${slots} calls, work time ${workTimeFactor ?? '?'}, ${age}${choice}${way}${ending}`;
}

/** Formats the share of a short capacity that the call had: its priority, the admitted fraction and whose figures decided. */
export function describeSharing({priority, admittedFraction, figures}: SharingDecision): string {
	return `service short of capacity: ${formatPercent(admittedFraction)} of such calls with priority ${priority} admitted, by ${figures === 'own' ? 'the figures of this VM' : 'merged figures of the fleet'}`;
}

/** Formats the latest search for a backend server: the candidates, the time left and the required probability. States if there was no search. */
export function describeGrounds(grounds: PlacingGrounds | undefined): string {
	if (grounds === undefined) {
		return 'no place was looked for';
	}

	const {known, evacuated, warmingUp, rateLimited, able, weighed, withFreeSlot} = grounds;
	const {inTime, inTimeNeeded, atAll, workMilliseconds, isWorkLearnt, objectiveLeftMilliseconds, timeLeftMilliseconds} = grounds;
	return [
		[
			`${known} backend servers known`,
			...(evacuated === 0 ? [] : [`${evacuated} in evacuated data centres`]),
			...(warmingUp === 0 ? [] : [`${warmingUp} warming up`]),
			...(rateLimited === 0 ? [] : [`${rateLimited} at their rate limit`]),
			`${able} able`,
			`${weighed} weighed`,
			`${withFreeSlot} with a free slot`,
		].join(', '),
		`work ${formatTime(workMilliseconds)}${isWorkLearnt ? '' : ' assumed'}, ${formatTime(objectiveLeftMilliseconds)} left to the objective and ${formatTime(timeLeftMilliseconds)} in all`,
		`best chance in time ${formatPercent(inTime)} of ${formatPercent(inTimeNeeded)} needed, at all ${formatPercent(atAll)}`,
	].join('; ');
}
