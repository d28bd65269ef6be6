/** Reads settings and tokens from TOML files; returns all errors at once. */
import {accessSync, constants, readFileSync} from 'node:fs';
import {dirname, resolve} from 'node:path';
import {err, ok, type Result} from 'neverthrow';
import {parse, TomlError} from 'smol-toml';
import {type z} from 'zod';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {inputFailures, type InputFailureKind} from '../../common/settings/schema-failures.ts';
import {
	settingsSchema, tokensFileSchema, type OperatorToken, type Settings,
} from '../../common/settings/settings.ts';

/** Kinds of errors in a settings file. */
export type SettingsFailureKind = InputFailureKind | 'unreadable-file' | 'invalid-toml' | 'repeated';
export type SettingsFailure = Failure<SettingsFailureKind>;

/** Reads a daemon's settings. Paths in the result are absolute, and the files are readable. */
export function loadSettings(path: string): Result<Settings, SettingsFailure[]> {
	return readToml(path)
		.andThen(input => checkAgainst(settingsSchema, input))
		.map(settings => withAbsolutePaths(settings, dirname(resolve(path))))
		.andThen(settings => checkFiles(settings));
}

/** Reads the operators' tokens. Names and secrets must be unique. */
export function loadTokens(path: string): Result<OperatorToken[], SettingsFailure[]> {
	return readToml(path)
		.andThen(input => checkAgainst(tokensFileSchema, input))
		.map(file => file.operator)
		.andThen(tokens => checkUnique(tokens));
}

/** Reads a TOML file; a syntax error names line and column. */
export function readToml(path: string): Result<unknown, SettingsFailure[]> {
	return readText(path).andThen(text => parseToml(text));
}

/** Parses TOML text; a syntax error names line and column. */
export function parseToml(text: string): Result<unknown, SettingsFailure[]> {
	try {
		return ok(parse(text));
	} catch (error) {
		if (!(error instanceof TomlError)) {
			return err([failure('invalid-toml', String(error))]);
		}

		const [reason] = error.message.split('\n');
		return err([failure('invalid-toml', `${reason}`, {field: `line ${error.line}, column ${error.column}`})]);
	}
}

function readText(path: string): Result<string, SettingsFailure[]> {
	try {
		return ok(readFileSync(path, 'utf8'));
	} catch (error) {
		return err([failure('unreadable-file', `the file cannot be read: ${messageOf(error)}`)]);
	}
}

/** Validates an input against a schema; every error names its field. */
export function checkAgainst<Schema extends z.ZodType>(schema: Schema, input: unknown): Result<z.infer<Schema>, SettingsFailure[]> {
	const parsed = schema.safeParse(input);
	return parsed.success ? ok(parsed.data) : err(inputFailures(parsed.error, input, schema));
}

function withAbsolutePaths(settings: Settings, folder: string): Settings {
	const {tls} = settings.peers;
	return {
		...settings,
		operators: {...settings.operators, tokensFile: resolve(folder, settings.operators.tokensFile)},
		peers: {
			...settings.peers,
			tls: tls && {
				certificateFile: resolve(folder, tls.certificateFile),
				keyFile: resolve(folder, tls.keyFile),
				authorityFile: resolve(folder, tls.authorityFile),
			},
		},
	};
}

/** Checks that all files are readable, so that a missing one is reported at the start and not at the first connection. */
function checkFiles(settings: Settings): Result<Settings, SettingsFailure[]> {
	const files = Object.entries(settings.peers.tls ?? {});
	const failures = files.flatMap(([key, path]) => unreadableFile(`peers.tls.${key}`, path));
	const tokens = loadTokens(settings.operators.tokensFile);
	if (tokens.isErr()) {
		failures.push(...tokens.error.map(cause => failure('not-allowed', `the tokens file ${settings.operators.tokensFile} has a fault`, {field: 'operators.tokensFile', cause})));
	}

	return failures.length === 0 ? ok(settings) : err(failures);
}

function unreadableFile(field: string, path: string): SettingsFailure[] {
	try {
		accessSync(path, constants.R_OK);
		return [];
	} catch (error) {
		return [failure('unreadable-file', `the file cannot be read: ${messageOf(error)}`, {field})];
	}
}

function checkUnique(tokens: OperatorToken[]): Result<OperatorToken[], SettingsFailure[]> {
	const failures: SettingsFailure[] = [];
	for (const [index, token] of tokens.entries()) {
		const earlier = tokens.slice(0, index);
		if (earlier.some(other => other.name === token.name)) {
			failures.push(failure('repeated', `found the name "${token.name}" a second time; allowed: each name once`, {field: `operator[${index}].name`}));
		}

		if (earlier.some(other => other.token === token.token)) {
			failures.push(failure('repeated', 'found a token that another operator has; allowed: each token once', {field: `operator[${index}].token`}));
		}
	}

	return failures.length === 0 ? ok(tokens) : err(failures);
}

function messageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
