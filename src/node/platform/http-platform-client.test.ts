import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {expect} from 'earl';
import {PlatformStandIn} from '../../stand-ins/platform/platform-stand-in.ts';
import {HttpPlatformClient} from './http-platform-client.ts';

async function listen(server: Server): Promise<string> {
	return new Promise(resolve => {
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			const port = typeof address === 'object' ? address?.port : undefined;
			resolve(`http://127.0.0.1:${port}`);
		});
	});
}

async function withServer<T>(answer: (request: IncomingMessage, response: ServerResponse) => void, use: (base: string) => Promise<T>): Promise<T> {
	const server = createServer(answer);
	const base = await listen(server);
	try {
		return await use(base);
	} finally {
		server.closeAllConnections();
		server.close();
	}
}

const write = {
	type: 'compare-and-swap', key: 'a', expected: 0, value: 'one',
} as const;
const read = {type: 'get', key: 'a'} as const;

describe('platform client', () => {
	it('executes each operation against the stand-in', async function () {
		const standIn = new PlatformStandIn(0, '127.0.0.1');
		const started = await standIn.start();
		const port = started.unwrapOr(0);
		const client = new HttpPlatformClient(`http://127.0.0.1:${port}`, 1000);
		const lease = await client.execute({type: 'grant-lease', milliseconds: 5000});
		const replies = [
			lease,
			await client.execute(read),
			await client.execute({...write, leaseId: 'lease-1'}),
			await client.execute(write),
			await client.execute({type: 'list', prefix: 'a'}),
			await client.execute({
				type: 'watch', prefix: 'a', after: 0, milliseconds: 100,
			}),
			await client.execute({
				type: 'watch', prefix: 'b', after: 0, milliseconds: 10,
			}),
			await client.execute({type: 'keep-lease', leaseId: 'lease-1'}),
			await client.execute({type: 'delete', key: 'a', expected: 1}),
			await client.execute({type: 'revoke-lease', leaseId: 'lease-1'}),
			await client.execute({type: 'keep-lease', leaseId: 'lease-1'}),
			await client.listVms(),
		];
		client.dispose();
		standIn.dispose();
		expect(replies).toMatchSnapshot(this);
	});

	// Guards against treating a lost, truncated or late answer to a write as a refusal: operators would see a change as
	// refused that is in force.
	it('distinguishes a lost answer to a write from a request that was never sent', async function () {
		const outcomes: Record<string, unknown> = {};
		const answers: Record<string, (request: IncomingMessage, response: ServerResponse) => void> = {
			cut(request) {
				request.socket.destroy();
			},
			silent() {
				// Never answers.
			},
			broken(_request, response) {
				response.end('{"type":');
			},
			'wrong form'(_request, response) {
				response.end('{"type":"written"}');
			},
			'server error'(_request, response) {
				response.writeHead(500).end('{"type":"written","revision":1}');
			},
		};
		for (const [name, answer] of Object.entries(answers)) {
			outcomes[name] = await withServer(answer, async base => {
				const client = new HttpPlatformClient(base, 200);
				const result = {write: await client.execute(write), read: await client.execute(read), list: await client.listVms()};
				client.dispose();
				return result;
			});
		}

		const client = new HttpPlatformClient(await withServer(() => undefined, async base => base), 200);
		outcomes['connection refused'] = {write: await client.execute(write), read: await client.execute(read)};
		client.dispose();
		expect(outcomes).toMatchSnapshot(this);
	});
});
