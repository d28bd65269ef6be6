/** What the backend server says of its load: late by a setting, false in some modes. */
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type LoadReport} from '../../common/calls/types.ts';

/** Keeps the truths of the past for as long as the lag hides newer ones. */
export class LoadReporter {
	private _history: Array<{readonly at: Instant; readonly report: LoadReport}> = [];

	private readonly _truth: () => LoadReport;

	constructor(truth: () => LoadReport) {
		this._truth = truth;
	}

	/** The report as it would be given at `now`. */
	report(now: Instant, lag: Milliseconds, showsNoLoad: boolean): LoadReport {
		const truth = this._truth();
		const shown = lag === 0 ? truth : this._late(truth, now, lag);
		return showsNoLoad ? {...shown, inFlight: 0, queued: 0} : shown;
	}

	private _late(truth: LoadReport, now: Instant, lag: Milliseconds): LoadReport {
		this._history.push({at: now, report: truth});
		const index = this._history.findLastIndex(past => past.at <= now - lag);
		this._history = this._history.slice(Math.max(index, 0));
		return this._history[0]!.report;
	}
}

/** The report as a header's value. */
export function formatLoadReport(report: LoadReport): string {
	return `in-flight=${report.inFlight}, queued=${report.queued}, slots=${report.slots}, instance=${report.instance ?? ''}`;
}
