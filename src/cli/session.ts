/** What the commands for operators have in common: where the API is, who asks, how failures are told. */
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {problemTypePrefix} from '../common/protocol/headers.ts';
import {type Problem} from '../node/api/types.ts';
import {ApiClient, type ClientFailure} from './api-client.ts';
import {describeForPeople} from './format-failure.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {type CommandCall, type OptionDefinition, type Terminal} from './types.ts';

export type SessionFailure = Failure<'no-token' | 'wrong-server' | 'unreadable-file'>;

const usualServer = 'http://127.0.0.1:7002';

/** Options of every command that talks to a VM. */
export const sessionOptions: readonly OptionDefinition[] = [
	{name: 'server', value: 'URLS', describe: `Resource APIs to try, separated by commas (else JAYDALE_SERVER, else ${usualServer})`},
	{name: 'token-file', value: 'FILE', describe: 'File that holds the token alone (else JAYDALE_TOKEN_FILE, else JAYDALE_TOKEN)'},
];

/** The option that chooses between tables and JSON. */
export const formatOption: OptionDefinition = {
	name: 'format', value: 'FORMAT', describe: 'table or json', fallback: 'table', choices: ['table', 'json'],
};

/** A client for the VMs and operator that the options and environment name. */
export function openSession(call: CommandCall): ResultAsync<ApiClient, SessionFailure> {
	const {options, terminal} = call;
	const servers = (options.text('server') ?? terminal.environment.JAYDALE_SERVER ?? usualServer).split(',');
	const wrong = servers.find(server => !/^https?:\/\/[^\/\s]+\/?$/v.test(server));
	if (wrong !== undefined) {
		return errAsync(failure('wrong-server', `found ${JSON.stringify(wrong)}; allowed: an address such as ${usualServer}`, {field: '--server'}));
	}

	return findToken(call).map(token => new ApiClient(servers.map(server => server.replace(/\/$/v, '')), token, terminal));
}

/** Runs a command's work within a session; a failure to open one is wrong input. */
export async function inSession(call: CommandCall, work: (client: ApiClient) => Promise<ExitCode>): Promise<ExitCode> {
	const session = await openSession(call);
	if (session.isErr()) {
		call.terminal.complain(`jaydale: ${describeForPeople(session.error)}`);
		return exitCodes.wrongInput;
	}

	return work(session.value);
}

/** Prints an answer in the format asked for. */
export function tellAnswer(call: CommandCall, value: unknown, toLines: () => readonly string[]): ExitCode {
	const lines = call.options.text('format') === 'json' ? [JSON.stringify(value)] : toLines();
	for (const line of lines) {
		call.terminal.print(line);
	}

	return exitCodes.done;
}

/** Tells a failure and gives its exit code. */
export function tellFailure(terminal: Terminal, value: ClientFailure): ExitCode {
	if (value.kind !== 'problem') {
		terminal.complain(`jaydale: ${value.message}`);
		return value.kind === 'no-answer' ? exitCodes.unknown : exitCodes.failed;
	}

	const {problem} = value;
	terminal.complain(`jaydale: ${problem.title}: ${problem.detail}`);
	for (const fault of problem.faults ?? []) {
		terminal.complain(`  ${fault.field === '' ? '' : `${fault.field}: `}${fault.message}`);
	}

	if (problem.winner !== undefined) {
		const {key, version, operator} = problem.winner;
		const who = operator ?? 'an operator whose name the history no longer holds';
		terminal.complain(version === 0 ? `  ${key} is gone, by ${who}` : `  ${key} is at version ${version}, by ${who}; read it and decide again`);
	}

	return problemExitCode(problem);
}

/** As `tellFailure` for a read: an answer that did not come changed nothing. */
export function tellReadFailure(terminal: Terminal, value: ClientFailure): ExitCode {
	const code = tellFailure(terminal, value);
	return code === exitCodes.unknown ? exitCodes.failed : code;
}

function problemExitCode(problem: Problem): ExitCode {
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

/** The token never stands on the command line, where other users of the machine could read it. */
function findToken(call: CommandCall): ResultAsync<string, SessionFailure> {
	const {environment} = call.terminal;
	const file = call.options.text('token-file') ?? environment.JAYDALE_TOKEN_FILE;
	if (file !== undefined) {
		return call.terminal.readText(file).map(content => content.trim());
	}

	const token = environment.JAYDALE_TOKEN;
	return token === undefined
		? errAsync(failure('no-token', 'no token; allowed: --token-file FILE, or one of JAYDALE_TOKEN_FILE and JAYDALE_TOKEN in the environment'))
		: okAsync(token);
}
