/** Compares what callers were told with what backend servers ran. */
import {type CallerReport} from '../stand-ins/caller/types.ts';
import {type CallRecord} from '../stand-ins/backend-server/types.ts';

/** The verdict over all calls. */
export type Verdict = {
	readonly calls: number;
	/** Wrong bytes, "not run" for what ran, or a whole answer to what never ran. */
	readonly wrong: number;
	/** No final answer. */
	readonly lost: number;
	/** Non-idempotent calls that ran more than once. */
	readonly runTwice: number;
	/** What went wrong, for people. */
	readonly findings: readonly string[];
};

/** Every run of every call, by call. */
function countRuns(records: readonly CallRecord[]): Map<string, number> {
	const runs = new Map<string, number>();
	for (const record of records) {
		runs.set(record.callId, (runs.get(record.callId) ?? 0) + 1);
	}

	return runs;
}

/** Judges all callers' reports by all backend servers' records. */
export function checkCalls(reports: readonly CallerReport[], records: readonly CallRecord[]): Verdict {
	const runs = countRuns(records);
	const findings: string[] = [];
	let wrong = 0;
	let runTwice = 0;
	for (const {callId, outcome} of reports.flatMap(report => report.nonIdempotent)) {
		const count = runs.get(callId) ?? 0;
		if (count > 1) {
			runTwice++;
			findings.push(`${callId} ran ${count} times`);
		}

		if ((outcome === 'not-run' && count > 0) || (outcome === 'ran' && count === 0)) {
			wrong++;
			findings.push(`${callId} was said to be ${outcome} and ran ${count} times`);
		}
	}

	const sum = (pick: (report: CallerReport) => number): number => reports.reduce((total, report) => total + pick(report), 0);
	findings.push(...reports.flatMap(report => report.faults.filter(fault => fault.isWrong || fault.outcome === 'lost').map(fault => `${fault.callId}: ${fault.detail ?? ''}`)));
	return {
		calls: sum(report => report.calls),
		wrong: wrong + sum(report => report.wrong),
		lost: sum(report => report.lost + report.inFlight),
		runTwice,
		findings,
	};
}
