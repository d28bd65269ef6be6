import {expect} from 'earl';
import {type CallerReport} from '../stand-ins/caller/types.ts';
import {type CallRecord} from '../stand-ins/backend-server/types.ts';
import {checkCalls} from './oracle.ts';

const record = (callId: string): CallRecord => ({
	callId, method: 'POST', path: '/orders', startedAt: 0, millisecondsIntoDrain: undefined, state: 'finished',
});

const report = (changes: Partial<CallerReport>): CallerReport => ({
	service: 's', calls: 4, right: 4, refused: 0, unknown: 0, lost: 0, wrong: 0, inFlight: 0, p50: 1, p99: 1, p999: 1, nonIdempotent: [], faults: [], ...changes,
});

describe('oracle of the demo', () => {
	// A customer is billed twice, another is told that an order was not placed which was.
	it('tells a doubled run, a false "not run" and an answer to what never ran', function () {
		const nonIdempotent = [
			{callId: 'doubled', outcome: 'ran' as const},
			{callId: 'denied', outcome: 'not-run' as const},
			{callId: 'invented', outcome: 'ran' as const},
			{callId: 'open', outcome: 'unknown' as const},
			{callId: 'good', outcome: 'ran' as const},
		];
		const records = ['doubled', 'doubled', 'denied', 'good', 'open'].map(callId => record(callId));
		expect(checkCalls([report({nonIdempotent, lost: 1, inFlight: 2})], records)).toMatchSnapshot(this);
	});

	it('finds nothing in a clean run', () => {
		const verdict = checkCalls([report({nonIdempotent: [{callId: 'good', outcome: 'ran'}]})], [record('good')]);
		expect([verdict.wrong, verdict.lost, verdict.runTwice, verdict.findings.length]).toEqual([0, 0, 0, 0]);
	});
});
