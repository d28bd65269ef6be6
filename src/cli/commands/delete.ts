/** `jaydale delete`: deletes a resource. */
import {storedResourceSchema, type ResourceKey} from '../../common/model/resources.ts';
import {type ApiClient} from '../api-client.ts';
import {changeOptions, sendChange} from '../change-sender.ts';
import {type ExitCode} from '../exit-codes.ts';
import {
	formatOption, withSession, sessionOptions, reportReadFailure,
} from '../session.ts';
import {type CommandContext, type CommandDefinition} from '../types.ts';
import {parseResourceKey} from './parameters.ts';
import {reportInvalidInput} from './report-invalid-input.ts';

export const deleteCommand: CommandDefinition = {
	usage: 'delete <kind> <name>',
	description: 'Delete a resource. Nothing is changed if another operator changes it at the same time.',
	options: [
		{
			name: 'expected', valueName: 'VERSION', description: 'Delete only this version of the resource (default: the version in force)', max: Number.MAX_SAFE_INTEGER,
		},
		...changeOptions,
		formatOption,
		...sessionOptions,
	],
	examples: ['delete backend-server ordering-3', 'delete service archive --expected 17 --note "moved"'],
	async run(context) {
		const [kind = '', name = ''] = context.parameters;
		const key = parseResourceKey(kind, name);
		return key.isErr()
			? reportInvalidInput(context.terminal, key.error)
			: withSession(context, async client => deleteResource(context, client, key.value, context.options.number('expected') ?? 0));
	},
};

async function deleteResource(context: CommandContext, client: ApiClient, key: ResourceKey, expected: number): Promise<ExitCode> {
	if (expected > 0) {
		return sendChange(context, client, [{type: 'delete', key, expected}], key);
	}

	const current = await client.request('GET', `/v1/resources/${key}`, storedResourceSchema);
	return current.isErr()
		? reportReadFailure(context.terminal, current.error)
		: sendChange(context, client, [{type: 'delete', key, expected: current.value.metadata.version}], key);
}
