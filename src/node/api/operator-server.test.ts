import {Readable} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {request, type Dispatcher} from 'undici';
import {Logging} from '../logging/logging.ts';
import {noMetrics} from '../metrics/no-metrics.ts';
import {FakeGateway} from './fake-gateway.test.ts';
import {OperatorDirectory} from './operator-directory.ts';
import {OperatorServer} from './operator-server.ts';
import {ResourceApi} from './resource-api.ts';

const token = 'write-token-of-hanna-123';
const bodyBytes = 2048;

async function * inChunks(text: string): AsyncGenerator<string> {
	for (const character of text) {
		yield character;
	}
}

describe('operator server', () => {
	let server: OperatorServer;
	let origin: string;

	beforeEach(async () => {
		server = serverOf(new FakeGateway());
		const port = await server.listen('127.0.0.1', 0);
		origin = `http://127.0.0.1:${port._unsafeUnwrap()}`;
	});

	afterEach(() => {
		server.dispose();
	});

	function serverOf(gateway: FakeGateway): OperatorServer {
		const directory = new OperatorDirectory([{name: 'hanna', role: 'write', token}]);
		const {logger} = new Logging({level: 'error', format: 'json'}, {}, () => undefined);
		return new OperatorServer(new ResourceApi({
			gateway, directory, logger, metrics: noMetrics, bodyBytes,
		}));
	}

	async function send(method: Dispatcher.HttpMethod, path: string, text?: string): Promise<[number, unknown]> {
		const answer = await request(`${origin}${path}`, {
			method,
			headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
			body: text === undefined ? undefined : Readable.from(inChunks(text)),
		});
		const body = await answer.body.text();
		return [answer.statusCode, body === '' ? undefined : JSON.parse(body)];
	}

	// Fails if the size limit rejects chunked bodies or requests without a length.
	it('accepts chunked bodies and requests without a length, and limits the size of both', async function () {
		const change = (note: string) => JSON.stringify({operation: 'operation-1', note, mutations: [{type: 'put', resource: {kind: 'service', name: 'ordering'}}]});
		expect([
			await send('POST', '/v1/changes', change('')),
			await send('POST', '/v1/changes', change('x'.repeat(bodyBytes))),
			await send('DELETE', '/v1/quarantine/f00d'),
			await send('DELETE', '/v1/quarantine/f00d'),
		]).toMatchSnapshot(this);
	});

	// Fails if an operator loses the response to a change because the VM stops.
	it('completes the response to a change in progress when the server ends', async () => {
		const gateway = new FakeGateway();
		const slow = serverOf(Object.assign(gateway, {
			async change(...change: Parameters<FakeGateway['change']>) {
				await delay(200);
				return FakeGateway.prototype.change.apply(gateway, change);
			},
		}));
		const port = await slow.listen('127.0.0.1', 0);
		origin = `http://127.0.0.1:${port._unsafeUnwrap()}`;
		const change = send('POST', '/v1/changes', JSON.stringify({operation: 'operation-1', note: '', mutations: [{type: 'put', resource: {kind: 'service', name: 'ordering'}}]}));
		await delay(100);
		await slow.end();
		slow.dispose();
		const [status] = await change;
		expect(status).toEqual(200);
	});

	it('returns a failure if its port is in use', async () => {
		const port = Number(new URL(origin).port);
		const second = serverOf(new FakeGateway());
		const outcome = await second.listen('127.0.0.1', port);
		second.dispose();
		expect(outcome._unsafeUnwrapErr()).toEqual(expect.subset({kind: 'cannot-listen'}));
	});
});
