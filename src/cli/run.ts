/** The command line as a function of arguments and a terminal that returns the exit code. */
import sade from 'sade';
import {
	isHelpRequest, checkArguments, findCommand, findOption, isOption, positionalArguments,
} from './check-arguments.ts';
import {applyCommand} from './commands/apply.ts';
import {burnCommand} from './commands/burn.ts';
import {deleteCommand} from './commands/delete.ts';
import {editCommand} from './commands/edit.ts';
import {explainCommand} from './commands/explain.ts';
import {getCommand} from './commands/get.ts';
import {historyCommand} from './commands/history.ts';
import {logLevelCommand} from './commands/log-level.ts';
import {quarantineLiftCommand, quarantineListCommand} from './commands/quarantine.ts';
import {serveCommand, type RunDaemon} from './commands/serve.ts';
import {settingsCheckCommand} from './commands/settings-check.ts';
import {statusCommand} from './commands/status.ts';
import {reportInvalidInput} from './commands/report-invalid-input.ts';
import {vmDrainCommand, vmListCommand} from './commands/vm.ts';
import {watchCommand} from './commands/watch.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {Options} from './options.ts';
import {type CommandDefinition, type OptionDefinition, type Terminal} from './types.ts';

const programName = 'jaydale';

/** All commands, in the order of the help. */
export function allCommands(runDaemon: RunDaemon): CommandDefinition[] {
	return [
		serveCommand(runDaemon),
		settingsCheckCommand,
		getCommand,
		applyCommand,
		editCommand,
		deleteCommand,
		watchCommand,
		statusCommand,
		historyCommand,
		vmListCommand,
		vmDrainCommand,
		burnCommand,
		quarantineListCommand,
		quarantineLiftCommand,
		logLevelCommand,
		explainCommand,
	];
}

/** Runs the command that the arguments name; `argv` starts after the paths of node and the program. */
export async function runCommandLine(argv: readonly string[], version: string, terminal: Terminal, runDaemon: RunDaemon): Promise<ExitCode> {
	const definitions = allCommands(runDaemon);
	if (isHelpRequest(argv)) {
		return help(argv, definitions, version, terminal);
	}

	const checked = checkArguments(argv, definitions);
	if (checked.isErr()) {
		terminal.printError(`${programName}: ${checked.error.message}`);
		terminal.printError(`see "${programName} --help"`);
		return exitCodes.wrongInput;
	}

	const definition = checked.value;
	const {parameters, values} = parse(argv, definition, buildProgram(definitions, version));
	return definition.run({parameters, options: new Options(values), terminal});
}

/** Prints the help by sade. An unknown command is reported here first, because sade would end the process. */
function help(argv: readonly string[], definitions: readonly CommandDefinition[], version: string, terminal: Terminal): ExitCode {
	const words = positionalArguments(argv, definitions.flatMap(definition => definition.options));
	if (words.length > 0) {
		const found = findCommand(words, definitions);
		if (found.isErr()) {
			return reportInvalidInput(terminal, found.error);
		}
	}

	buildProgram(definitions, version).parse(['node', programName, ...argv]);
	return exitCodes.done;
}

function buildProgram(definitions: readonly CommandDefinition[], version: string): sade.Sade {
	const program = sade(programName).version(version);
	for (const definition of definitions) {
		program.command(definition.usage, definition.description);
		for (const option of definition.options) {
			program.option(flagsOf(option), `${option.description}${option.valueName === undefined ? '' : ` [${option.valueName}]`}`, option.defaultValue);
		}

		for (const example of definition.examples) {
			program.example(example);
		}

		// sade only parses the arguments; `runCommandLine` runs the command.
		program.action(() => undefined);
	}

	return program;
}

function flagsOf(option: OptionDefinition): string {
	return option.short === undefined ? `--${option.name}` : `-${option.short}, --${option.name}`;
}

type ParsedArguments = {readonly parameters: ReadonlyArray<string | undefined>; readonly values: ConstructorParameters<typeof Options>[0]};

function parse(argv: readonly string[], definition: CommandDefinition, program: sade.Sade): ParsedArguments {
	const withValue = definition.options.filter(option => option.valueName !== undefined).flatMap(namesOf);
	const switches = definition.options.filter(option => option.valueName === undefined).flatMap(namesOf);
	const parsed = program.parse(['node', programName, ...joinOptionValues(argv, definition.options)], {lazy: true, string: withValue, boolean: switches});
	const [values, ...reversed] = [...parsed.args].toReversed();
	return {parameters: reversed.toReversed(), values: toOptionValues(values)};
}

/** Rewrites `-f VALUE` as `--file=VALUE`: sade's parser rejects a separate value that begins with a dash, as in `-f -`. */
function joinOptionValues(argv: readonly string[], options: readonly OptionDefinition[]): string[] {
	const joined: string[] = [];
	for (let index = 0; index < argv.length; index++) {
		const word = argv[index]!;
		const option = isOption(word) && !word.includes('=') ? findOption(word, options) : undefined;
		if (option?.valueName === undefined) {
			joined.push(word);
		} else {
			index++;
			joined.push(`--${option.name}=${argv[index]}`);
		}
	}

	return joined;
}

function namesOf(option: OptionDefinition): string[] {
	return option.short === undefined ? [option.name] : [option.name, option.short];
}

/** Casts the last of sade's arguments, the object of options: sade's types declare every argument as a string. */
function toOptionValues(values: unknown): ParsedArguments['values'] {
	return typeof values === 'object' && values !== null ? {...values} : {};
}

