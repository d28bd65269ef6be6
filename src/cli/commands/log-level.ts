/** `jaydale log-level`: shows or changes the level of a running VM's log. */
import {settingsSchema, type LogLevel} from '../../common/settings/settings.ts';
import {logLevelSchema} from '../../node/api/types.ts';
import {type ApiClient} from '../api-client.ts';
import {type ExitCode} from '../exit-codes.ts';
import {
	formatOption, inSession, sessionOptions, tellAnswer, tellFailure, tellReadFailure,
} from '../session.ts';
import {type CommandCall, type CommandDefinition} from '../types.ts';
import {readWord} from './parameters.ts';
import {tellWrongInput} from './report-invalid-input.ts';

const levels = settingsSchema.shape.log.unwrap().shape.level.unwrap().options;

export const logLevelCommand: CommandDefinition = {
	usage: 'log-level [level]',
	describe: `Show the log level of the VM that answers, or change it until its next start. Levels: ${levels.join(' ')}.`,
	options: [formatOption, ...sessionOptions],
	examples: ['log-level', 'log-level debug --server http://10.0.0.2:7002'],
	async run(call) {
		const [wanted] = call.parameters;
		if (wanted === undefined) {
			return inSession(call, async client => show(call, client));
		}

		const level = readWord('level', wanted, levels);
		return level.isErr()
			? tellWrongInput(call.terminal, level.error)
			: inSession(call, async client => change(call, client, level.value));
	},
};

async function show(call: CommandCall, client: ApiClient): Promise<ExitCode> {
	const answer = await client.request('GET', '/v1/log-level', logLevelSchema);
	return answer.match(value => tellAnswer(call, value, () => [value.level]), value => tellReadFailure(call.terminal, value));
}

async function change(call: CommandCall, client: ApiClient, level: LogLevel): Promise<ExitCode> {
	const answer = await client.request('PUT', '/v1/log-level', logLevelSchema, {body: {level}});
	return answer.match(value => tellAnswer(call, value, () => [value.level]), value => tellFailure(call.terminal, value));
}
