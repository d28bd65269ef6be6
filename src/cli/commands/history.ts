/** `jaydale history`: shows the latest changes, or the outcome of one operation. */
import {historySchema, operationStateSchema, type ChangeRecord} from '../../node/api/types.ts';
import {type ApiClient} from '../api-client.ts';
import {formatChanges} from '../format-changes.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {
	formatOption, withSession, sessionOptions, printResult, reportReadFailure,
} from '../session.ts';
import {formatTable} from '../table.ts';
import {type CommandContext, type CommandDefinition} from '../types.ts';

const maxRecords = 1000;
const defaultRecords = 20;
/** Changed keys listed per record; further ones are only counted. */
const maxListedKeys = 2;

export const historyCommand: CommandDefinition = {
	usage: 'history',
	description: 'Show the latest changes, newest first: time, operator, resources, and on how many VMs each change is in force.',
	options: [
		{
			name: 'limit', valueName: 'N', description: 'Maximum number of changes', defaultValue: String(defaultRecords), max: maxRecords,
		},
		{name: 'operation', valueName: 'ID', description: 'Show only the outcome of this operation'},
		formatOption,
		...sessionOptions,
	],
	examples: ['history', 'history --limit 5 --format json', 'history --operation 4f1c2f0e-0d3b-4a57-9f6e-1b2c3d4e5f60'],
	async run(context) {
		const operation = context.options.text('operation');
		if (operation !== undefined) {
			return withSession(context, async client => printOperation(context, client, operation));
		}

		return withSession(context, async client => printHistory(context, client, context.options.number('limit') ?? defaultRecords));
	},
};

async function printHistory(context: CommandContext, client: ApiClient, limit: number): Promise<ExitCode> {
	const history = await client.request('GET', `/v1/history?limit=${limit}`, historySchema);
	return history.match(value => printResult(context, value, () => formatRecords(value.records)), value => reportReadFailure(context.terminal, value));
}

async function printOperation(context: CommandContext, client: ApiClient, operation: string): Promise<ExitCode> {
	const outcome = await client.request('GET', `/v1/operations/${encodeURIComponent(operation)}`, operationStateSchema);
	return outcome.match(state => {
		printResult(context, state, () => [state.state === 'accepted'
			? `accepted as version ${state.version}`
			: 'not among the changes in force on this VM; it may still be in progress: repeat the command with --operation to find out']);
		return state.state === 'accepted' ? exitCodes.done : exitCodes.notFound;
	}, value => reportReadFailure(context.terminal, value));
}

function formatRecords(records: readonly ChangeRecord[]): string[] {
	if (records.length === 0) {
		return ['no changes yet'];
	}

	return formatTable(['VERSION', 'WHEN', 'WHO', 'WHAT', 'IN FORCE ON', 'NOTE'], records.map(record => [
		String(record.version),
		record.when,
		record.operator,
		formatChanges(record, maxListedKeys),
		`${record.inForceOn.length} of ${record.inForceOn.length + record.behindOn.length} VMs`,
		record.note,
	]));
}
