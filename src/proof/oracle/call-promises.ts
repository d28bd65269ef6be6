/** The promises about single calls: the whole answer, not run, at most once, and no cut at planned stops. */
import {type CallRecord, type HistoryIndex} from './history-index.ts';
import {type OracleLimits, type Violation} from './types.ts';

/** Every caller gets the whole answer to its own request, or can tell that it got none; and gets an end in time. */
export function checkWholeAnswers(index: HistoryIndex, limits: OracleLimits): Violation[] {
	return [...index.calls.values()].flatMap(record => [
		...checkBodies(record, index),
		...checkSingleEnd(record),
		...checkTimelyEnd(record, index, limits),
	]);
}

function checkBodies(record: CallRecord, index: HistoryIndex): Violation[] {
	const violations: Violation[] = [];
	for (const end of record.ends) {
		if (end.type !== 'answer-whole' || end.isRefusal || record.answers.some(({body}) => body === end.body)) {
			continue;
		}

		violations.push({promise: 'whole-answer', at: end.at, message: `${record.call} got ${describeWrongBody(record, end.body, index)}`});
	}

	return violations;
}

function describeWrongBody(record: CallRecord, body: string, index: HistoryIndex): string {
	if (record.answers.some(made => made.body.startsWith(body))) {
		return `a fragment of ${body.length} characters with a clean end`;
	}

	const owner = [...index.calls.values()].find(({answers}) => answers.some(made => made.body === body));
	return owner === undefined ? 'a body that no run of it made' : `the answer to ${owner.call}`;
}

function checkSingleEnd(record: CallRecord): Violation[] {
	const answers = record.ends.filter(({type}) => type !== 'caller-gone');
	return answers.length > 1
		? [{promise: 'whole-answer', at: answers[1]!.at, message: `${record.call} was answered ${answers.length} times`}]
		: [];
}

function checkTimelyEnd(record: CallRecord, index: HistoryIndex, limits: OracleLimits): Violation[] {
	const {sent} = record;
	if (sent === undefined) {
		return [];
	}

	const latest = sent.due + limits.answerSlackMilliseconds;
	const isLate = latest < index.end && !record.ends.some(({at}) => at <= latest);
	return isLate && !index.wasDisturbed([sent.vm], sent.at, latest)
		? [{promise: 'whole-answer', at: latest, message: `${record.call} has no end ${limits.answerSlackMilliseconds} ms after it was due`}]
		: [];
}

/** Told "not run" means that no backend server ran it, before or after. */
export function checkNotRun(index: HistoryIndex): Violation[] {
	return [...index.calls.values()].flatMap(({call, ends, runs}) => {
		const told = ends.find(end => end.type === 'answer-whole' && end.outcome === 'not-run');
		return told !== undefined && runs.length > 0
			? [{promise: 'not-run' as const, at: told.at, message: `${call} was told not run, and ${runs[0]!.backendServer} ran it at ${runs[0]!.at}`}]
			: [];
	});
}

/** A non-idempotent call runs at most once; so do all calls together that share a claimed key. */
export function checkAtMostOnce(index: HistoryIndex): Violation[] {
	const runsOf = new Map<string, Array<CallRecord['runs'][number]>>();
	for (const {call, sent, runs} of index.calls.values()) {
		const subject = sent?.key ?? call;
		if (sent !== undefined && (sent.key !== undefined || !sent.isIdempotent)) {
			runsOf.set(subject, [...(runsOf.get(subject) ?? []), ...runs]);
		}
	}

	return [...runsOf].filter(([, runs]) => runs.length > 1).map(([subject, runs]) => ({
		promise: 'at-most-once',
		at: runs[1]!.at,
		message: `${subject} ran ${runs.length} times: ${runs.map(({backendServer, at}) => `${backendServer} at ${at}`).join(', ')}`,
	}));
}

/**
 * A call in flight when a planned stop of its VM or backend server begins ends with its whole answer.
 * Not judged: a caller that left, a call past its deadline, a party that also met an unplanned fault.
 */
export function checkGracefulStops(index: HistoryIndex): Violation[] {
	const stops = index.ofType('planned-stop-began');
	return [...index.calls.values()].flatMap(record => {
		const {sent, runs, ends} = record;
		const end = ends[0];
		if (sent === undefined || end === undefined || end.type === 'caller-gone' || end.at >= sent.due) {
			return [];
		}

		const parties = [sent.vm, ...runs.map(({backendServer}) => backendServer)];
		const stop = stops.find(({party, at}) => parties.includes(party) && at >= startAt(record, party) && at <= end.at);
		const isCut = end.type === 'answer-broken' || (end.isRefusal && runs.length > 0);
		return stop !== undefined && isCut && !index.wasDisturbed(parties, sent.at, end.at)
			? [{promise: 'graceful-stop' as const, at: end.at, message: `${record.call} was cut off by the planned stop of ${stop.party}`}]
			: [];
	});
}

/** When the party began to work on the call: its VM when it was sent, a backend server with the run. */
function startAt({sent, runs}: CallRecord, party: string): number {
	return runs.find(({backendServer}) => backendServer === party)?.at ?? sent!.at;
}
