/** `jaydale get`: shows the declared resources in force. */
import {ok, type Result} from 'neverthrow';
import {
	storedResourceSchema, type Resource, type ResourceKey, type ResourceKind, type StoredResource,
} from '../../common/model/resources.ts';
import {type ApiClient} from '../api-client.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {formatResource} from '../resource-files.ts';
import {readAll} from '../resource-reader.ts';
import {withSession, sessionOptions, reportReadFailure} from '../session.ts';
import {formatMilliseconds, formatTable} from '../table.ts';
import {type CommandContext, type CommandDefinition} from '../types.ts';
import {
	parseKind, parseResourceKey, parseChoice, type ParameterFailure,
} from './parameters.ts';
import {reportInvalidInput} from './report-invalid-input.ts';

const formats = ['table', 'json', 'toml'] as const;
type Format = (typeof formats)[number];

type GetRequest = {
	/** Query parameters of a list request; unused if `key` is set. */
	readonly query: string;
	/** Key of a single requested resource; undefined for a list. */
	readonly key: ResourceKey | undefined;
	readonly format: Format;
};

export const getCommand: CommandDefinition = {
	usage: 'get [kind] [name]',
	description: 'Show resources in force on the VM that answers. A single resource is shown as TOML that apply accepts.',
	options: [
		{
			name: 'format', valueName: 'FORMAT', description: 'table, json or toml (default: table for lists, toml for a single resource)', choices: formats,
		},
		{name: 'service', valueName: 'NAME', description: 'Only resources of this service'},
		...sessionOptions,
	],
	examples: ['get', 'get service', 'get --service ordering', 'get service ordering', 'get backend-server --format json'],
	async run(context) {
		const request = parseRequest(context);
		return request.isErr()
			? reportInvalidInput(context.terminal, request.error)
			: withSession(context, async client => getResources(context, client, request.value));
	},
};

function parseRequest(context: CommandContext): Result<GetRequest, ParameterFailure> {
	const [kind, name] = context.parameters;
	const format = parseChoice('--format', context.options.text('format') ?? (name === undefined ? 'table' : 'toml'), formats);
	const service = context.options.text('service');
	const filter = service === undefined ? '' : `&service=${encodeURIComponent(service)}`;
	return format.andThen(value => {
		if (kind === undefined) {
			return ok({query: filter.slice(1), key: undefined, format: value});
		}

		return name === undefined
			? parseKind(kind).map(found => ({query: `kind=${found}${filter}`, key: undefined, format: value}))
			: parseResourceKey(kind, name).map(key => ({query: '', key, format: value}));
	});
}

async function getResources(context: CommandContext, client: ApiClient, request: GetRequest): Promise<ExitCode> {
	const {terminal} = context;
	if (request.key !== undefined) {
		const one = await client.request('GET', `/v1/resources/${request.key}`, storedResourceSchema);
		return one.match(stored => printItems(context, [stored], JSON.stringify(stored), request.format), value => reportReadFailure(terminal, value));
	}

	const list = await readAll(client, request.query);
	return list.match(value => {
		if (value.hasMixedVersions) {
			terminal.printError('the configuration changed during the read: the resources may be of different versions');
		}

		return printItems(context, value.items, JSON.stringify({version: value.version, items: value.items}), request.format);
	}, value => reportReadFailure(terminal, value));
}

function printItems(context: CommandContext, items: readonly StoredResource[], json: string, format: Format): ExitCode {
	for (const line of formatItems(items, json, format)) {
		context.terminal.print(line);
	}

	return exitCodes.done;
}

function formatItems(items: readonly StoredResource[], json: string, format: Format): readonly string[] {
	if (format === 'json') {
		return [json];
	}

	if (format === 'toml') {
		return [items.map(item => formatResource(item.resource)).join('\n\n')];
	}

	const tables = [serviceTable(items), backendServerTable(items), sharingRuleTable(items), organisationTable(items)].filter(table => table.length > 0);
	return tables.length === 0 ? ['nothing is declared'] : tables.flatMap((table, index) => index === 0 ? table : ['', ...table]);
}

type ResourceRow<Kind extends ResourceKind> = {readonly resource: Extract<Resource, {kind: Kind}>; readonly version: string};

function filterByKind<Kind extends ResourceKind>(items: readonly StoredResource[], kind: Kind): Array<ResourceRow<Kind>> {
	return items.flatMap(({resource, metadata}) => isKind(resource, kind) ? [{resource, version: String(metadata.version)}] : []);
}

function isKind<Kind extends ResourceKind>(resource: Resource, kind: Kind): resource is Extract<Resource, {kind: Kind}> {
	return resource.kind === kind;
}

function serviceTable(items: readonly StoredResource[]): string[] {
	const rows = filterByKind(items, 'service').map(({resource, version}) => [
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
	const rows = filterByKind(items, 'backend-server').map(({resource, version}) => [
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
	const rows = filterByKind(items, 'sharing-rule').map(({resource, version}) => [
		resource.name,
		resource.service,
		String(resource.callerShare),
		String(resource.overflowAt),
		version,
	]);
	return rows.length === 0 ? [] : formatTable(['SHARING RULE', 'SERVICE', 'CALLER SHARE', 'OVERFLOW AT', 'VERSION'], rows);
}

function organisationTable(items: readonly StoredResource[]): string[] {
	const rows = filterByKind(items, 'organisation').map(({resource, version}) => [
		resource.name,
		String(resource.keyDigests.length),
		resource.priority === undefined ? 'none' : String(resource.priority),
		version,
	]);
	return rows.length === 0 ? [] : formatTable(['ORGANISATION', 'KEYS', 'PRIORITY', 'VERSION'], rows);
}
