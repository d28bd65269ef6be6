/**
 * `jaydale edit`: sets fields of a resource. Fields are set by options, not in an editor: the program starts no other
 * process, and the same edit can be repeated from a script.
 */
import {err, ok, type Result} from 'neverthrow';
import {failure} from '../../common/errors/failure.ts';
import {
	resourceKey, resourceSchema, storedResourceSchema, type Resource, type ResourceKey,
} from '../../common/model/resources.ts';
import {inputFailures, type InputFailure} from '../../common/settings/schema-failures.ts';
import {parseToml} from '../../node/settings/load-settings.ts';
import {type ApiClient} from '../api-client.ts';
import {changeOptions, sendChange} from '../change-sender.ts';
import {type ExitCode} from '../exit-codes.ts';
import {
	formatOption, withSession, sessionOptions, reportReadFailure,
} from '../session.ts';
import {type CommandContext, type CommandDefinition} from '../types.ts';
import {parseResourceKey} from './parameters.ts';
import {reportInvalidInput} from './report-invalid-input.ts';

export const editCommand: CommandDefinition = {
	usage: 'edit <kind> <name>',
	description: 'Set fields of a resource. Nothing is changed if another operator changes it at the same time.',
	options: [
		{name: 'set', valueName: 'FIELD=VALUE', description: 'Field path and TOML value; may be repeated'},
		...changeOptions,
		formatOption,
		...sessionOptions,
	],
	examples: [
		'edit service ordering --set priority=9',
		'edit service archive --set measuring.tailWeight=0.2 --set objective.successShare=0.995',
		'edit backend-server ordering-3 --set isLeaving=true --wait 5',
	],
	async run(context) {
		const [kind = '', name = ''] = context.parameters;
		const key = parseResourceKey(kind, name);
		if (key.isErr()) {
			return reportInvalidInput(context.terminal, key.error);
		}

		return context.options.texts('set').length === 0
			? reportInvalidInput(context.terminal, failure('wrong-parameter', 'nothing to set; allowed: --set FIELD=VALUE, which may be repeated', {field: '--set'}))
			: withSession(context, async client => edit(context, client, key.value));
	},
};

async function edit(context: CommandContext, client: ApiClient, key: ResourceKey): Promise<ExitCode> {
	const current = await client.request('GET', `/v1/resources/${key}`, storedResourceSchema);
	if (current.isErr()) {
		return reportReadFailure(context.terminal, current.error);
	}

	const {resource, metadata} = current.value;
	const edited = setFields(resource, context.options.texts('set'));
	return edited.isErr()
		? reportInvalidInput(context.terminal, ...edited.error)
		: sendChange(context, client, [{type: 'put', resource: edited.value, expected: metadata.version}], key);
}

/** Returns a copy of the resource with the fields set, validated as a whole. The error lists all faults. */
export function setFields(resource: Resource, assignments: readonly string[]): Result<Resource, InputFailure[]> {
	const draft: unknown = structuredClone(resource);
	const faults = assignments.flatMap(assignment => setField(draft, assignment));
	if (faults.length > 0) {
		return err(faults);
	}

	const parsed = resourceSchema.safeParse(draft);
	if (!parsed.success) {
		return err(inputFailures(parsed.error, draft, resourceSchema));
	}

	return resourceKey(parsed.data) === resourceKey(resource)
		? ok(parsed.data)
		: err([failure('not-allowed', 'the kind and name of a resource cannot change; allowed: delete it and apply another one', {field: 'name'})]);
}

function setField(draft: unknown, assignment: string): InputFailure[] {
	const [path = '', ...rest] = assignment.split('=');
	const value = parseToml(`value = ${rest.join('=')}`).unwrapOr(undefined);
	if (rest.length === 0 || !isTable(value)) {
		return [failure('not-allowed', `found ${JSON.stringify(assignment)}; allowed: FIELD=VALUE with a TOML value, such as priority=9 or name="a"`, {field: '--set'})];
	}

	const parents = path.split('.');
	const last = parents.pop() ?? '';
	let table: unknown = draft;
	for (const parent of parents) {
		table = isTable(table) && Object.hasOwn(table, parent) ? table[parent] : undefined;
	}

	if (!isTable(table) || last === '') {
		return [failure('unknown-key', `found ${JSON.stringify(path)}; allowed: a field of the resource, such as measuring.tailWeight`, {field: '--set'})];
	}

	// Defines the property instead of assigning it: `__proto__` must become an own key, which the schema then rejects.
	Object.defineProperty(table, last, {
		value: value.value, enumerable: true, configurable: true, writable: true,
	});
	return [];
}

function isTable(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

