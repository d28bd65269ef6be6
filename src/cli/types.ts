/** Types shared by the commands, the argument parser and the terminal. */
import {type ResultAsync} from 'neverthrow';
import {type Failure} from '../common/errors/failure.ts';
import {type Options} from './options.ts';
import {type ExitCode} from './exit-codes.ts';

/** The parts of an HTTP response that the command line uses. */
export type HttpResponse = {
	readonly status: number;
	text(): Promise<string>;
};

/** Sends one HTTP request; rejects if no response arrives. */
export type SendHttpRequest = (url: string, request: {
	readonly method: string;
	readonly headers: Record<string, string>;
	readonly body?: string;
	readonly signal?: AbortSignal;
}) => Promise<HttpResponse>;

export type ReadFailure = Failure<'unreadable-file'>;

/** All input and output of a command; tests replace it. */
export type Terminal = {
	/** Writes a line to standard output. */
	print(line: string): void;
	/** Writes a line to standard error. */
	printError(line: string): void;
	readonly environment: Readonly<Record<string, string | undefined>>;
	/** Reads a file, or standard input for `-`. */
	readText(path: string): ResultAsync<string, ReadFailure>;
	readonly sendHttpRequest: SendHttpRequest;
	/** Waits for the given time, or until the signal aborts. */
	sleep(milliseconds: number): Promise<void>;
	/** Milliseconds on a monotonic clock. */
	now(): number;
	/** Aborts on Ctrl-C. */
	readonly signal: AbortSignal;
	/** Creates the operation id of a new change. */
	newOperationId(): string;
};

/** An option of a command. */
export type OptionDefinition = {
	readonly name: string;
	readonly short?: string;
	/** Placeholder of the value in the help; absent for a switch, which has no value. */
	readonly valueName?: string;
	readonly description: string;
	readonly defaultValue?: string;
	/** The value must be a whole number from 0 to this limit. */
	readonly max?: number;
	/** The only values allowed. */
	readonly choices?: readonly string[];
};

/** Input of one command run. */
export type CommandContext = {
	/** In the order of the usage; an optional parameter may be undefined. */
	readonly parameters: ReadonlyArray<string | undefined>;
	readonly options: Options;
	readonly terminal: Terminal;
};

/** A command. sade's help and the checks of the arguments are derived from it. */
export type CommandDefinition = {
	/** Words of the command, followed by `<required>` and `[optional]` parameters. */
	readonly usage: string;
	readonly description: string;
	readonly options: readonly OptionDefinition[];
	readonly examples: readonly string[];
	run(context: CommandContext): Promise<ExitCode>;
};
