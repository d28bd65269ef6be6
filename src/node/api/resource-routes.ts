/** Routes for declared resources: list, get, create, replace, delete, apply a change of several resources, watch, history. */
import {type Context, Hono} from 'hono';
import {err, ok, Result} from 'neverthrow';
import {Maybe} from 'true-myth/maybe';
import {z} from 'zod';
import {failure} from '../../common/errors/failure.ts';
import {
	nameSchema, resourceKey, resourceSchema, type Resource, type ResourceKey, type StoredResource,
} from '../../common/model/resources.ts';
import {
	gatewayProblem, invalidInput, problem, problemResponse,
} from './problems.ts';
import {
	checkInput, readBody, readKey, readNumber, readOperation, readPrecondition,
	type ApiEnvironment,
} from './request-input.ts';
import {
	changeRequestSchema, maxListedResources, resourceKeySchema, resourceKindSchema,
	type ChangeAccepted, type ChangeRequest, type Mutation, type OperatorGateway, type Problem, type ResourceList, type ResourcesInForce,
} from './types.ts';

type ApiContext = Context<ApiEnvironment>;

/** Maximum duration of a watch request; short enough to detect a broken connection. */
const maxWatchMilliseconds = 60_000;
const defaultWatchMilliseconds = 25_000;
const maxHistoryRecords = 1000;
const defaultHistoryRecords = 20;

/** Maximum number of keys in one request; their query fits into the usual limit of a request head. */
const maxKeys = 50;

const listQuerySchema = z.strictObject({
	kind: resourceKindSchema.optional(),
	service: nameSchema.optional(),
	after: z.string().max(128).default(''),
	key: z.array(resourceKeySchema).max(maxKeys).default([]),
});
type ListQuery = z.infer<typeof listQuerySchema>;

/** Creates the routes under `/v1` for resources. */
export function resourceRoutes(gateway: OperatorGateway): Hono<ApiEnvironment> {
	const routes = new Hono<ApiEnvironment>();
	routes.get('/resources', context => listResources(gateway, context));
	routes.post('/resources', async context => createResource(gateway, context));
	routes.get('/resources/:kind/:name', context => getResource(gateway, context));
	routes.put('/resources/:kind/:name', async context => replaceResource(gateway, context));
	routes.delete('/resources/:kind/:name', async context => deleteResource(gateway, context));
	routes.post('/changes', async context => applyChange(gateway, context));
	routes.get('/operations/:operation', context => {
		const state = gateway.operation(context.req.param('operation'));
		return state.match(value => context.json(value), cause => problemResponse(gatewayProblem(cause)));
	});
	routes.get('/watch', async context => watch(gateway, context));
	routes.get('/history', context => history(gateway, context));
	return routes;
}

function listResources(gateway: OperatorGateway, context: ApiContext): Response {
	return readNumber(context, 'limit', maxListedResources, maxListedResources)
		.andThen(limit => checkInput(listQuerySchema, {
			kind: context.req.query('kind'),
			service: context.req.query('service'),
			after: context.req.query('after'),
			key: context.req.queries('key'),
		}).map(query => ({limit, query})))
		.andThen(({limit, query}) => gateway.list(query.kind)
			.map(inForce => query.key.length === 0 ? pageOf(inForce, query, limit) : lookUp(gateway, inForce.version, query.key))
			.mapErr(cause => gatewayProblem(cause)))
		.match(list => context.json(list), problemResponse);
}

/** Returns one page of the resources. Pages are limited so that serialising a large configuration does not delay the VM's calls. */
function pageOf(inForce: ResourcesInForce, query: ListQuery, limit: number): ResourceList {
	const matching = inForce.items.filter(({resource}) => resourceKey(resource) > query.after && (query.service === undefined || serviceOf(resource) === query.service));
	const items = matching.slice(0, limit);
	const last = items.at(-1);
	const isLastPage = matching.length <= limit || last === undefined;
	return {version: inForce.version, items, next: isLastPage ? null : resourceKey(last.resource)};
}

/** Returns the resources in force with the given keys. */
function lookUp(gateway: OperatorGateway, version: number, keys: readonly ResourceKey[]): ResourceList {
	const items = keys.flatMap(key => gateway.get(key).unwrapOr(Maybe.nothing<StoredResource>()).match({Just: stored => [stored], Nothing: () => []}));
	return {version, items, next: null};
}

/** The service that a resource belongs to; undefined for organisations. */
function serviceOf(resource: Resource): string | undefined {
	if (resource.kind === 'organisation') {
		return undefined;
	}

	return resource.kind === 'service' ? resource.name : resource.service;
}

function getResource(gateway: OperatorGateway, context: ApiContext): Response {
	return readKey(context)
		.andThen(key => findResource(gateway, key))
		.match(stored => context.json(stored, 200, {etag: entityTag(stored.metadata.version)}), problemResponse);
}

function findResource(gateway: OperatorGateway, key: ResourceKey): Result<StoredResource, Problem> {
	return gateway.get(key)
		.mapErr(cause => gatewayProblem(cause))
		.andThen(found => found.isJust ? ok(found.value) : err(problem('not-found', `no ${key} is in force`)));
}

async function createResource(gateway: OperatorGateway, context: ApiContext): Promise<Response> {
	const body = await readBody(context, resourceSchema);
	const request = body.andThen(resource => requestOf(context, {type: 'put', resource, expected: 0}));
	return sendChange(gateway, context, request, {isCreation: true, hasPrecondition: false});
}

async function replaceResource(gateway: OperatorGateway, context: ApiContext): Promise<Response> {
	const precondition = readPrecondition(context);
	if (precondition.isErr()) {
		return problemResponse(precondition.error);
	}

	const body = await readBody(context, resourceSchema);
	const {expected} = precondition.value;
	const request = readKey(context)
		.andThen(key => body.andThen(resource => resourceKey(resource) === key ? ok(resource) : err(nameMismatch(key, resourceKey(resource)))))
		.andThen(resource => requestOf(context, {type: 'put', resource, expected}));
	return sendChange(gateway, context, request, {isCreation: expected === 0, hasPrecondition: true});
}

async function deleteResource(gateway: OperatorGateway, context: ApiContext): Promise<Response> {
	const request = readPrecondition(context).andThen(({expected}) => expected === 0
		? err(problem('precondition-required', 'allowed for deletion: If-Match'))
		: readKey(context).andThen(key => requestOf(context, {type: 'delete', key, expected})));
	return sendChange(gateway, context, request, {isCreation: false, hasPrecondition: true});
}

async function applyChange(gateway: OperatorGateway, context: ApiContext): Promise<Response> {
	const body = await readBody(context, changeRequestSchema);
	return sendChange(gateway, context, body, {isCreation: false, hasPrecondition: false});
}

/** Creates the change request for one resource; its identity comes from the client, so that a repeated request is recognised. */
function requestOf(context: ApiContext, mutation: Mutation): Result<ChangeRequest, Problem> {
	return readOperation(context).andThen(operation => checkInput(changeRequestSchema, {
		operation,
		note: context.req.query('note') ?? '',
		mutations: [mutation],
	}));
}

type ChangeShape = {readonly isCreation: boolean; readonly hasPrecondition: boolean};

async function sendChange(gateway: OperatorGateway, context: ApiContext, request: Result<ChangeRequest, Problem>, shape: ChangeShape): Promise<Response> {
	if (request.isErr()) {
		return problemResponse(request.error);
	}

	const outcome = await gateway.change(request.value, context.var.operator.name);
	return outcome.match(
		accepted => acceptedResponse(context, accepted, shape),
		cause => problemResponse(gatewayProblem(cause, shape.hasPrecondition)),
	);
}

function acceptedResponse(context: ApiContext, accepted: ChangeAccepted, shape: ChangeShape): Response {
	return context.json(accepted, shape.isCreation ? 201 : 200, {etag: entityTag(accepted.version)});
}

async function watch(gateway: OperatorGateway, context: ApiContext): Promise<Response> {
	const query = Result.combine([
		readNumber(context, 'after', 0, Number.MAX_SAFE_INTEGER),
		readNumber(context, 'milliseconds', defaultWatchMilliseconds, maxWatchMilliseconds),
	]);
	if (query.isErr()) {
		return problemResponse(query.error);
	}

	const [after, milliseconds] = query.value;
	const update = await gateway.watch(after, milliseconds, context.req.raw.signal);
	return update.match(value => context.json(value), cause => problemResponse(gatewayProblem(cause)));
}

function history(gateway: OperatorGateway, context: ApiContext): Response {
	return readNumber(context, 'limit', defaultHistoryRecords, maxHistoryRecords)
		.andThen(limit => gateway.history(limit).mapErr(cause => gatewayProblem(cause)))
		.match(records => context.json({records}), problemResponse);
}

/** Strong validator (RFC 9110, 8.8.3) from the version of the resource's latest change. */
function entityTag(version: number): string {
	return `"${version}"`;
}

function nameMismatch(expected: ResourceKey, found: ResourceKey): Problem {
	return invalidInput([failure('not-allowed', `found ${found}; allowed: ${expected}, as in the path`, {field: 'name'})]);
}
