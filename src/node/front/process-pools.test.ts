import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {BackendConnections} from './backend-connections.ts';

const target = {identity: 'one', address: '127.0.0.1', port: 9};

describe('connections to the process of a backend server', () => {
	// Guards calls for a restarted backend server against kept connections to the process before.
	it('are not used for the one that replaces it, nor after a change of address', () => {
		const store = new DisposableStore();
		const connections = store.add(new BackendConnections({connectMilliseconds: 100, idleMilliseconds: 100}));
		const first = connections.pool({...target, processStartedAt: 1});
		const again = connections.pool({...target, processStartedAt: 1});
		const restarted = connections.pool({...target, processStartedAt: 2});
		const moved = connections.pool({...target, processStartedAt: 2, port: 10});
		expect([again === first, restarted === first, first.closed, moved === restarted]).toEqual([true, false, true, false]);
		store.dispose();
	});
});
