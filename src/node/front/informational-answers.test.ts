import {type Socket} from 'node:net';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {JaydaleDialect} from '../../common/protocol/jaydale-dialect.ts';
import {BackendConnections} from './backend-connections.ts';
import {HttpLoadProbeClient} from './http-load-probe-client.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

const informational = 'HTTP/1.1 103 Early Hints\r\n\r\n';
const final = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

function writeWithoutEnd(socket: Socket, text: string): void {
	const writeMore = () => {
		while (!socket.destroyed && socket.write(text)) {
			// The socket takes more.
		}
	};

	socket.on('drain', writeMore);
	writeMore();
}

describe('informational answers', () => {
	const owned = new DisposableStore();
	after(() => {
		owned.dispose();
	});

	// Guards other callers of a VM against a backend server that keeps its event loop busy with messages that are no answer.
	it('end an attempt if they do not end themselves', async () => {
		const port = await startRawServer(owned, socket => {
			socket.once('data', () => {
				writeWithoutEnd(socket, informational.repeat(2000));
			});
		});
		const front = await startFrontend(owned, [port], {stallMilliseconds: 1000});
		const answer = await fetch(`${front.url}/1`, {headers: {'jaydale-timeout-milliseconds': '30000'}});
		expect([answer.status, await answer.json()]).toEqual([502, expect.subset({type: 'urn:jaydale:problem:outcome-unknown'})]);
	});

	it('are ignored before an answer', async () => {
		const port = await startRawServer(owned, socket => {
			socket.once('data', () => {
				socket.write(informational.repeat(3) + final);
			});
		});
		const front = await startFrontend(owned, [port], {stallMilliseconds: 1000});
		const answer = await fetch(`${front.url}/1`);
		expect([answer.status, await answer.text()]).toEqual([200, 'ok']);
	});

	const endless: Readonly<Record<string, readonly [string, string]>> = {
		'informational answers': ['', informational.repeat(2000)],
		'a body': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '8\r\n01234567\r\n'.repeat(5000)],
	};
	for (const [name, [start, more]] of Object.entries(endless)) {
		// Guards against a connection, and the event loop's time, that a load probe takes until long after its timeout.
		it(`end a load probe: ${name} without end`, async () => {
			const connections = owned.add(new BackendConnections({connectMilliseconds: 1000, idleMilliseconds: 5000}));
			const events: unknown[] = [];
			await new Promise<void>(resolve => {
				void startRawServer(owned, socket => {
					socket.once('data', () => {
						socket.write(start);
						writeWithoutEnd(socket, more);
					});
					socket.once('close', () => {
						resolve();
					});
				}).then(port => {
					new HttpLoadProbeClient(connections, new JaydaleDialect()).probe({
						type: 'measure', service: 'orders', path: '/load', loadProbeId: 1, identity: 'one', address: '127.0.0.1', port, timeoutMilliseconds: 30_000,
					}, {
						feed(event) {
							events.push(event);
						},
					});
				});
			});
			expect(events).toEqual([expect.subset({type: 'measured', report: undefined})]);
		});
	}
});
