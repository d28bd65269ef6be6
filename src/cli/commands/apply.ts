/** `jaydale apply`: makes what files declare be in force, all of it together. */
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
	formatOption, inSession, sessionOptions, tellReadFailure,
} from '../session.ts';
import {type CommandCall, type CommandDefinition} from '../types.ts';
import {readResourceKey} from './parameters.ts';
import {tellWrongInput} from './report-invalid-input.ts';

type Step = {
	readonly action: 'create' | 'replace' | 'delete' | 'unchanged';
	readonly key: ResourceKey;
	/** Undefined = there is nothing to send. */
	readonly mutation: Mutation | undefined;
};

export const applyCommand: CommandDefinition = {
	usage: 'apply',
	describe: 'Put resources from TOML files in force, all in one change. Resources that are not in the files stay as they are.',
	options: [
		{
			name: 'file', short: 'f', value: 'FILE', describe: 'A TOML file, - for standard input; may stand several times',
		},
		{name: 'delete', value: 'KIND/NAME', describe: 'Delete this resource in the same change; may stand several times'},
		{name: 'dry-run', describe: 'Only show what would change'},
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
	async run(call) {
		const paths = call.options.texts('file');
		const deletions = Result.combine(call.options.texts('delete').map(text => readResourceKey(...splitKey(text))));
		if (deletions.isErr()) {
			return tellWrongInput(call.terminal, deletions.error);
		}

		if (paths.length + deletions.value.length === 0) {
			return tellWrongInput(call.terminal, failure('wrong-parameter', 'nothing to apply; allowed: -f FILE, once or several times', {field: '--file'}));
		}

		const resources = await readResourceFiles(call.terminal, paths);
		return resources.isErr()
			? tellWrongInput(call.terminal, ...resources.error)
			: inSession(call, async client => apply(call, client, resources.value, deletions.value));
	},
};

async function apply(call: CommandCall, client: ApiClient, resources: readonly Resource[], deletions: readonly ResourceKey[]): Promise<ExitCode> {
	const {terminal, options} = call;
	const present = await readKeys(client, [...resources.map(resourceKey), ...deletions]);
	if (present.isErr()) {
		return tellReadFailure(terminal, present.error);
	}

	const steps = planSteps(resources, deletions, present.value.items);
	const changed = steps.filter(step => step.action !== 'unchanged');
	for (const step of steps) {
		terminal.complain(`${step.action} ${step.key}`);
	}

	// An earlier try may have been accepted: sending it again tells its version.
	const isRepetition = options.text('operation') !== undefined;
	if (options.isSet('dry-run') || (changed.length === 0 && !isRepetition)) {
		terminal.complain(changed.length === 0 ? 'nothing to change' : `${changed.length} to change; nothing was changed (--dry-run)`);
		return exitCodes.done;
	}

	const sent = (isRepetition ? steps : changed).flatMap(step => step.mutation ?? []);
	return sendChange(call, client, sent, `${sent.length} ${sent.length === 1 ? 'resource' : 'resources'}`);
}

/** Each step names the version it was planned against, so that a change that comes between is not overwritten. */
function planSteps(resources: readonly Resource[], deletions: readonly ResourceKey[], present: readonly StoredResource[]): Step[] {
	const byKey = new Map(present.map(item => [resourceKey(item.resource), item]));
	return [
		...resources.map(resource => planPut(resource, byKey.get(resourceKey(resource)))),
		...deletions.map(key => planDelete(key, byKey.get(key))),
	];
}

function planPut(resource: Resource, present: StoredResource | undefined): Step {
	const key = resourceKey(resource);
	const mutation: Mutation = {type: 'put', resource, expected: present?.metadata.version ?? 0};
	if (present === undefined) {
		return {action: 'create', key, mutation};
	}

	return {action: isDeepStrictEqual(present.resource, resource) ? 'unchanged' : 'replace', key, mutation};
}

/** What is gone already needs no deletion. */
function planDelete(key: ResourceKey, present: StoredResource | undefined): Step {
	return present === undefined
		? {action: 'unchanged', key, mutation: undefined}
		: {action: 'delete', key, mutation: {type: 'delete', key, expected: present.metadata.version}};
}

function splitKey(text: string): [string, string] {
	const [kind = '', ...rest] = text.split('/');
	return [kind, rest.join('/')];
}
