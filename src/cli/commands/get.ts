/** `jaydale get`: the declared resources in force. */
import {ok, type Result} from 'neverthrow';
import {
	storedResourceSchema, type Resource, type ResourceKey, type ResourceKind, type StoredResource,
} from '../../common/model/resources.ts';
import {type ApiClient} from '../api-client.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {formatResource} from '../resource-files.ts';
import {readAll} from '../resource-reader.ts';
import {inSession, sessionOptions, tellReadFailure} from '../session.ts';
import {formatMilliseconds, formatTable} from '../table.ts';
import {type CommandCall, type CommandDefinition} from '../types.ts';
import {
	readKind, readResourceKey, readWord, type ParameterFailure,
} from './parameters.ts';
import {tellWrongInput} from './report-invalid-input.ts';

const formats = ['table', 'json', 'toml'] as const;
type Format = (typeof formats)[number];

type Question = {
	/** Query of the list. */
	readonly query: string;
	/** The one resource asked for. */
	readonly key: ResourceKey | undefined;
	readonly format: Format;
};

export const getCommand: CommandDefinition = {
	usage: 'get [kind] [name]',
	describe: 'Show resources in force on the VM that answers. One by name comes as TOML that apply takes back.',
	options: [
		{
			name: 'format', value: 'FORMAT', describe: 'table, json or toml (else table for lists, toml for one)', choices: formats,
		},
		{name: 'service', value: 'NAME', describe: 'Only what belongs to this service'},
		...sessionOptions,
	],
	examples: ['get', 'get service', 'get --service ordering', 'get service ordering', 'get backend-server --format json'],
	async run(call) {
		const question = readQuestion(call);
		return question.isErr()
			? tellWrongInput(call.terminal, question.error)
			: inSession(call, async client => answer(call, client, question.value));
	},
};

function readQuestion(call: CommandCall): Result<Question, ParameterFailure> {
	const [kind, name] = call.parameters;
	const format = readWord('--format', call.options.text('format') ?? (name === undefined ? 'table' : 'toml'), formats);
	const service = call.options.text('service');
	const filter = service === undefined ? '' : `&service=${encodeURIComponent(service)}`;
	return format.andThen(value => {
		if (kind === undefined) {
			return ok({query: filter.slice(1), key: undefined, format: value});
		}

		return name === undefined
			? readKind(kind).map(found => ({query: `kind=${found}${filter}`, key: undefined, format: value}))
			: readResourceKey(kind, name).map(key => ({query: '', key, format: value}));
	});
}

async function answer(call: CommandCall, client: ApiClient, question: Question): Promise<ExitCode> {
	const {terminal} = call;
	if (question.key !== undefined) {
		const one = await client.request('GET', `/v1/resources/${question.key}`, storedResourceSchema);
		return one.match(stored => print(call, [stored], JSON.stringify(stored), question.format), value => tellReadFailure(terminal, value));
	}

	const list = await readAll(client, question.query);
	return list.match(value => {
		if (value.isMixed) {
			terminal.complain('the configuration changed while it was read: parts are of different versions');
		}

		return print(call, value.items, JSON.stringify({version: value.version, items: value.items}), question.format);
	}, value => tellReadFailure(terminal, value));
}

function print(call: CommandCall, items: readonly StoredResource[], json: string, format: Format): ExitCode {
	for (const line of linesOf(items, json, format)) {
		call.terminal.print(line);
	}

	return exitCodes.done;
}

function linesOf(items: readonly StoredResource[], json: string, format: Format): readonly string[] {
	if (format === 'json') {
		return [json];
	}

	if (format === 'toml') {
		return [items.map(item => formatResource(item.resource)).join('\n\n')];
	}

	const tables = [serviceTable(items), backendServerTable(items), sharingRuleTable(items)].filter(table => table.length > 0);
	return tables.length === 0 ? ['nothing is declared'] : tables.flatMap((table, index) => index === 0 ? table : ['', ...table]);
}

type Of<Kind extends ResourceKind> = {readonly resource: Extract<Resource, {kind: Kind}>; readonly version: string};

function ofKind<Kind extends ResourceKind>(items: readonly StoredResource[], kind: Kind): Array<Of<Kind>> {
	return items.flatMap(({resource, metadata}) => isKind(resource, kind) ? [{resource, version: String(metadata.version)}] : []);
}

function isKind<Kind extends ResourceKind>(resource: Resource, kind: Kind): resource is Extract<Resource, {kind: Kind}> {
	return resource.kind === kind;
}

function serviceTable(items: readonly StoredResource[]): string[] {
	const rows = ofKind(items, 'service').map(({resource, version}) => [
		resource.name,
		formatMilliseconds(resource.timeoutMilliseconds),
		String(resource.priority),
		resource.claimsIdempotencyKeys ? 'yes' : 'no',
		`${Number((resource.objective.successShare * 100).toFixed(4))}% in ${formatMilliseconds(resource.objective.latencyMilliseconds)}`,
		`${resource.measuring.callsPerWindow} in ${formatMilliseconds(resource.measuring.windowMilliseconds)}, weight ${resource.measuring.tailWeight}`,
		version,
	]);
	return rows.length === 0 ? [] : formatTable(['SERVICE', 'TIMEOUT', 'PRIORITY', 'CLAIMS KEYS', 'OBJECTIVE', 'MEASURING', 'VERSION'], rows);
}

function backendServerTable(items: readonly StoredResource[]): string[] {
	const rows = ofKind(items, 'backend-server').map(({resource, version}) => [
		resource.name,
		resource.service,
		`${resource.address}:${resource.port}`,
		resource.dataCentre,
		String(resource.slots),
		String(resource.connectionLimit),
		resource.isLeaving ? 'yes' : 'no',
		version,
	]);
	return rows.length === 0 ? [] : formatTable(['BACKEND SERVER', 'SERVICE', 'ADDRESS', 'DATA CENTRE', 'SLOTS', 'CONNECTIONS', 'LEAVING', 'VERSION'], rows);
}

function sharingRuleTable(items: readonly StoredResource[]): string[] {
	const rows = ofKind(items, 'sharing-rule').map(({resource, version}) => [
		resource.name,
		resource.service,
		String(resource.callerShare),
		String(resource.overflowAt),
		version,
	]);
	return rows.length === 0 ? [] : formatTable(['SHARING RULE', 'SERVICE', 'CALLER SHARE', 'OVERFLOW AT', 'VERSION'], rows);
}

