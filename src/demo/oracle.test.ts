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
	// Guards against an oracle that misses an order which ran twice, or one reported as not run although it ran.
	it('detects a call that ran twice, one falsely reported as not run, and a response to one that never ran', function () {
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

	it('finds no fault in a correct run', () => {
		const verdict = checkCalls([report({nonIdempotent: [{callId: 'good', outcome: 'ran'}]})], [record('good')]);
		expect([verdict.wrong, verdict.lost, verdict.runTwice, verdict.findings.length]).toEqual([0, 0, 0, 0]);
	});
});
