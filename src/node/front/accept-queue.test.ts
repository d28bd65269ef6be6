import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {listenOn} from '../listening.ts';
import {closeListener} from './close-listener.ts';
import {GracefulServer} from './graceful-server.ts';
import {exchange, getCall, parseStatuses} from './open-listener.test.ts';

const connections = 40;
const maxCloseMilliseconds = 1000;

const busyMilliseconds = 2;

/** The kernel queues one connection even if it is told to queue none. */
const maxResets = 3;

/** Opens one connection after the other, each with a call, until one is refused; counts those that are reset without an answer. */
async function callUntilClosed(port: number, seen: {isClosed: boolean; resetCount: number}): Promise<void> {
	while (!seen.isClosed) {
		await new Promise<void>(resolve => {
			const caller = connect(port, '127.0.0.1');
			let isAnswered = false;
			caller.on('data', () => {
				isAnswered = true;
			});
			caller.on('error', (error: NodeJS.ErrnoException) => {
				seen.isClosed ||= error.code === 'ECONNREFUSED';
				seen.resetCount += error.code === 'ECONNRESET' && !isAnswered ? 1 : 0;
			});
			caller.on('close', () => {
				resolve();
			});
			caller.write(getCall('/1'));
		});
	}
}

describe('a listener that closes while connections wait to be accepted', () => {
	// Guards callers at a planned stop against a reset without an answer: libuv accepts one connection in each cycle.
	const steps: Readonly<Record<string, (server: GracefulServer) => void>> = {
		stopListening(server) {
			server.stopListening();
		},
		closeListener(server) {
			void closeListener(server, maxCloseMilliseconds);
		},
		'stopListening and closeListener'(server) {
			server.stopListening();
			void closeListener(server, maxCloseMilliseconds);
		},
	};
	for (const [name, close] of Object.entries(steps)) {
		it(`accepts them and answers their calls: ${name}`, async () => {
			const store = new DisposableStore();
			const server = store.add(new GracefulServer({}, (_incoming, outgoing) => {
				outgoing.end('served');
			}));
			const port = await listenOn(server, 0, '127.0.0.1');
			server.disableKeepAlive();
			const answers = Array.from({length: connections}, async () => parseStatuses(await exchange(port._unsafeUnwrap(), getCall('/1'))));
			close(server);
			const statuses = await Promise.all(answers);
			store.dispose();
			expect(statuses.flat().length).toEqual(connections);
		});
	}

	// Guards callers against a reset that does not tell whether their call ran, if more connections arrive than are accepted.
	it('resets hardly any of them while callers keep coming', async () => {
		const store = new DisposableStore();
		const server = store.add(new GracefulServer({}, (_incoming, outgoing) => {
			for (const until = performance.now() + busyMilliseconds; performance.now() < until;) {
				// Takes longer than a caller needs to come back.
			}

			outgoing.end('served');
		}));
		const port = await listenOn(server, 0, '127.0.0.1');
		server.disableKeepAlive();
		const seen = {isClosed: false, resetCount: 0};
		const callers = Array.from({length: connections}, async () => callUntilClosed(port._unsafeUnwrap(), seen));
		await delay(200);
		server.stopListening();
		await Promise.all(callers);
		store.dispose();
		expect(seen.resetCount < maxResets ? 'few' : seen.resetCount).toEqual('few');
	});

	// Guards callers that wait in an early listener against a stop that is requested before the program opens its listeners.
	it('accepts them if it is told to close before it is open, and counts as busy meanwhile', async () => {
		const store = new DisposableStore();
		const server = store.add(new GracefulServer({}, (_incoming, outgoing) => {
			outgoing.end('served');
		}));
		server.disableKeepAlive();
		server.stopListening();
		const busy = server.unfinishedAnswers;
		const port = await listenOn(server, 0, '127.0.0.1');
		const statuses = await Promise.all(Array.from({length: connections}, async () => parseStatuses(await exchange(port._unsafeUnwrap(), getCall('/1')))));
		expect([busy, statuses.flat().length]).toEqual([1, connections]);
		store.dispose();
	});
});
