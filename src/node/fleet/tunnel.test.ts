import {createServer as createHttpServer} from 'node:http';
import {
	type AddressInfo, createServer, type Server, type Socket,
} from 'node:net';
import {expect} from 'earl';
import {Client} from 'undici';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {noMetrics} from '../metrics/no-metrics.ts';
import {NoRelayError, tunnelConnector} from './tunnel-client.ts';
import {TunnelServer} from './tunnel-server.ts';

async function listen(server: Server): Promise<number> {
	return new Promise(resolve => {
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			resolve((typeof address === 'object' ? address : null as AddressInfo | null)?.port ?? 0);
		});
	});
}

const closeDelimitedHead = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';

describe('tunnels between VMs', () => {
	let owned = new DisposableStore();
	beforeEach(() => {
		owned = new DisposableStore();
	});
	afterEach(() => {
		owned.dispose();
	});

	/** A relay before a backend server; `onSocket` answers each connection. */
	async function start(onSocket: (socket: Socket) => void, hasLink = true) {
		const failed: string[] = [];
		const backend = createServer(onSocket);
		const port = await listen(backend);
		const other = createServer();
		const otherPort = await listen(other);
		const tunnels = new TunnelServer({hasLinkTo: () => hasLink, relayTo: () => 'vm-9:1', onDirectFailed: identity => failed.push(identity)}, noMetrics);
		tunnels.configure(new Map([['i-1', {address: '127.0.0.1', port}], ['i-2', {address: '127.0.0.1', port: 1}], ['i-3', {address: '127.0.0.1', port: otherPort}]]));
		const relay = createHttpServer((incoming, outgoing) => {
			void tunnels.forward(incoming, outgoing);
		});
		const relayPort = await listen(relay);
		owned.add(toDisposable(() => {
			tunnels.dispose();
			relay.closeAllConnections();
			relay.close();
			backend.close();
			other.close();
		}));
		const clientOf = (identity: string) => new Client('http://127.0.0.1:1', {
			connect: tunnelConnector({
				via: `127.0.0.1:${relayPort}`, identity, timeoutMilliseconds: 2000, resetCode: 'RESET',
			}),
		});
		return {
			relay, relayPort, other, tunnels, clientOf, failed,
		};
	}

	it('carry a call and its answer', async () => {
		const {clientOf} = await start(socket => {
			socket.once('data', () => {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nthe answer');
			});
		});
		const answer = await clientOf('i-1').request({method: 'GET', path: '/'});
		expect(await answer.body.text()).toEqual('the answer');
	});

	// Guards callers against a truncated answer that looks complete, if the reset reaches the relay with the last bytes.
	it('report a reset that arrives together with the last bytes of an answer without a length', async () => {
		const {clientOf} = await start(socket => {
			socket.once('data', () => {
				socket.write(`${closeDelimitedHead}half`);
				socket.resetAndDestroy();
			});
		});
		const ends = new Set<string>();
		for (let call = 0; call < 10; call++) {
			try {
				const answer = await clientOf('i-1').request({method: 'GET', path: '/'});
				ends.add(`complete: ${await answer.body.text()}`);
			} catch {
				ends.add('failed');
			}
		}

		expect([...ends]).toEqual(['failed']);
	});

	// Guards against bytes that are lost or reordered, and against a body that is buffered whole in the relay.
	it('carry large bodies in both directions, with back-pressure', async () => {
		const bytes = 8_000_000;
		const body = Buffer.alloc(bytes, 'abcdefghijklmnopqrstuvwxyz');
		let received = 0;
		const {clientOf} = await start(socket => {
			let head = '';
			socket.on('data', chunk => {
				if (head.includes('\r\n\r\n')) {
					received += chunk.length;
				} else {
					head += chunk.toString('latin1');
					received = head.length - head.indexOf('\r\n\r\n') - 4;
				}

				if (received >= bytes) {
					socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${bytes}\r\n\r\n`);
					socket.write(body);
				}
			});
		});
		const answer = await clientOf('i-1').request({method: 'POST', path: '/', body});
		let read = 0;
		let isRight = true;
		for await (const chunk of answer.body as AsyncIterable<Buffer>) {
			isRight &&= chunk.equals(body.subarray(read, read + chunk.length));
			read += chunk.length;
			await new Promise(resolve => {
				setTimeout(resolve, 0);
			});
		}

		expect([received, read, isRight]).toEqual([bytes, bytes, true]);
	});

	// Guards against a truncated answer that looks complete, since an answer without a length ends with its connection.
	it('tell the end of an answer without a length from the loss of the relay', async () => {
		const {clientOf, relay} = await start(socket => {
			socket.once('data', () => {
				socket.write(`${closeDelimitedHead}half`);
			});
		});
		const answer = await clientOf('i-1').request({method: 'GET', path: '/'});
		setTimeout(() => {
			relay.closeAllConnections();
		}, 50);
		let failure = '';
		try {
			await answer.body.text();
		} catch (error) {
			failure = String(error);
		}

		expect(failure.includes('tunnel lost')).toEqual(true);
		const whole = await start(socket => {
			socket.once('data', () => {
				socket.end(`${closeDelimitedHead}whole`);
			});
		});
		const second = await whole.clientOf('i-1').request({method: 'GET', path: '/'});
		expect(await second.body.text()).toEqual('whole');
	});

	// Guards against a second hop, an open proxy, and a VM that is refused itself and so accuses a backend server.
	it('are refused without a link, for unknown backend servers, and as refused only with another backend server as witness', async () => {
		const ignore = () => undefined;
		const codeOf = async (client: Client): Promise<string> => {
			try {
				await client.request({method: 'GET', path: '/'});
				return 'none';
			} catch (error) {
				return error instanceof NoRelayError ? `no relay, hint ${error.hint}` : String(error instanceof Error && 'code' in error ? error.code : error);
			}
		};

		const {clientOf, other} = await start(ignore);
		const withoutLink = await start(ignore, false);
		const codes = [await codeOf(withoutLink.clientOf('i-1')), await codeOf(clientOf('i-9')), await codeOf(clientOf('i-2'))];
		const alone = await start(ignore);
		alone.tunnels.configure(new Map([['i-2', {address: '127.0.0.1', port: 1}]]));
		expect([...codes, await codeOf(alone.clientOf('i-2')), other.listening]).toEqual([
			'no relay, hint vm-9:1', 'ENOENT', 'ECONNREFUSED', 'no relay, hint vm-9:1', true,
		]);
	});

	// Guards against checks that spread from VM to VM when a backend server crashes, as each relay that is refused asks another one.
	it('make a relay doubt its own link only if it reaches no other backend server', async () => {
		const {clientOf, failed, tunnels} = await start(() => undefined);
		const send = async () => clientOf('i-2').request({method: 'GET', path: '/'}).catch(() => undefined);
		await send();
		const doubtsAsWitness = failed.length;
		tunnels.configure(new Map([['i-2', {address: '127.0.0.1', port: 1}]]));
		await send();
		expect([doubtsAsWitness, failed]).toEqual([0, ['i-2']]);
	});

	// Guards against a request with a malformed identity, which would end the process.
	it('are refused for a malformed identity', async () => {
		const {relayPort} = await start(() => undefined);
		const client = new Client(`http://127.0.0.1:${relayPort}`);
		const answer = await client.request({method: 'POST', path: '/tunnels/%E0%A4%A'});
		await answer.body.text();
		await client.close();
		expect(answer.statusCode).toEqual(404);
	});

	// Guards against work that goes on at a backend server after the VM that asked has cancelled it.
	it('close the connection to the backend server when the caller side ends', async () => {
		const closed = new Promise<void>(resolve => {
			void start(socket => {
				socket.once('data', () => {
					socket.once('close', () => {
						resolve();
					});
				});
			}).then(async ({clientOf}) => {
				const client = clientOf('i-1');
				client.request({method: 'GET', path: '/'}).catch(() => undefined);
				setTimeout(() => {
					void client.destroy();
				}, 50);
			});
		});
		await closed;
	});
});
