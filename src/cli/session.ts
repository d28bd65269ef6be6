/** Shared by the commands that send requests to a VM: API addresses, operator's token, output of results and failures. */
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {problemTypePrefix} from '../common/protocol/headers.ts';
import {type Problem} from '../node/api/types.ts';
import {ApiClient, type ClientFailure} from './api-client.ts';
import {formatFailure} from './format-failure.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {type CommandContext, type OptionDefinition, type Terminal} from './types.ts';

export type SessionFailure = Failure<'no-token' | 'wrong-server' | 'unreadable-file'>;

const defaultServer = 'http://127.0.0.1:7002';

/** Options of every command that sends requests to a VM. */
export const sessionOptions: readonly OptionDefinition[] = [
	{name: 'server', valueName: 'URLS', description: `Resource API addresses in order of preference, separated by commas (default: JAYDALE_SERVER, then ${defaultServer})`},
	{name: 'token-file', valueName: 'FILE', description: 'File that contains only the token (default: JAYDALE_TOKEN_FILE, then JAYDALE_TOKEN)'},
];

/** Output format of a command: table or JSON. */
export const formatOption: OptionDefinition = {
	name: 'format', valueName: 'FORMAT', description: 'table or json', defaultValue: 'table', choices: ['table', 'json'],
};

/** Creates a client with the addresses and token that the options or the environment give. */
export function openSession(context: CommandContext): ResultAsync<ApiClient, SessionFailure> {
	const {options, terminal} = context;
	const servers = (options.text('server') ?? terminal.environment.JAYDALE_SERVER ?? defaultServer).split(',');
	const invalidServer = servers.find(server => !/^https?:\/\/[^\/\s]+\/?$/v.test(server));
	if (invalidServer !== undefined) {
		return errAsync(failure('wrong-server', `found ${JSON.stringify(invalidServer)}; allowed: an address such as ${defaultServer}`, {field: '--server'}));
	}

	return findToken(context).map(token => new ApiClient(servers.map(server => server.replace(/\/$/v, '')), token, terminal));
}

/** Runs a command's action with a client. If no client can be created, the exit code is that for invalid input. */
export async function withSession(context: CommandContext, action: (client: ApiClient) => Promise<ExitCode>): Promise<ExitCode> {
	const session = await openSession(context);
	if (session.isErr()) {
		context.terminal.printError(`jaydale: ${formatFailure(session.error)}`);
		return exitCodes.wrongInput;
	}

	return action(session.value);
}

/** Prints a result in the requested format. */
export function printResult(context: CommandContext, value: unknown, toLines: () => readonly string[]): ExitCode {
	const lines = context.options.text('format') === 'json' ? [JSON.stringify(value)] : toLines();
	for (const line of lines) {
		context.terminal.print(line);
	}

	return exitCodes.done;
}

/** Prints a failure and returns its exit code. */
export function reportFailure(terminal: Terminal, value: ClientFailure): ExitCode {
	if (value.kind !== 'problem') {
		terminal.printError(`jaydale: ${value.message}`);
		return value.kind === 'no-answer' ? exitCodes.unknown : exitCodes.failed;
	}

	const {problem} = value;
	terminal.printError(`jaydale: ${problem.title}: ${problem.detail}`);
	for (const fault of problem.faults ?? []) {
		terminal.printError(`  ${fault.field === '' ? '' : `${fault.field}: `}${fault.message}`);
	}

	if (problem.winner !== undefined) {
		const {key, version, operator} = problem.winner;
		const who = operator ?? 'an operator who is no longer in the history';
		terminal.printError(version === 0 ? `  ${key} was deleted by ${who}` : `  ${key} was changed by ${who} in version ${version}; read it again before you repeat the change`);
	}

	return exitCodeOf(problem);
}

/** As `reportFailure` for a read: without a response the outcome is not unknown, because a read changes nothing. */
export function reportReadFailure(terminal: Terminal, value: ClientFailure): ExitCode {
	const code = reportFailure(terminal, value);
	return code === exitCodes.unknown ? exitCodes.failed : code;
}

function exitCodeOf(problem: Problem): ExitCode {
	const codes: Readonly<Record<string, ExitCode>> = {
		'invalid-input': exitCodes.wrongInput,
		'too-large': exitCodes.wrongInput,
		'not-found': exitCodes.notFound,
		conflict: exitCodes.conflict,
		'outcome-unknown': exitCodes.unknown,
		unauthorised: exitCodes.notAllowed,
		forbidden: exitCodes.notAllowed,
	};
	return codes[problem.type.slice(problemTypePrefix.length)] ?? exitCodes.failed;
}

/** Reads the token from a file or the environment. The command line is visible to other users of the machine. */
function findToken(context: CommandContext): ResultAsync<string, SessionFailure> {
	const {environment} = context.terminal;
	const file = context.options.text('token-file') ?? environment.JAYDALE_TOKEN_FILE;
	if (file !== undefined) {
		return context.terminal.readText(file).map(content => content.trim());
	}

	const token = environment.JAYDALE_TOKEN;
	return token === undefined
		? errAsync(failure('no-token', 'no token; allowed: --token-file FILE, or one of JAYDALE_TOKEN_FILE and JAYDALE_TOKEN in the environment'))
		: okAsync(token);
}
