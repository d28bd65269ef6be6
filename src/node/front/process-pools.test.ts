import {expect} from 'earl';
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {BackendConnections} from './backend-connections.ts';

const target = {identity: 'one', address: '127.0.0.1', port: 9};

describe('the connection pool of a backend server process', () => {
	// Connections to the previous process of a restarted backend server may be dead without a reset.
	it('is replaced when the process restarts or its address changes', () => {
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
