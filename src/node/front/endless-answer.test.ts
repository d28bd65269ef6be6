import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {startFrontend, startRawServer} from './test-utilities.test.ts';

/** Upper bound for the growth of this process, which also has the writers' buffers; the endless answers bring gigabytes. */
const maxGrowthBytes = 200_000_000;

const endlessCallCount = 4;

/** Longer than the test, so that only the bounds on memory end an answer. */
const longStallMilliseconds = 60_000;

const minMilliseconds = 2500;

/** Longer than the timeout of a silent answer, which is the last to end a call. */
const maxMilliseconds = 13_000;

const filler = Buffer.alloc(65_536, 'x');

/** What a backend server writes once and then without end. */
const cases: Readonly<Record<string, readonly [string, Buffer | string]>> = {
	'bytes instead of a head': ['', filler],
	'a header line': ['HTTP/1.1 200 OK\r\nX: ', filler],
	'header lines': ['HTTP/1.1 200 OK\r\n', 'X: y\r\n'.repeat(10_000)],
	'informational answers': ['', 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2000)],
	'a chunk extension': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;', filler],
	'bytes instead of a chunk': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n', filler],
	trailers: ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', 'X: y\r\n'.repeat(10_000)],
	'a body without a length': ['HTTP/1.1 200 OK\r\n\r\n', filler],
	'a chunked body before a close': ['HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n', Buffer.concat([Buffer.from('10000\r\n'), filler, Buffer.from('\r\n')])],
	'bytes after a complete answer': ['HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok', filler],
};

function writeWithoutEnd(socket: Socket, bytes: Buffer | string): void {
	const writeMore = () => {
		while (!socket.destroyed && socket.write(bytes)) {
			// The socket takes more.
		}
	};

	socket.on('drain', writeMore);
	writeMore();
}

describe('a backend server that sends bytes without end', () => {
	for (const [name, [start, endless]] of Object.entries(cases)) {
		// Guards the memory of a VM, and its other calls, against answers that never end.
		it(`does not use up memory and does not hold up other calls: ${name}`, async function () {
			this.timeout(20_000);
			const store = new DisposableStore();
			const port = await startRawServer(store, socket => {
				socket.once('data', () => {
					socket.write(start);
					writeWithoutEnd(socket, endless);
				});
			});
			const front = await startFrontend(store, [port], {stallMilliseconds: longStallMilliseconds});
			const {hostname, port: callerPort, pathname} = new URL(front.url);
			const before = process.memoryUsage().rss;
			for (let call = 0; call < endlessCallCount; call++) {
				const caller = connect(Number(callerPort), hostname);
				store.add(toDisposable(() => {
					caller.destroy();
				}));
				caller.on('error', () => undefined);
				caller.write(`GET ${pathname}/${call} HTTP/1.1\r\nHost: one\r\nJaydale-Timeout-Milliseconds: 1500\r\n\r\n`);
			}

			let growth = 0;
			const statuses = new Set<number>();
			const endedCount = () => front.ended.filter(({service}) => service === 'orders').length;
			const startedAt = Date.now();
			while (Date.now() < startedAt + minMilliseconds || (endedCount() < endlessCallCount && Date.now() < startedAt + maxMilliseconds)) {
				growth = Math.max(growth, process.memoryUsage().rss - before);
				const other = await fetch(front.url.replace('orders', 'unknown'));
				await other.text();
				statuses.add(other.status);
				await delay(20);
			}

			store.dispose();
			expect([growth < maxGrowthBytes ? 'bounded' : growth, [...statuses], endedCount()]).toEqual(['bounded', [404], endlessCallCount]);
		});
	}
});
