/** What commands, their parser and their surroundings share. */
import {type ResultAsync} from 'neverthrow';
import {type Failure} from '../common/errors/failure.ts';
import {type Options} from './options.ts';
import {type ExitCode} from './exit-codes.ts';

/** An HTTP answer, as far as the command line looks at it. */
export type HttpResponse = {
	readonly status: number;
	text(): Promise<string>;
};

/** Sends one HTTP request; rejects when no answer came. */
export type SendHttpRequest = (url: string, request: {
	readonly method: string;
	readonly headers: Record<string, string>;
	readonly body?: string;
	readonly signal?: AbortSignal;
}) => Promise<HttpResponse>;

export type ReadFailure = Failure<'unreadable-file'>;

/** Everything outside the command line that a command may touch; tests bring their own. */
export type Terminal = {
	/** A line to standard output. */
	print(line: string): void;
	/** A line to standard error. */
	printError(line: string): void;
	readonly environment: Readonly<Record<string, string | undefined>>;
	/** Reads a file, or standard input for `-`. */
	readText(path: string): ResultAsync<string, ReadFailure>;
	readonly exchange: SendHttpRequest;
	/** Waits; ends early when the signal does. */
	sleep(milliseconds: number): Promise<void>;
	/** Milliseconds on a monotonic clock. */
	now(): number;
	/** Ends on Ctrl-C. */
	readonly signal: AbortSignal;
	/** A new operation identity. */
	newOperationId(): string;
};

/** An option of a command. */
export type OptionDefinition = {
	readonly name: string;
	readonly short?: string;
	/** What stands for its value in the help; left out = a switch without value. */
	readonly valueName?: string;
	readonly description: string;
	readonly defaultValue?: string;
	/** A whole number from 0 on, at most this. */
	readonly max?: number;
	/** The only values allowed. */
	readonly choices?: readonly string[];
};

/** One run of a command. */
export type CommandContext = {
	/** In the order of the usage; optional ones may be undefined. */
	readonly parameters: ReadonlyArray<string | undefined>;
	readonly options: Options;
	readonly terminal: Terminal;
};

/** A subcommand, as data: sade's help and the checks of the input both come from it. */
export type CommandDefinition = {
	/** Words of the command, then `<required>` and `[optional]` parameters. */
	readonly usage: string;
	readonly description: string;
	readonly options: readonly OptionDefinition[];
	readonly examples: readonly string[];
	run(context: CommandContext): Promise<ExitCode>;
};
