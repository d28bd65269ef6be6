/** `jaydale vm`: lists and drains VMs. */
import {vmListSchema, vmStatusSchema, type VmStatus} from '../../node/api/types.ts';
import {
	formatOption, withSession, sessionOptions, printResult, reportFailure, reportReadFailure,
} from '../session.ts';
import {formatMilliseconds, formatTable} from '../table.ts';
import {type CommandDefinition} from '../types.ts';

export const vmListCommand: CommandDefinition = {
	usage: 'vm list',
	description: 'List the VMs in the view of the VM that answers, with the configuration version in force on each.',
	options: [formatOption, ...sessionOptions],
	examples: ['vm list', 'vm list --format json'],
	async run(context) {
		return withSession(context, async client => {
			const list = await client.request('GET', '/v1/vms', vmListSchema);
			return list.match(value => printResult(context, value, () => formatVms(value.vms)), value => reportReadFailure(context.terminal, value));
		});
	},
};

function formatVms(vms: readonly VmStatus[]): string[] {
	return formatTable(['ADDRESS', 'DATA CENTRE', 'STATE', 'VERSION', 'BEHIND', 'CONTACT', 'IDENTITY'], vms.map(vm => [
		vm.address,
		vm.dataCentre,
		vm.state,
		String(vm.version),
		vm.behind ?? '-',
		`${formatMilliseconds(vm.heardAgoMilliseconds)} ago`,
		vm.identity,
	]));
}

export const vmDrainCommand: CommandDefinition = {
	usage: 'vm drain <vm>',
	description: 'Drain a VM and then stop it: callers no longer get its address, and no call or download is interrupted. Takes the address or identity from vm list.',
	options: [formatOption, ...sessionOptions],
	examples: ['vm drain 10.0.0.2:7001', 'vm drain Zm9vYmFyYmF6cXV4MDEyMw'],
	async run(context) {
		const [vm = ''] = context.parameters;
		return withSession(context, async client => {
			const outcome = await client.request('POST', `/v1/vms/${encodeURIComponent(vm)}/drain`, vmStatusSchema);
			return outcome.match(
				value => printResult(context, value, () => [`${value.address} is draining; "jaydale vm list" shows when it has left`]),
				value => reportFailure(context.terminal, value),
			);
		});
	},
};
