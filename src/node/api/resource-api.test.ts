import {expect} from 'earl';
import * as fastCheck from 'fast-check';
import {Logging} from '../logging/logging.ts';
import {noMetrics} from '../metrics/no-metrics.ts';
import {resourceKey} from '../../common/model/resources.ts';
import {FakeGateway} from './fake-gateway.test.ts';
import {OperatorDirectory} from './operator-directory.ts';
import {ResourceApi} from './resource-api.ts';
import {resourceListSchema, type ResourceList} from './types.ts';

const writeToken = 'write-token-of-hanna-123';
const readToken = 'read-token-of-jan-123456';
const bodyBytes = 200_000;

const {logger} = new Logging({level: 'error', format: 'json'}, {}, () => undefined);

type Send = {
	readonly token?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
	readonly raw?: string;
};

describe('resource API', () => {
	let gateway: FakeGateway;
	let answered: string[];
	let api: ResourceApi;

	beforeEach(() => {
		gateway = new FakeGateway();
		answered = [];
		const directory = new OperatorDirectory([
			{name: 'hanna', role: 'write', token: writeToken},
			{name: 'jan', role: 'read', token: readToken},
		]);
		api = new ResourceApi({
			gateway, directory, logger, bodyBytes, metrics: {...noMetrics, operatorAnswered: (method, status) => answered.push(`${method} ${status}`)},
		});
	});

	async function send(method: string, path: string, options: Send = {}): Promise<{status: number; etag: string | null; body: unknown}> {
		const {token = writeToken, headers = {}, body, raw} = options;
		const text = raw ?? (body === undefined ? undefined : JSON.stringify(body));
		const answer = await api.handle(new Request(`http://vm${path}`, {
			method,
			headers: {
				...(token !== '' && {authorization: `Bearer ${token}`}),
				...(text !== undefined && {'content-type': 'application/json'}),
				...headers,
			},
			body: text,
		}));
		const answerText = await answer.text();
		return {status: answer.status, etag: answer.headers.get('etag'), body: answerText === '' ? undefined : JSON.parse(answerText)};
	}

	async function listOf(query: string): Promise<ResourceList> {
		const {body} = await send('GET', `/v1/resources?${query}`);
		return resourceListSchema.parse(body);
	}

	const service = {kind: 'service', name: 'ordering'};

	it('creates, reads, replaces with an expected version, and deletes a resource', async function () {
		const answers = [
			await send('POST', '/v1/resources', {body: service, headers: {'idempotency-key': 'operation-1'}}),
			await send('GET', '/v1/resources/service/ordering', {token: readToken}),
			await send('PUT', '/v1/resources/service/ordering', {body: {...service, priority: 9}, headers: {'if-match': '"1"', 'idempotency-key': 'operation-2'}}),
			await send('GET', '/v1/resources?kind=backend-server'),
			await send('DELETE', '/v1/resources/service/ordering', {headers: {'if-match': '"2"', 'idempotency-key': 'operation-3'}}),
			await send('GET', '/v1/resources/service/ordering'),
			await send('GET', '/v1/history?limit=2'),
			await send('GET', '/v1/watch?after=2'),
		];
		expect(answers).toMatchSnapshot(this);
	});

	// Fails if an operator can overwrite a change that was made after the version that the operator read.
	it('rejects the second of two conflicting changes and names the first', async function () {
		await send('POST', '/v1/resources', {body: service, headers: {'idempotency-key': 'operation-1'}});
		await send('PUT', '/v1/resources/service/ordering', {body: {...service, priority: 9}, headers: {'if-match': '"1"', 'idempotency-key': 'operation-2'}});
		const loser = await send('PUT', '/v1/resources/service/ordering', {body: {...service, priority: 1}, headers: {'if-match': '"1"'}});
		const creator = await send('POST', '/v1/resources', {body: service});
		expect([loser, creator]).toMatchSnapshot(this);
		expect(gateway.version).toEqual(2);
	});

	// Fails if an accepted change is reported as refused, or if a repeated change is applied twice.
	it('reports an unknown outcome, resolves it, and applies a repeated change once', async function () {
		const change = {operation: 'operation-1', mutations: [{type: 'put', resource: service, expected: 0}]};
		gateway.storeState = 'loses-answers';
		const lost = await send('POST', '/v1/changes', {body: change});
		const asked = await send('GET', '/v1/operations/operation-1');
		gateway.storeState = 'well';
		const repeated = await send('POST', '/v1/changes', {body: change});
		const other = await send('GET', '/v1/operations/operation-9');
		expect([lost, asked, repeated, other]).toMatchSnapshot(this);
		expect(gateway.version).toEqual(1);
	});

	it('rejects invalid input, names the invalid field and changes nothing', async function () {
		const json = {'content-type': 'application/json'};
		const answers = [
			await send('POST', '/v1/resources', {
				body: {
					kind: 'service', name: 'Ordering', prioritty: 3, measuring: {tailWeight: 2},
				},
			}),
			await send('POST', '/v1/resources', {body: {kind: 'servce', name: 'a'}}),
			await send('POST', '/v1/resources', {raw: '{"kind":'}),
			await send('POST', '/v1/resources', {raw: 'null'}),
			await send('POST', '/v1/resources', {body: service, headers: {'content-type': 'text/plain'}}),
			await send('POST', '/v1/resources', {body: service, headers: {'idempotency-key': 'x'}}),
			await send('POST', '/v1/resources', {raw: JSON.stringify({...service, note: 'x'.repeat(bodyBytes)})}),
			await send('PUT', '/v1/resources/service/ordering', {body: service}),
			await send('PUT', '/v1/resources/service/ordering', {body: service, headers: {...json, 'if-match': '1'}}),
			await send('PUT', '/v1/resources/service/ordering', {body: {...service, name: 'other'}, headers: {'if-none-match': '*'}}),
			await send('PUT', '/v1/resources/servicio/ordering', {body: service, headers: {'if-none-match': '*'}}),
			await send('DELETE', '/v1/resources/service/ordering'),
			await send('POST', '/v1/changes', {body: {operation: 'operation-1', mutations: []}}),
			await send('POST', '/v1/changes', {body: {operation: 'operation-1', mutations: [{type: 'put', resource: service}, {type: 'put', resource: {kind: 'backend-server', name: 'b'}}]}}),
			await send('GET', '/v1/resources?kind=thing'),
			await send('GET', '/v1/watch?after=-1'),
			await send('GET', '/v1/history?limit=many'),
			await send('PUT', '/v1/log-level', {body: {level: 'loud'}}),
			await send('POST', '/v1/vms/vm-9/drain'),
			await send('GET', '/v2'),
		];
		expect(answers.map(({status, body}) => ({status, body}))).toMatchSnapshot(this);
		expect(gateway.version).toEqual(0);
		expect(gateway.logLevel()).toEqual('info');
	});

	it('admits only known operators, and changes only by operators with the role write', async function () {
		const answers = [
			await send('GET', '/v1/status', {token: ''}),
			await send('GET', '/v1/status', {token: `${writeToken}x`}),
			await send('GET', '/v1/status', {headers: {authorization: 'Basic aGFubmE='}}),
			await send('POST', '/v1/resources', {token: readToken, body: service}),
			await send('POST', '/v1/vms/10.0.0.2:7001/drain', {token: readToken}),
		];
		expect(answers).toMatchSnapshot(this);
		const allowed = await send('GET', '/v1/status', {token: readToken});
		expect(allowed.status).toEqual(200);
		expect(gateway.version).toEqual(0);
	});

	// Fails if thousands of resources are serialised in one response, which delays calls.
	it('lists resources in pages and looks up single keys', async () => {
		const services = Array.from({length: 1200}, (_, index) => ({type: 'put', resource: {kind: 'service', name: `s${index}`}}));
		const server = {
			kind: 'backend-server', name: 'b', service: 's7', address: '10.0.0.1', port: 9000, dataCentre: 'gdansk-1',
		};
		for (const part of [services.slice(0, 1000), [...services.slice(1000), {type: 'put', resource: server}]]) {
			const {status} = await send('POST', '/v1/changes', {body: {operation: `operation-${part.length}`, mutations: part}});
			expect(status).toEqual(200);
		}

		const pages: number[] = [];
		const seen = new Set<string>();
		let next: string | null = '';
		while (next !== null) {
			const page = await listOf(`after=${next}`);
			pages.push(page.items.length);
			for (const item of page.items) {
				seen.add(resourceKey(item.resource));
			}

			next = page.next;
		}

		expect([pages, seen.size]).toEqual([[500, 500, 201], 1201]);
		const namesOf = async (query: string) => {
			const {items} = await listOf(query);
			return items.map(item => resourceKey(item.resource));
		};

		expect(await namesOf('service=s7')).toEqual(['backend-server/b', 'service/s7']);
		expect(await namesOf('kind=service&limit=2&after=service/s1198')).toEqual(['service/s1199', 'service/s12']);
		expect(await namesOf('key=service/s5&key=service/none&key=backend-server/b')).toEqual(['service/s5', 'backend-server/b']);
		const wrong = await send('GET', '/v1/resources?key=service&limit=501');
		expect(wrong.status).toEqual(400);
	});

	it('never returns an internal error or changes anything for invalid bodies', async () => {
		const change = fastCheck.record({
			operation: fastCheck.oneof(fastCheck.constant('operation-1'), fastCheck.jsonValue()),
			note: fastCheck.oneof(fastCheck.constant('note'), fastCheck.jsonValue()),
			mutations: fastCheck.oneof(fastCheck.jsonValue(), fastCheck.array(fastCheck.oneof(fastCheck.jsonValue(), fastCheck.record({
				type: fastCheck.constantFrom('put', 'delete', 'other'),
				resource: fastCheck.oneof(fastCheck.jsonValue(), fastCheck.record({
					kind: fastCheck.constantFrom('service', 'backend-server', 'other'),
					name: fastCheck.string(),
					objective: fastCheck.jsonValue(),
				}, {requiredKeys: []})),
				key: fastCheck.oneof(fastCheck.string(), fastCheck.constant('service/a')),
				expected: fastCheck.jsonValue(),
			}, {requiredKeys: ['type']})))),
		}, {requiredKeys: []});
		const text = fastCheck.oneof(fastCheck.string(), fastCheck.oneof(change, fastCheck.jsonValue()).map(value => JSON.stringify(value)));
		const target = fastCheck.constantFrom(['POST', '/v1/changes'], ['POST', '/v1/resources'], ['PUT', '/v1/resources/service/a'], ['PUT', '/v1/log-level']);
		await fastCheck.assert(fastCheck.asyncProperty(target, text, async ([method, path], raw) => {
			const before = gateway.version;
			const {status} = await send(method, path, {raw, headers: {'if-none-match': '*'}});
			expect(status).not.toEqual(500);
			expect(gateway.version).toEqual(status < 300 && path !== '/v1/log-level' ? before + 1 : before);
		}), {seed: 20_261_202, numRuns: 2000});
	});

	it('reports "unavailable" and not "unknown" if the store cannot be reached', async function () {
		gateway.storeState = 'out';
		expect(await send('POST', '/v1/resources', {body: service})).toMatchSnapshot(this);
		expect(answered).toEqual(['POST 503']);
	});
});
