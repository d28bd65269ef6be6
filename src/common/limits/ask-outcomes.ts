/** Counts what the holders of the limit slots answered for one call, for metrics. */
import {type LimitRecord} from './types.ts';

type AskOutcome = 'granted' | 'refused' | 'unanswered';

/** Outcomes that occurred and their counts; none for a call that needed no token. */
export function askOutcomes(record: LimitRecord | undefined): ReadonlyArray<readonly [AskOutcome, number]> {
	if (record === undefined) {
		return [];
	}

	const counts: Array<readonly [AskOutcome, number]> = [
		['granted', record.slot === undefined ? 0 : 1],
		['refused', record.refusedBy.length],
		['unanswered', record.unansweredBy.length],
	];
	return counts.filter(([, count]) => count > 0);
}
