/** `jaydale history`: the latest changes. */
import {historySchema, operationStateSchema, type ChangeRecord} from '../../node/api/types.ts';
import {type ApiClient} from '../api-client.ts';
import {describeChanges} from '../format-changes.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {
	formatOption, inSession, sessionOptions, tellAnswer, tellReadFailure,
} from '../session.ts';
import {formatTable} from '../table.ts';
import {type CommandCall, type CommandDefinition} from '../types.ts';

const mostRecords = 1000;
const usualRecords = 20;
/** More keys than this are counted, not listed. */
const mostKeys = 2;

export const historyCommand: CommandDefinition = {
	usage: 'history',
	describe: 'Show the latest changes, the newest first: who, when, what, and on how many VMs they are in force.',
	options: [
		{
			name: 'limit', value: 'N', describe: 'At most so many', fallback: String(usualRecords), most: mostRecords,
		},
		{name: 'operation', value: 'ID', describe: 'Only tell what became of this operation'},
		formatOption,
		...sessionOptions,
	],
	examples: ['history', 'history --limit 5 --format json', 'history --operation 4f1c2f0e-0d3b-4a57-9f6e-1b2c3d4e5f60'],
	async run(call) {
		const operation = call.options.text('operation');
		if (operation !== undefined) {
			return inSession(call, async client => tellOperation(call, client, operation));
		}

		return inSession(call, async client => tellHistory(call, client, call.options.number('limit') ?? usualRecords));
	},
};

async function tellHistory(call: CommandCall, client: ApiClient, limit: number): Promise<ExitCode> {
	const history = await client.request('GET', `/v1/history?limit=${limit}`, historySchema);
	return history.match(value => tellAnswer(call, value, () => tableOf(value.records)), value => tellReadFailure(call.terminal, value));
}

async function tellOperation(call: CommandCall, client: ApiClient, operation: string): Promise<ExitCode> {
	const outcome = await client.request('GET', `/v1/operations/${encodeURIComponent(operation)}`, operationStateSchema);
	return outcome.match(state => {
		tellAnswer(call, state, () => [state.state === 'accepted'
			? `accepted as version ${state.version}`
			: 'not among the changes in force on this VM; it may still be under way: give the same command again with --operation to settle it']);
		return state.state === 'accepted' ? exitCodes.done : exitCodes.notFound;
	}, value => tellReadFailure(call.terminal, value));
}

function tableOf(records: readonly ChangeRecord[]): string[] {
	if (records.length === 0) {
		return ['nothing was ever changed'];
	}

	return formatTable(['VERSION', 'WHEN', 'WHO', 'WHAT', 'IN FORCE ON', 'NOTE'], records.map(record => [
		String(record.version),
		record.when,
		record.operator,
		describeChanges(record, mostKeys),
		`${record.inForceOn.length} of ${record.inForceOn.length + record.behindOn.length} VMs`,
		record.note,
	]));
}
