import {expect} from 'earl';
import {type CallSummary} from '../common/calls/types.ts';
import {StopReport} from './stop-report.ts';

function ended(outcome: CallSummary['outcome']): CallSummary {
	return {
		service: 'orders', outcome, reason: undefined, attempts: 1, milliseconds: 1, queuedMilliseconds: 0, isGood: outcome === 'ran',
	};
}

describe('the report of a stop', () => {
	it('counts from the order to stop on, and tells how long each stage took', function () {
		const report = new StopReport();
		report.enter('serving', 0);
		report.noteCall(ended('ran'));
		report.noteCut();
		report.begin(5);
		report.enter('leaving', 1000);
		report.begin(2);
		report.noteCall(ended('ran'));
		report.noteCall(ended('unknown'));
		report.noteCall(ended('not-run'));
		report.enter('draining', 5550);
		report.noteRefusal();
		report.noteCut();
		report.enter('ended', 5850.4);
		expect(report.summary()).toMatchSnapshot(this);
	});
});
