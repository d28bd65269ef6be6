/** Formats the demo's report: the table of services and the last line with the verdict. */
import {type Service} from '../common/model/resources.ts';
import {type CallerReport} from '../stand-ins/caller/types.ts';
import {textTable} from '../stand-ins/text-table.ts';
import {type Verdict} from './oracle.ts';

/** Figures of one service. */
export type ServiceFigures = {
	readonly service: Service;
	readonly report: CallerReport;
	readonly backendServerCount: number;
	/** Measuring calls that its backend servers received: requests for load and health. */
	readonly measured: number;
	readonly seconds: number;
};

/** Measuring calls that the service's budget allows within the duration of the run, at least those of one window. */
function measuringBudget({service, backendServerCount, seconds}: ServiceFigures): number {
	const {callsPerWindow, windowMilliseconds} = service.measuring;
	return callsPerWindow * backendServerCount * Math.max(1, seconds * 1000 / windowMilliseconds);
}

/** Formats the table of services. */
export function serviceTable(figures: readonly ServiceFigures[]): string {
	return textTable(
		['service', 'calls', 'correct', 'not run', 'unknown', 'p50 ms', 'p99 ms', 'p99.9 ms', 'measuring', 'budget'],
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

/** Formats the last line of the output. */
export function verdictLine(verdict: Verdict): string {
	return `demo: ${verdict.calls} calls, ${verdict.wrong} wrong, ${verdict.lost} lost, ${verdict.runTwice} run twice`;
}
