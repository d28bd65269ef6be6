/** What the backend server says of its load: late by a setting, false in some modes. */
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type LoadReport} from '../../common/calls/types.ts';

/** Keeps the truths of the past for as long as the lag hides newer ones. */
export class LoadReporter {
	private _history: Array<{readonly at: Instant; readonly report: LoadReport}> = [];

	private readonly _readLoad: () => LoadReport;

	constructor(readLoad: () => LoadReport) {
		this._readLoad = readLoad;
	}

	/** The report as it would be given at `now`. */
	report(now: Instant, lagMilliseconds: Milliseconds, hidesLoad: boolean): LoadReport {
		const readLoad = this._readLoad();
		const shown = lagMilliseconds === 0 ? readLoad : this._delayedReport(readLoad, now, lagMilliseconds);
		return hidesLoad ? {...shown, inFlight: 0, queued: 0} : shown;
	}

	private _delayedReport(readLoad: LoadReport, now: Instant, lagMilliseconds: Milliseconds): LoadReport {
		this._history.push({at: now, report: readLoad});
		const index = this._history.findLastIndex(entry => entry.at <= now - lagMilliseconds);
		this._history = this._history.slice(Math.max(index, 0));
		return this._history[0]!.report;
	}
}

/** The report as a header's value. */
export function formatLoadReport(report: LoadReport): string {
	return `in-flight=${report.inFlight}, queued=${report.queued}, slots=${report.slots}, instance=${report.instance ?? ''}`;
}
