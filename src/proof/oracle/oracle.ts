/** The test oracle: checks a recorded history against the seven guarantees. Favours readable checks over speed. */
import {
	checkAtMostOnce, checkGracefulStops, checkNotRun, checkWholeAnswers,
} from './call-guarantees.ts';
import {checkConfiguration, checkLeaving, checkMeasuringBudget} from './fleet-guarantees.ts';
import {HistoryIndex} from './history-index.ts';
import {
	type HistoryEvent, type OracleLimits, type Violation, defaultLimits,
} from './types.ts';

/** All violations in a history, in order of time. The events may be in any order. */
export function findViolations(events: readonly HistoryEvent[], limits: OracleLimits = defaultLimits): readonly Violation[] {
	const index = new HistoryIndex(events.toSorted((left, right) => left.at - right.at));
	return [
		...checkMeasuringBudget(index),
		...checkWholeAnswers(index, limits),
		...checkNotRun(index),
		...checkAtMostOnce(index),
		...checkLeaving(index, limits),
		...checkGracefulStops(index),
		...checkConfiguration(index, limits),
	].toSorted((left, right) => left.at - right.at);
}
