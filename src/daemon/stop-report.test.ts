import {expect} from 'earl';
import {type CallSummary} from '../common/calls/types.ts';
import {StopReport} from './stop-report.ts';

function ended(outcome: CallSummary['outcome']): CallSummary {
	return {
		service: 'orders', outcome, reason: undefined, attempts: 1, milliseconds: 1, queuedMilliseconds: 0, isGood: outcome === 'ran',
	};
}

describe('the report of a stop', () => {
	it('counts from the start of the stop, and gives the duration of each stage', function () {
		const report = new StopReport();
		report.enter('serving', 0);
		report.recordCall(ended('ran'));
		report.recordCutAnswer();
		report.begin(5);
		report.enter('leaving', 1000);
		report.begin(2);
		report.recordCall(ended('ran'));
		report.recordCall(ended('unknown'));
		report.recordCall(ended('not-run'));
		report.enter('draining', 5550);
		report.recordRefusal();
		report.recordCutAnswer();
		report.enter('ended', 5850.4);
		expect(report.summary()).toMatchSnapshot(this);
	});
});
