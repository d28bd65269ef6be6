/** The demo's last words: a table of the services, what became of the two stops, the verdict. */
import {type Service} from '../common/model/resources.ts';
import {type CallerReport} from '../stand-ins/caller/types.ts';
import {textTable} from '../stand-ins/text-table.ts';
import {type Verdict} from './oracle.ts';

/** One service's figures. */
export type ServiceFigures = {
	readonly service: Service;
	readonly report: CallerReport;
	readonly backendServerCount: number;
	/** Requests for load and health that its backend servers got. */
	readonly measured: number;
	readonly seconds: number;
};

/** Calls that the service's budget allows in the time, by every window that the time touched. */
function measuringBudget({service, backendServerCount, seconds}: ServiceFigures): number {
	const {callsPerWindow, windowMilliseconds} = service.measuring;
	return callsPerWindow * backendServerCount * Math.max(1, seconds * 1000 / windowMilliseconds);
}

/** The table of services. */
export function serviceTable(figures: readonly ServiceFigures[]): string {
	return textTable(
		['service', 'calls', 'whole', 'refused', 'unknown', 'p50 ms', 'p99 ms', 'p99.9 ms', 'measuring', 'budget'],
		figures.map(figure => {
			const {report} = figure;
			return [
				report.service,
				String(report.calls),
				String(report.right),
				String(report.refused),
				String(report.unknown),
				report.p50.toFixed(2),
				report.p99.toFixed(2),
				report.p999.toFixed(2),
				String(figure.measured),
				measuringBudget(figure).toFixed(0),
			];
		}),
	);
}

/** The last line. */
export function verdictLine(verdict: Verdict): string {
	return `demo: ${verdict.calls} calls, ${verdict.wrong} wrong, ${verdict.lost} lost, ${verdict.runTwice} run twice`;
}
