/** Formats the decisions on a call for the fields `trail` and `grounds` of its log line. */
import {type AttemptRecord, type PlacingGrounds} from '../common/calls/types.ts';
import {type LimitRecord} from '../common/limits/types.ts';
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

function formatSlots(text: string, slots: readonly number[]): string[] {
	return slots.length === 0 ? [] : [`${text} ${slots.join(', ')}`];
}

/** Formats how a call got the token of its organisation's rate limit: its wait, the slot that granted it, and the slots that did not. */
export function describeLimit({waitedMilliseconds, slot, refusedBy, unansweredBy}: LimitRecord): string {
	return [
		slot === undefined ? 'no token' : `token of slot ${slot}`,
		`waited ${formatTime(waitedMilliseconds)}`,
		...formatSlots('refused by slots', refusedBy),
		...formatSlots('no answer from slots', unansweredBy),
	].join(', ');
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
