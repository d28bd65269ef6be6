import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {listenOn} from '../listening.ts';
import {closeListener} from './close-listener.ts';
import {GracefulServer} from './graceful-server.ts';
import {exchange, getCall, parseStatuses} from './open-listener.test.ts';

const connections = 40;
const maxCloseMilliseconds = 1000;

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
