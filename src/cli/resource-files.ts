/** Parses and formats resources as TOML with `[[service]]`, `[[backend-server]]`, `[[sharing-rule]]` and `[[organisation]]` tables. */
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {stringify} from 'smol-toml';
import {z} from 'zod';
import {failure, type Failure} from '../common/errors/failure.ts';
import {
	backendServerSchema, organisationSchema, resourceKey, serviceSchema, sharingRuleSchema, type Resource,
} from '../common/model/resources.ts';
import {inputFailures} from '../common/settings/schema-failures.ts';
import {parseToml} from '../node/settings/load-settings.ts';
import {formatFailure} from './format-failure.ts';
import {type Terminal} from './types.ts';

const fileSchema = z.strictObject({
	service: z.array(serviceSchema.omit({kind: true})).default([]),
	'backend-server': z.array(backendServerSchema.omit({kind: true})).default([]),
	'sharing-rule': z.array(sharingRuleSchema.omit({kind: true})).default([]),
	organisation: z.array(organisationSchema.omit({kind: true})).default([]),
});

export type FileFailure = Failure<'wrong-file'>;

/** Reads the resources of all files. The error lists the faults of every file. */
export function readResourceFiles(terminal: Terminal, paths: readonly string[]): ResultAsync<Resource[], FileFailure[]> {
	return ResultAsync.combineWithAllErrors(paths.map(path => readFile(terminal, path)))
		.map(lists => lists.flat())
		.mapErr(lists => lists.flat())
		.andThen(checkUnique);
}

/** Formats a resource as TOML that `apply` accepts. */
export function formatResource(resource: Resource): string {
	const {kind, ...fields} = resource;
	return stringify({[kind]: [fields]}).trim();
}

function readFile(terminal: Terminal, path: string): ResultAsync<Resource[], FileFailure[]> {
	return terminal.readText(path)
		.mapErr(value => [failure('wrong-file', value.message, {field: path})] as FileFailure[])
		.andThen(text => parseToml(text).mapErr(faults => faults.map(fault => inFile(path, fault))))
		.andThen(input => checkFile(path, input));
}

function checkFile(path: string, input: unknown): Result<Resource[], FileFailure[]> {
	const parsed = fileSchema.safeParse(input);
	if (!parsed.success) {
		return err(inputFailures(parsed.error, input, fileSchema).map(fault => inFile(path, fault)));
	}

	const {service, 'backend-server': backendServers, 'sharing-rule': sharingRules, organisation: organisations} = parsed.data;
	return ok([
		...service.map(fields => ({kind: 'service' as const, ...fields})),
		...backendServers.map(fields => ({kind: 'backend-server' as const, ...fields})),
		...sharingRules.map(fields => ({kind: 'sharing-rule' as const, ...fields})),
		...organisations.map(fields => ({kind: 'organisation' as const, ...fields})),
	]);
}

function inFile(path: string, fault: Failure<string>): FileFailure {
	return failure('wrong-file', formatFailure(fault), {field: path});
}

function checkUnique(resources: Resource[]): Result<Resource[], FileFailure[]> {
	const seen = new Set<string>();
	const repeated = resources.map(resourceKey).filter(key => seen.size === seen.add(key).size);
	return repeated.length === 0 ? ok(resources) : err(repeated.map(key => failure('wrong-file', `${key} is declared twice in the files; allowed: once`)));
}
