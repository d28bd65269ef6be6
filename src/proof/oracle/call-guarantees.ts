/** Checks of the guarantees for single calls: whole answers, not run, at most once, and graceful stops. */
import {type CallRecord, type HistoryIndex} from './history-index.ts';
import {type OracleLimits, type Violation} from './types.ts';

/** Every caller receives the complete answer to its own call or detects that it did not, exactly once and in time. */
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

		violations.push({guarantee: 'whole-answer', at: end.at, message: `${record.call} got ${describeWrongBody(record, end.body, index)}`});
	}

	return violations;
}

function describeWrongBody(record: CallRecord, body: string, index: HistoryIndex): string {
	if (record.answers.some(made => made.body.startsWith(body))) {
		return `the first ${body.length} characters of its answer, ended as if complete`;
	}

	const owner = [...index.calls.values()].find(({answers}) => answers.some(made => made.body === body));
	return owner === undefined ? 'a body that none of its runs made' : `the answer to ${owner.call}`;
}

function checkSingleEnd(record: CallRecord): Violation[] {
	const answers = record.ends.filter(({type}) => type !== 'caller-gone');
	return answers.length > 1
		? [{guarantee: 'whole-answer', at: answers[1]!.at, message: `${record.call} was answered ${answers.length} times`}]
		: [];
}

function checkTimelyEnd(record: CallRecord, index: HistoryIndex, limits: OracleLimits): Violation[] {
	const {sent} = record;
	if (sent === undefined) {
		return [];
	}

	const latest = sent.dueAt + limits.answerSlackMilliseconds;
	const isLate = latest < index.end && !record.ends.some(({at}) => at <= latest);
	return isLate && !index.wasDisturbed([sent.vm], sent.at, latest)
		? [{guarantee: 'whole-answer', at: latest, message: `${record.call} has not ended ${limits.answerSlackMilliseconds} ms after its latest end`}]
		: [];
}

/** If the answer to a call reports "not run", no backend server has run the call before, and none runs it later. */
export function checkNotRun(index: HistoryIndex): Violation[] {
	return [...index.calls.values()].flatMap(({call, ends, runs}) => {
		const answer = ends.find(end => end.type === 'answer-whole' && end.outcome === 'not-run');
		return answer !== undefined && runs.length > 0
			? [{guarantee: 'not-run' as const, at: answer.at, message: `the answer to ${call} reports not run, but ${runs[0]!.backendServer} ran the call at ${runs[0]!.at}`}]
			: [];
	});
}

/** A non-idempotent call runs at most once. All calls with the same claimed key together run at most once. */
export function checkAtMostOnce(index: HistoryIndex): Violation[] {
	const runsOf = new Map<string, Array<CallRecord['runs'][number]>>();
	for (const {call, sent, runs} of index.calls.values()) {
		const subject = sent?.key ?? call;
		if (sent !== undefined && (sent.key !== undefined || !sent.isIdempotent)) {
			runsOf.set(subject, [...(runsOf.get(subject) ?? []), ...runs]);
		}
	}

	return [...runsOf].filter(([, runs]) => runs.length > 1).map(([subject, runs]) => ({
		guarantee: 'at-most-once',
		at: runs[1]!.at,
		message: `${subject} ran ${runs.length} times: ${runs.map(({backendServer, at}) => `${backendServer} at ${at}`).join(', ')}`,
	}));
}

/**
 * A call that is in flight when a planned stop of its VM or backend server begins ends with its complete answer.
 * Exempt are calls whose caller disconnected, calls that end after `dueAt`, and calls with an unplanned fault at a party.
 */
export function checkGracefulStops(index: HistoryIndex): Violation[] {
	const stops = index.ofType('planned-stop-began');
	return [...index.calls.values()].flatMap(record => {
		const {sent, runs, ends} = record;
		const end = ends[0];
		if (sent === undefined || end === undefined || end.type === 'caller-gone' || end.at >= sent.dueAt) {
			return [];
		}

		const parties = [sent.vm, ...runs.map(({backendServer}) => backendServer)];
		const stop = stops.find(({party, at}) => parties.includes(party) && at >= workStartedAt(record, party) && at <= end.at);
		const isCut = end.type === 'answer-broken' || (end.isRefusal && runs.length > 0);
		return stop !== undefined && isCut && !index.wasDisturbed(parties, sent.at, end.at)
			? [{guarantee: 'graceful-stop' as const, at: end.at, message: `${record.call} was broken off by the planned stop of ${stop.party}`}]
			: [];
	});
}

/** Start of the party's work on the call: for a backend server the start of its run, for the VM the sending of the call. */
function workStartedAt({sent, runs}: CallRecord, party: string): number {
	return runs.find(({backendServer}) => backendServer === party)?.at ?? sent!.at;
}
