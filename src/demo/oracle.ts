/** Compares the outcomes that callers received with the calls that backend servers ran. */
import {type CallerReport} from '../stand-ins/caller/types.ts';
import {type CallRecord} from '../stand-ins/backend-server/types.ts';

/** Result of the check of all calls. */
export type Verdict = {
	readonly calls: number;
	/** Calls with wrong bytes, calls reported as not run that ran, and calls reported as run that never ran. */
	readonly wrong: number;
	/** Calls without a final answer, also those still in flight. */
	readonly lost: number;
	/** Non-idempotent calls that ran more than once. */
	readonly runTwice: number;
	/** Descriptions of the faults. */
	readonly findings: readonly string[];
};

/** Counts the runs of each call by its id. */
function countRuns(records: readonly CallRecord[]): Map<string, number> {
	const runs = new Map<string, number>();
	for (const record of records) {
		runs.set(record.callId, (runs.get(record.callId) ?? 0) + 1);
	}

	return runs;
}

/** Checks the reports of all callers against the records of all backend servers. */
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
			findings.push(`${callId} was reported as ${outcome} but ran ${count} times`);
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
