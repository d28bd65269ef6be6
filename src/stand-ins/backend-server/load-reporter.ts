/** Load reports of the stand-in backend server, which may be delayed or show no load. */
import {type Instant, type Milliseconds} from '../../common/model/units.ts';
import {type LoadReport} from '../../common/calls/types.ts';

/** Keeps past load values for as long as the lag requires. */
export class LoadReporter {
	private _history: Array<{readonly at: Instant; readonly report: LoadReport}> = [];

	private readonly _readLoad: () => LoadReport;

	constructor(readLoad: () => LoadReport) {
		this._readLoad = readLoad;
	}

	/** Returns the report to send at `now`: the load of the given lag ago, with zero calls if `hidesLoad`. */
	report(now: Instant, lagMilliseconds: Milliseconds, hidesLoad: boolean): LoadReport {
		const current = this._readLoad();
		const shown = lagMilliseconds === 0 ? current : this._delayedReport(current, now, lagMilliseconds);
		return hidesLoad ? {...shown, inFlight: 0, queued: 0} : shown;
	}

	private _delayedReport(current: LoadReport, now: Instant, lagMilliseconds: Milliseconds): LoadReport {
		this._history.push({at: now, report: current});
		const index = this._history.findLastIndex(entry => entry.at <= now - lagMilliseconds);
		this._history = this._history.slice(Math.max(index, 0));
		return this._history[0]!.report;
	}
}

/** Formats a report as a header value. */
export function formatLoadReport(report: LoadReport): string {
	return `in-flight=${report.inFlight}, queued=${report.queued}, slots=${report.slots}, instance=${report.instance ?? ''}`;
}
