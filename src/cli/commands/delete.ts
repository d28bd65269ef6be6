/** `jaydale delete`: takes a resource out of force. */
import {storedResourceSchema, type ResourceKey} from '../../common/model/resources.ts';
import {type ApiClient} from '../api-client.ts';
import {changeOptions, sendChange} from '../change-sender.ts';
import {type ExitCode} from '../exit-codes.ts';
import {
	formatOption, inSession, sessionOptions, tellReadFailure,
} from '../session.ts';
import {type CommandCall, type CommandDefinition} from '../types.ts';
import {readResourceKey} from './parameters.ts';
import {tellWrongInput} from './report-invalid-input.ts';

export const deleteCommand: CommandDefinition = {
	usage: 'delete <kind> <name>',
	describe: 'Delete a resource. If somebody changes it in between, nothing is changed.',
	options: [
		{
			name: 'expected', value: 'VERSION', describe: 'Only if it is at this version (else the version that is in force now)', most: Number.MAX_SAFE_INTEGER,
		},
		...changeOptions,
		formatOption,
		...sessionOptions,
	],
	examples: ['delete backend-server ordering-3', 'delete service archive --expected 17 --note "moved"'],
	async run(call) {
		const [kind = '', name = ''] = call.parameters;
		const key = readResourceKey(kind, name);
		return key.isErr()
			? tellWrongInput(call.terminal, key.error)
			: inSession(call, async client => deleteResource(call, client, key.value, call.options.number('expected') ?? 0));
	},
};

async function deleteResource(call: CommandCall, client: ApiClient, key: ResourceKey, expected: number): Promise<ExitCode> {
	if (expected > 0) {
		return sendChange(call, client, [{type: 'delete', key, expected}], key);
	}

	const present = await client.request('GET', `/v1/resources/${key}`, storedResourceSchema);
	return present.isErr()
		? tellReadFailure(call.terminal, present.error)
		: sendChange(call, client, [{type: 'delete', key, expected: present.value.metadata.version}], key);
}
