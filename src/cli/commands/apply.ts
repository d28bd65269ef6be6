/** `jaydale apply`: applies the resources of files in one change. */
import {isDeepStrictEqual} from 'node:util';
import {Result} from 'neverthrow';
import {failure} from '../../common/errors/failure.ts';
import {
	resourceKey, type Resource, type ResourceKey, type StoredResource,
} from '../../common/model/resources.ts';
import {type Mutation} from '../../node/api/types.ts';
import {type ApiClient} from '../api-client.ts';
import {changeOptions, sendChange} from '../change-sender.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {readResourceFiles} from '../resource-files.ts';
import {readKeys} from '../resource-reader.ts';
import {
	formatOption, withSession, sessionOptions, reportReadFailure,
} from '../session.ts';
import {type CommandContext, type CommandDefinition} from '../types.ts';
import {parseResourceKey} from './parameters.ts';
import {reportInvalidInput} from './report-invalid-input.ts';

type Step = {
	readonly action: 'create' | 'replace' | 'delete' | 'unchanged';
	readonly key: ResourceKey;
	/** Undefined if the resource to delete does not exist. */
	readonly mutation: Mutation | undefined;
};

export const applyCommand: CommandDefinition = {
	usage: 'apply',
	description: 'Apply the resources of TOML files in one change. Resources that are not in the files stay unchanged.',
	options: [
		{
			name: 'file', short: 'f', valueName: 'FILE', description: 'TOML file, or - for standard input; may be repeated',
		},
		{name: 'delete', valueName: 'KIND/NAME', description: 'Delete this resource in the same change; may be repeated'},
		{name: 'dry-run', description: 'Show the changes without making them'},
		...changeOptions,
		formatOption,
		...sessionOptions,
	],
	examples: [
		'apply -f services.toml -f backend-servers.toml --note "spring capacity"',
		'apply -f services.toml --dry-run',
		'apply -f services.toml --wait 5',
		'apply --delete service/archive --delete sharing-rule/archive-judges',
	],
	async run(context) {
		const paths = context.options.texts('file');
		const deletions = Result.combine(context.options.texts('delete').map(text => parseResourceKey(...splitKey(text))));
		if (deletions.isErr()) {
			return reportInvalidInput(context.terminal, deletions.error);
		}

		if (paths.length + deletions.value.length === 0) {
			return reportInvalidInput(context.terminal, failure('wrong-parameter', 'nothing to apply; allowed: -f FILE or --delete KIND/NAME, which may be repeated', {field: '--file'}));
		}

		const resources = await readResourceFiles(context.terminal, paths);
		return resources.isErr()
			? reportInvalidInput(context.terminal, ...resources.error)
			: withSession(context, async client => apply(context, client, resources.value, deletions.value));
	},
};

async function apply(context: CommandContext, client: ApiClient, resources: readonly Resource[], deletions: readonly ResourceKey[]): Promise<ExitCode> {
	const {terminal, options} = context;
	const current = await readKeys(client, [...resources.map(resourceKey), ...deletions]);
	if (current.isErr()) {
		return reportReadFailure(terminal, current.error);
	}

	const steps = planSteps(resources, deletions, current.value.items);
	const changed = steps.filter(step => step.action !== 'unchanged');
	for (const step of steps) {
		terminal.printError(`${step.action} ${step.key}`);
	}

	// An earlier attempt may have been accepted. Sending it again returns its version, even if nothing is left to change.
	const isResend = options.text('operation') !== undefined;
	if (options.isSet('dry-run') || (changed.length === 0 && !isResend)) {
		terminal.printError(changed.length === 0 ? 'nothing to change' : `${changed.length} to change; nothing was changed (--dry-run)`);
		return exitCodes.done;
	}

	const mutations = (isResend ? steps : changed).flatMap(step => step.mutation ?? []);
	return sendChange(context, client, mutations, `${mutations.length} ${mutations.length === 1 ? 'resource' : 'resources'}`);
}

/** Each step expects the version that was read, so that a concurrent change is not overwritten. */
function planSteps(resources: readonly Resource[], deletions: readonly ResourceKey[], current: readonly StoredResource[]): Step[] {
	const byKey = new Map(current.map(item => [resourceKey(item.resource), item]));
	return [
		...resources.map(resource => planPut(resource, byKey.get(resourceKey(resource)))),
		...deletions.map(key => planDelete(key, byKey.get(key))),
	];
}

function planPut(resource: Resource, current: StoredResource | undefined): Step {
	const key = resourceKey(resource);
	const mutation: Mutation = {type: 'put', resource, expected: current?.metadata.version ?? 0};
	if (current === undefined) {
		return {action: 'create', key, mutation};
	}

	return {action: isDeepStrictEqual(current.resource, resource) ? 'unchanged' : 'replace', key, mutation};
}

/** A resource that does not exist needs no deletion. */
function planDelete(key: ResourceKey, current: StoredResource | undefined): Step {
	return current === undefined
		? {action: 'unchanged', key, mutation: undefined}
		: {action: 'delete', key, mutation: {type: 'delete', key, expected: current.metadata.version}};
}

function splitKey(text: string): [string, string] {
	const [kind = '', ...rest] = text.split('/');
	return [kind, rest.join('/')];
}
