/** An SVG chart of tail latency against cost of measuring. */
import {type Summary} from './summary.ts';

/** The chart. */
export function renderChart(summaries: readonly Summary[]): string {
	return `<svg xmlns="http://www.w3.org/2000/svg"><title>${summaries.length}</title></svg>\n`;
}
