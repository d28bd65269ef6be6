/** `jaydale log-level`: shows or changes the log level of a running VM. */
import {settingsSchema, type LogLevel} from '../../common/settings/settings.ts';
import {logLevelSchema} from '../../node/api/types.ts';
import {type ApiClient} from '../api-client.ts';
import {type ExitCode} from '../exit-codes.ts';
import {
	formatOption, withSession, sessionOptions, printResult, reportFailure, reportReadFailure,
} from '../session.ts';
import {type CommandContext, type CommandDefinition} from '../types.ts';
import {parseChoice} from './parameters.ts';
import {reportInvalidInput} from './report-invalid-input.ts';

const levels = settingsSchema.shape.log.unwrap().shape.level.unwrap().options;

export const logLevelCommand: CommandDefinition = {
	usage: 'log-level [level]',
	description: `Show the log level of the VM that answers, or change it until its next start. Levels: ${levels.join(' ')}.`,
	options: [formatOption, ...sessionOptions],
	examples: ['log-level', 'log-level debug --server http://10.0.0.2:7002'],
	async run(context) {
		const [requested] = context.parameters;
		if (requested === undefined) {
			return withSession(context, async client => showLevel(context, client));
		}

		const level = parseChoice('level', requested, levels);
		return level.isErr()
			? reportInvalidInput(context.terminal, level.error)
			: withSession(context, async client => changeLevel(context, client, level.value));
	},
};

async function showLevel(context: CommandContext, client: ApiClient): Promise<ExitCode> {
	const response = await client.request('GET', '/v1/log-level', logLevelSchema);
	return response.match(value => printResult(context, value, () => [value.level]), value => reportReadFailure(context.terminal, value));
}

async function changeLevel(context: CommandContext, client: ApiClient, level: LogLevel): Promise<ExitCode> {
	const response = await client.request('PUT', '/v1/log-level', logLevelSchema, {body: {level}});
	return response.match(value => printResult(context, value, () => [value.level]), value => reportFailure(context.terminal, value));
}
