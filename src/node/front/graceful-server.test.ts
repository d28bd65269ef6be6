import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type CutAnswer, GracefulServer} from './graceful-server.ts';

/** More than the system takes in for a caller that does not read. */
const largeBytes = 16_000_000;

function head(path: string, bodyBytes = 0): string {
	return `POST ${path} HTTP/1.1\r\nhost: one.example\r\ncontent-length: ${bodyBytes}\r\n\r\n`;
}

describe('a door that ends its connections', () => {
	let store: DisposableStore;
	beforeEach(() => {
		store = new DisposableStore();
	});
	afterEach(() => {
		store.dispose();
	});

	/** One more caller of this server. */
	async function connectTo(server: GracefulServer): Promise<Socket> {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a server on a port has such an address.
		const {port} = server.address() as AddressInfo;
		const caller = connect(port, '127.0.0.1');
		caller.on('error', () => undefined);
		store.add(toDisposable(() => caller.destroy()));
		await once(caller, 'connect');
		return caller;
	}

	async function open(take: (path: string, outgoing: ServerResponse) => void): Promise<{server: GracefulServer; caller: Socket; cuts: CutAnswer[]}> {
		const server = new GracefulServer({}, (incoming, outgoing) => {
			incoming.resume();
			take(incoming.url!, outgoing);
		});
		const cuts: CutAnswer[] = [];
		server.onCut(cut => cuts.push(cut));
		store.add(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return {server, caller: await connectTo(server), cuts};
	}

	/** Everything until the connection ends. */
	async function readAll(caller: Socket): Promise<string> {
		let text = '';
		caller.on('data', (chunk: Buffer) => {
			text += chunk.toString('latin1');
		});
		if (!caller.destroyed) {
			await once(caller, 'close');
		}

		return text;
	}

	// Story: a caller sends two payments at once on one connection. The first one's answer ends the connection, since the VM stops;
	// the second was handed on already, and was made with nobody left to be told.
	it('answers a call that was sent behind another before it ends the connection', async () => {
		const taken: string[] = [];
		const answers: ServerResponse[] = [];
		const {server, caller} = await open((path, outgoing) => {
			taken.push(path);
			answers.push(outgoing);
		});
		caller.write(head('/1'));
		while (answers.length === 0) {
			await delay(1);
		}

		server.leave();
		caller.write(head('/2'));
		await delay(20);
		expect(taken).toEqual(['/1']);
		answers[0]!.end('first');
		while (answers.length === 1) {
			await delay(1);
		}

		answers[1]!.end('second');
		const text = await readAll(caller);
		expect([taken, text.split('HTTP/1.1 200').length - 1, text.split(/connection: close/iv).length - 1]).toEqual([['/1', '/2'], 2, 1]);
	});

	it('never takes a call that comes behind the answer which ends its connection', async () => {
		const taken: string[] = [];
		const {server, caller} = await open((path, outgoing) => {
			taken.push(path);
			outgoing.writeHead(200, {'content-length': 5});
			outgoing.write('fi');
			setTimeout(() => outgoing.end('rst'), 50);
		});
		server.leave();
		caller.write(head('/1'));
		await once(caller, 'readable');
		caller.write(head('/2'));
		const text = await readAll(caller);
		expect([taken, text.endsWith('first')]).toEqual([['/1'], true]);
	});

	// Story: a caller is refused while it still sends a large body. The connection is closed with unread bytes of that body, which
	// resets it, and the reset throws the refusal away: the caller cannot know that its payment was not made.
	it('lets a refusal arrive while its caller still sends', async () => {
		const {server, caller} = await open((_path, outgoing) => {
			outgoing.writeHead(503, {'content-length': 2});
			outgoing.end('no');
		});
		server.leave();
		caller.write(head('/1', largeBytes));
		const sending = setInterval(() => caller.write(Buffer.alloc(100_000)), 1);
		setTimeout(() => {
			clearInterval(sending);
			caller.end();
		}, 200);
		const text = await readAll(caller);
		expect(text.startsWith('HTTP/1.1 503')).toEqual(true);
	});

	it('ends idle connections, and neither those with half a call in nor those with an answer to hand over', async () => {
		const {server, caller: slow, cuts} = await open((_path, outgoing) => {
			outgoing.end(Buffer.alloc(largeBytes));
		});
		const idle = await connectTo(server);
		const half = await connectTo(server);
		half.write('GET /half HTT');
		slow.write(head('/slow'));
		await delay(50);
		server.leave();
		server.closeIdleConnections();
		await Promise.all([once(idle.resume(), 'end'), delay(50)]);
		half.write('P/1.1\r\nhost: one.example\r\n\r\n');
		const [slowText, halfText] = await Promise.all([readAll(slow), readAll(half)]);
		expect([slowText.length > largeBytes, halfText.length > largeBytes, cuts]).toEqual([true, true, []]);
	});

	it('tells of an answer that its caller leaves, and of one that is broken off here', async () => {
		const answers: ServerResponse[] = [];
		const {caller, cuts, server} = await open((_path, outgoing) => {
			answers.push(outgoing);
			outgoing.end(Buffer.alloc(largeBytes));
		});
		const other = await connectTo(server);
		caller.write(head('/1'));
		while (answers.length === 0) {
			await delay(1);
		}

		other.write(head('/2'));
		while (answers.length === 1) {
			await delay(1);
		}

		caller.resetAndDestroy();
		while (cuts.length === 0) {
			await delay(1);
		}

		answers[1]!.destroy();
		while (cuts.length === 1) {
			await delay(1);
		}

		expect(cuts.map(({closedBy, isWhole, bytesLeft}) => ({closedBy, isWhole, hasBytesLeft: bytesLeft > 0}))).toEqual([
			{closedBy: 'caller', isWhole: true, hasBytesLeft: true},
			{closedBy: 'here', isWhole: true, hasBytesLeft: true},
		]);
	});
});
