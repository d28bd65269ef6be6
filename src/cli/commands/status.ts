/** `jaydale status`: shows the state of one VM. */
import {statusSchema, type Status} from '../../node/api/types.ts';
import {
	formatOption, withSession, sessionOptions, printResult, reportReadFailure,
} from '../session.ts';
import {formatMilliseconds, formatTable} from '../table.ts';
import {type CommandDefinition} from '../types.ts';

export const statusCommand: CommandDefinition = {
	usage: 'status',
	description: 'Show the state of the VM that answers: configuration in force, contact with the platform, calls, backend servers.',
	options: [formatOption, ...sessionOptions],
	examples: ['status', 'status --server http://10.0.0.2:7002', 'status --format json'],
	async run(context) {
		return withSession(context, async client => {
			const status = await client.request('GET', '/v1/status', statusSchema);
			return status.match(value => printResult(context, value, () => formatStatus(value)), value => reportReadFailure(context.terminal, value));
		});
	},
};

function formatStatus(status: Status): string[] {
	const isBehind = status.newestKnownVersion > status.version;
	const summaryRows = [
		['VM', `${status.name} in ${status.dataCentre} (${status.identity})`],
		['stage', `${status.stage}${status.isCutOff ? ', cut off from the platform and all VMs' : ''}`],
		['configuration', `version ${status.version} in force${isBehind ? `, ${status.newestKnownVersion} known` : ''}`],
		['platform', status.storeContactAgeMilliseconds === null ? 'never answered' : `answered ${formatMilliseconds(status.storeContactAgeMilliseconds)} ago`],
		['share of budgets', status.shareSlot === null ? 'none: no measuring calls' : `slot ${status.shareSlot}`],
		['calls', `${status.callsInFlight} in flight, ${status.callsQueued} queued`],
	] as const;
	return [...summaryRows.map(([name, value]) => `${name.padEnd(17)} ${value}`), '', ...formatBackendServers(status)];
}

function formatBackendServers(status: Status): string[] {
	if (status.backendServers.length === 0) {
		return ['no backend servers'];
	}

	return formatTable(['BACKEND SERVER', 'SERVICE', 'STATE', 'IN FLIGHT HERE', 'REPORTED', 'REPORT AGE', 'MEASURED', 'ALLOWED'], status.backendServers.map(server => [
		server.name,
		server.service,
		server.state,
		String(server.inFlight),
		server.reportedInFlight === null ? '-' : String(server.reportedInFlight),
		server.reportAgeMilliseconds === null ? '-' : formatMilliseconds(server.reportAgeMilliseconds),
		String(server.measuringSpent),
		String(server.measuringAllowed),
	]));
}
