/**
 * Validates the arguments before sade parses them. At the first fault sade would end the process with exit code 1 and a
 * message of its own; these checks give the documented exit codes and suggest a correction for a misspelt word.
 */
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../common/errors/failure.ts';
import {closestName} from '../common/settings/closest-name.ts';
import {type CommandDefinition, type OptionDefinition} from './types.ts';

export type ArgumentFailure = Failure<'no-command' | 'unknown-command' | 'unknown-option' | 'lacking-value' | 'wrong-value' | 'wrong-parameters'>;

/** Options that sade adds to every command. */
const helpOptions: readonly OptionDefinition[] = [
	{name: 'help', short: 'h', description: ''},
	{name: 'version', short: 'v', description: ''},
];

/** The words of a command without its parameters, such as `vm drain`. */
export function commandName(definition: CommandDefinition): string {
	return usageWords(definition).filter(part => !/^[<\[]/v.test(part)).join(' ');
}

/** Whether the arguments request help or the version, which sade prints. */
export function isHelpRequest(argv: readonly string[]): boolean {
	return argv.some(word => ['-h', '--help', '-v', '--version'].includes(word));
}

/** Finds the command that the arguments name, and checks its options and parameters. */
export function checkArguments(argv: readonly string[], definitions: readonly CommandDefinition[]): Result<CommandDefinition, ArgumentFailure> {
	return findCommand(positionalArguments(argv, definitions.flatMap(definition => definition.options)), definitions)
		.andThen(definition => checkOptions(argv, definition))
		.andThen(definition => checkParameters(positionalArguments(argv, definition.options), definition));
}

/** Finds the command whose name the words begin with. */
export function findCommand(words: readonly string[], definitions: readonly CommandDefinition[]): Result<CommandDefinition, ArgumentFailure> {
	const names = definitions.map(definition => commandName(definition));
	if (words.length === 0) {
		return err(failure('no-command', `no command given; allowed: ${names.join(', ')}`));
	}

	const found = definitions.find(definition => commandName(definition).split(' ').every((word, index) => words[index] === word));
	return found === undefined ? err(unknownCommand(words, names)) : ok(found);
}

/** The arguments that are neither options nor values of options. */
export function positionalArguments(argv: readonly string[], options: readonly OptionDefinition[]): string[] {
	const words: string[] = [];
	for (let index = 0; index < argv.length; index++) {
		const word = argv[index]!;
		if (!isOption(word)) {
			words.push(word);
		} else if (!word.includes('=') && findOption(word, options)?.valueName !== undefined) {
			index++;
		}
	}

	return words;
}

function unknownCommand(words: readonly string[], names: readonly string[]): ArgumentFailure {
	const subcommands = names.filter(name => name.startsWith(`${words[0]} `));
	if (subcommands.length > 0) {
		const found = words.slice(0, 2).join(' ');
		const suggestion = words.length > 1 ? closestName(found, subcommands) : undefined;
		const hint = suggestion === undefined ? `allowed: ${subcommands.join(', ')}` : `did you mean "${suggestion}"?`;
		return failure('unknown-command', `"${found}" is not a command; ${hint}`);
	}

	const suggestion = closestName(words.slice(0, 2).join(' '), names) ?? closestName(words[0]!, names);
	return failure('unknown-command', suggestion === undefined
		? `"${words[0]}" is not a command; allowed: ${names.join(', ')}`
		: `"${words[0]}" is not a command; did you mean "${suggestion}"?`);
}

function checkOptions(argv: readonly string[], definition: CommandDefinition): Result<CommandDefinition, ArgumentFailure> {
	const known = [...definition.options, ...helpOptions];
	for (const [index, word] of argv.entries()) {
		const isValue = index > 0 && isOption(argv[index - 1]!) && !argv[index - 1]!.includes('=') && findOption(argv[index - 1]!, known)?.valueName !== undefined;
		if (!isOption(word) || isValue) {
			continue;
		}

		const option = findOption(word, known);
		if (option === undefined) {
			return err(unknownOption(word, known, definition));
		}

		if (option.valueName !== undefined && !hasValue(word, argv[index + 1])) {
			return err(failure('lacking-value', `--${option.name} needs a value: --${option.name} ${option.valueName}`));
		}

		const value = word.includes('=') ? word.slice(word.indexOf('=') + 1) : argv[index + 1];
		const fault = value === undefined ? undefined : checkValue(option, value);
		if (fault !== undefined) {
			return err(fault);
		}
	}

	return ok(definition);
}

function unknownOption(word: string, known: readonly OptionDefinition[], definition: CommandDefinition): ArgumentFailure {
	const names = known.map(option => `--${option.name}`);
	const suggestion = closestName(word.split('=', 1)[0]!, names);
	const hint = suggestion === undefined ? `allowed: ${names.join(', ')}` : `did you mean ${suggestion}?`;
	return failure('unknown-option', `"jaydale ${commandName(definition)}" has no option ${word.split('=', 1)[0]}; ${hint}`);
}

function checkValue(option: OptionDefinition, found: string): ArgumentFailure | undefined {
	const {name, choices, max} = option;
	if (choices !== undefined && !choices.includes(found)) {
		return invalidChoice(name, found, choices);
	}

	const isNumber = max === undefined || (/^\d{1,15}$/v.test(found) && Number(found) <= max);
	return isNumber ? undefined : failure('wrong-value', `--${name}: found ${JSON.stringify(found)}; allowed: a whole number from 0 to ${max}`);
}

function invalidChoice(name: string, found: string, choices: readonly string[]): ArgumentFailure {
	const suggestion = closestName(found, choices);
	const hint = suggestion === undefined ? '' : `; did you mean "${suggestion}"?`;
	return failure('wrong-value', `--${name}: found ${JSON.stringify(found)}; allowed: ${choices.join(', ')}${hint}`);
}

function checkParameters(words: readonly string[], definition: CommandDefinition): Result<CommandDefinition, ArgumentFailure> {
	const name = commandName(definition);
	const found = words.slice(name.split(' ').length);
	const declared = usageWords(definition).filter(part => /^[<\[]/v.test(part));
	const missing = declared.filter(part => part.startsWith('<')).slice(found.length);
	if (missing.length > 0) {
		return err(failure('wrong-parameters', `${missing.join(' ')} ${missing.length === 1 ? 'is' : 'are'} missing; usage: jaydale ${definition.usage}`));
	}

	return found.length > declared.length
		? err(failure('wrong-parameters', `"${found[declared.length]}" is an unexpected parameter; usage: jaydale ${definition.usage}`))
		: ok(definition);
}

function usageWords(definition: CommandDefinition): string[] {
	return definition.usage.split(' ');
}

/** Whether a word is an option. A single dash is not: it stands for standard input. */
export function isOption(word: string): boolean {
	return word.startsWith('-') && word !== '-';
}

function hasValue(word: string, next: string | undefined): boolean {
	return word.includes('=') ? !word.endsWith('=') : next !== undefined && !isOption(next);
}

/** Finds the option that a word such as `--file=a` or `-f` names. */
export function findOption(word: string, options: readonly OptionDefinition[]): OptionDefinition | undefined {
	const name = word.replace(/^--?/v, '').split('=', 1)[0]!;
	return options.find(option => word.startsWith('--') ? option.name === name : option.short === name);
}
