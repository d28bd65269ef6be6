import {createServer} from 'node:http';
import {expect} from 'earl';
import {request} from 'undici';
import {DisposableStore, toDisposable} from '../common/lifecycle/disposable.ts';
import {freePorts} from '../stand-ins/free-ports.ts';
import {EarlyListener} from './early-listener.ts';
import {ReadinessGate} from './front/readiness-gate.ts';
import {listenOn} from './listening.ts';

describe('a listener that opens before its server exists', () => {
	// Fails if connections are refused between the start of a process and the loading of its program.
	it('holds early connections and passes them and later ones to the server', async () => {
		const owned = new DisposableStore();
		const [port] = await freePorts(1);
		const listener = new EarlyListener(port!, '127.0.0.1', 16);
		const early = request(`http://127.0.0.1:${port}/early`);
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		const server = createServer((incoming, outgoing) => {
			outgoing.end(incoming.url);
		});
		owned.add(toDisposable(() => {
			server.closeAllConnections();
			server.close();
		}));
		const listening = await listenOn(server, port!, '127.0.0.1', {backlog: 16, early: listener});
		expect(listening.isOk()).toEqual(true);
		const late = request(`http://127.0.0.1:${port}/late`);
		const answers = await Promise.all([early, late]);
		const texts = await Promise.all(answers.map(async answer => answer.body.text()));
		expect(texts).toEqual(['/early', '/late']);
		owned.dispose();
	});

	it('leaves reporting an occupied address to the server', async () => {
		const owned = new DisposableStore();
		const [port] = await freePorts(1);
		const other = createServer();
		await listenOn(other, port!, '127.0.0.1');
		owned.add(toDisposable(() => {
			other.close();
		}));
		const listener = new EarlyListener(port!, '127.0.0.1', 16);
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
		const listening = await listenOn(createServer(), port!, '127.0.0.1', {early: listener});
		expect(listening.isErr()).toEqual(true);
		owned.dispose();
	});
});

describe('the readiness gate of a starting VM', () => {
	// Fails if calls are refused just before the VM has read its configuration.
	it('holds calls until it opens, and none afterwards', () => {
		const gate = new ReadinessGate();
		const seen: string[] = [];
		gate.whenReady(() => seen.push('kept'));
		const before = seen.length;
		gate.open();
		gate.whenReady(() => seen.push('at once'));
		expect([before, seen]).toEqual([0, ['kept', 'at once']]);
		gate.dispose();
	});

	// Fails if calls are held indefinitely when no configuration arrives.
	it('opens by itself after a time-out of a fifth of a second', async () => {
		const gate = new ReadinessGate();
		await new Promise<void>(resolve => {
			gate.whenReady(resolve);
		});
		gate.dispose();
	});
});

describe('an open listener', () => {
	// Guards a process against an exception from a connection that could not be accepted, for example without free descriptors.
	it('reports a failed connection and stays open', async () => {
		const server = createServer((_incoming, outgoing) => {
			outgoing.end();
		});
		const errors: string[] = [];
		const port = await listenOn(server, 0, '127.0.0.1', {
			onError({message}) {
				errors.push(message);
			},
		});
		server.emit('error', new Error('accept EMFILE'));
		const {statusCode, body} = await request(`http://127.0.0.1:${port._unsafeUnwrap()}/`, {reset: true});
		await body.dump();
		server.close();
		expect([errors, statusCode]).toEqual([['accept EMFILE'], 200]);
	});
});
