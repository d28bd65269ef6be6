/** The oracle: judges a history by the seven promises. Written to be read, not to be fast. */
import {
	checkAtMostOnce, checkGracefulStops, checkNotRun, checkWholeAnswers,
} from './call-promises.ts';
import {checkConfiguration, checkLeaving, checkMeasuringBudget} from './fleet-promises.ts';
import {HistoryIndex} from './history-index.ts';
import {
	type HistoryEvent, type OracleLimits, type Violation, usualLimits,
} from './types.ts';

/** All broken promises of a history, the earliest first. Events may come in any order. */
export function judge(events: readonly HistoryEvent[], limits: OracleLimits = usualLimits): readonly Violation[] {
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
