/** `jaydale burn`: reports the burn rates of all services' error budgets, over all VMs. */
import {
	burnReportSchema, burnWindowNames, type BurnReport, type ServiceBurn,
} from '../../common/burn/types.ts';
import {
	formatOption, withSession, sessionOptions, printResult, reportReadFailure,
} from '../session.ts';
import {formatMilliseconds, formatTable} from '../table.ts';
import {type CommandDefinition} from '../types.ts';

export const burnCommand: CommandDefinition = {
	usage: 'burn',
	description: 'Show the burn rate of each service\'s error budget over all VMs, and the measuring calls made. A burn rate of 1 spends exactly the whole budget within its window.',
	options: [formatOption, ...sessionOptions],
	examples: ['burn', 'burn --format json'],
	async run(context) {
		return withSession(context, async client => {
			const report = await client.request('GET', '/v1/burn', burnReportSchema);
			return report.match(value => printResult(context, value, () => formatReport(value)), value => reportReadFailure(context.terminal, value));
		});
	},
};

function formatReport(report: BurnReport): string[] {
	const missing = report.vmsMissing.length === 0 ? '' : `; no answer from ${report.vmsMissing.join(', ')}`;
	const summary = `counted on ${report.vmsCounted.length} VMs and ${report.copiesCounted} copies${missing}`;
	if (report.services.length === 0) {
		return ['no services', '', summary];
	}

	const headings = ['SERVICE', 'OBJECTIVE', ...burnWindowNames.map(name => `BURN ${name}`), 'BUDGET LEFT', 'KNOWN FOR', 'VERDICT', 'MEASURED', 'ALLOWED'];
	return [...formatTable(headings, report.services.map(formatService)), '', summary];
}

function formatService(service: ServiceBurn): string[] {
	const longest = service.windows.at(-1);
	return [
		service.service,
		`${Number((service.objective.successShare * 100).toFixed(4))}% in ${formatMilliseconds(service.objective.latencyMilliseconds)}`,
		...burnWindowNames.map(name => formatRate(service, name)),
		service.budgetLeft === null ? '-' : `${(service.budgetLeft * 100).toFixed(1)}%`,
		longest === undefined || longest.coveredMilliseconds === 0 ? '-' : formatMilliseconds(longest.coveredMilliseconds),
		service.verdict,
		String(Math.round(service.measuring.spent)),
		String(Math.round(service.measuring.allowed)),
	];
}

function formatRate(service: ServiceBurn, name: string): string {
	const rate = service.windows.find(window => window.window === name)?.burnRate ?? null;
	return rate === null ? '-' : `${rate.toFixed(2)}x`;
}
