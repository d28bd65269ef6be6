/** What decided about a call, in the words of one log line. */
import {type AttemptRecord, type PlacingGrounds} from '../common/calls/types.ts';
import {type Milliseconds} from '../common/model/units.ts';

function whole(milliseconds: Milliseconds): string {
	return `${Math.round(milliseconds)} ms`;
}

function percent(chance: number): string {
	return `${Math.round(chance * 100)}%`;
}

/** One attempt as a reader of logs wants it: where, why, by which report and how old. */
export function describeAttempt({backendServer, purpose, atMilliseconds, load, slots, workTimeFactor, reportAgeMilliseconds, grounds}: AttemptRecord): string {
	const age = reportAgeMilliseconds === undefined ? 'no report' : `report ${whole(reportAgeMilliseconds)} old`;
	const choice = grounds === undefined ? '' : `, ${grounds.choice} of ${grounds.weighed}, in time ${percent(grounds.inTime)}`;
	return `${purpose} at ${whole(atMilliseconds)} to ${backendServer}: ${load}/${slots} calls, work time ${workTimeFactor ?? '?'}, ${age}${choice}`;
}

/** What the latest look for a place saw and asked for; says so where none was looked for. */
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
		`work ${whole(workMilliseconds)}${isWorkLearnt ? '' : ' assumed'}, ${whole(objectiveLeftMilliseconds)} left to the objective and ${whole(timeLeftMilliseconds)} in all`,
		`best chance in time ${percent(inTime)} of ${percent(inTimeNeeded)} needed, at all ${percent(atAll)}`,
	].join('; ');
}
