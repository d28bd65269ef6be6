import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const twoServers = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready'), entryOf('servers/b', 'orders 10.0.1.2 ready')];

describe('a fleet coordinated through the store', () => {
	it('lists all entries, then watches', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		expect({stages: driver.stages, usable: driver.usableServers, asked: driver.pendingRequests.map(({operation}) => operation.type)}).toEqual({
			stages: ['starting', 'serving'], usable: ['a', 'b'], asked: ['grant-lease', 'watch'],
		});
	});

	// Guards a small VM that starts in a large fleet against one log line per entry.
	it('logs a long first list in a few lines', () => {
		const driver = new RegistryDriver();
		driver.start([entryOf('configuration', '1'), ...Array.from({length: 500}, (_, index) => entryOf(`servers/s${index}`, 'orders 10.0.1.1 ready'))]);
		const omitted = driver.effects.find(effect => effect.type === 'log' && effect.message === 'further log lines with the same message omitted');
		expect([driver.logged.length, omitted?.type === 'log' ? omitted.details : undefined]).toEqual([12, {kind: 'backend server registered', leftOut: 490}]);
	});

	it('does not serve before it has a configuration', () => {
		const driver = new RegistryDriver();
		driver.start([entryOf('servers/a', 'orders 10.0.1.1 ready')]);
		expect(driver.stages).toEqual(['starting']);
	});

	// Guards against a stale copy of the store that contains a replaced configuration.
	it('never applies an older configuration', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.change([entryOf('configuration', '5')]);
		driver.change([entryOf('configuration', '4')], [], 21);
		expect(driver.inForce?.version).toEqual(5);
	});

	// Guards the configuration in force against a truncated document.
	it('keeps the configuration in force when the next one is invalid', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.change([entryOf('configuration', 'cut sho')]);
		expect(driver.inForce?.version).toEqual(1);
		expect(driver.effects.some(effect => effect.type === 'log' && effect.level === 'error')).toEqual(true);
	});

	it('sends no new calls to a backend server that leaves or whose entry was removed', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 leaving')]);
		expect(driver.usableServers).toEqual(['b']);
		driver.change([], ['servers/b'], 21);
		expect(driver.usableServers).toEqual([]);
	});

	it('does not reconfigure the call engine for a heartbeat', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		const before = driver.effects.length;
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready', 3)]);
		expect(driver.effects.length).toEqual(before);
	});

	// Guards backend servers that are alive against the lapse of their entries during an outage of the store.
	it('keeps backend servers whose entries may have lapsed during an outage of the store', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.failStore(10_000);
		driver.change([], ['servers/a', 'servers/b']);
		expect(driver.usableServers).toEqual(['a', 'b']);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready', 22)], [], 22);
		driver.passTime(2000);
		expect(driver.usableServers).toEqual(['a']);
	});

	it('applies a removal at once after an outage that was too short for a lapse', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.failStore(1000);
		driver.change([], ['servers/a']);
		expect(driver.usableServers).toEqual(['b']);
	});

	// Guards a change made right after an outage against a delay by a watch that was sent during the outage.
	it('sends short watches while the store does not respond', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.failStore(700);
		driver.passTime(700);
		const watch = driver.pendingRequests.find(({operation}) => operation.type === 'watch')?.operation;
		expect(watch?.type === 'watch' && watch.milliseconds < 100).toEqual(true);
	});

	it('lists all entries again when the store has lost its history, and removes missing ones', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.reply('watch', {type: 'history-lost'});
		driver.reply('list', {type: 'entries', entries: twoServers.slice(0, 2), revision: 50});
		expect(driver.usableServers).toEqual(['a']);
	});
});

describe('the store entry of a VM', () => {
	function published(): RegistryDriver {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.registerOwn();
		return driver;
	}

	it('is written under a lease and renewed', () => {
		const driver = published();
		driver.passTime(1200);
		expect(driver.pendingRequests.map(({operation}) => operation.type)).toEqual(['watch', 'keep-lease']);
	});

	// Guards against an own entry under a lease that is not renewed, after the reply to the write of the entry was
	// lost.
	it('replaces an earlier write whose reply was lost', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.reply('grant-lease', {type: 'lease', leaseId: '7', milliseconds: 3000});
		driver.reply('write-all', {type: 'unknown'});
		driver.passTime(700);
		driver.reply('write-all', {type: 'not-all-as-expected', revisions: new Map([['vms/own', 12]])});
		driver.passTime(0);
		const write = driver.pendingRequests.find(({operation}) => operation.type === 'write-all')?.operation;
		expect(write?.type === 'write-all' ? write.writes.map(({expected}) => expected) : undefined).toEqual([12]);
	});

	// Guards a VM that serves against a lease that the store revokes without notice.
	it('is written again after its removal', () => {
		const driver = published();
		driver.change([], ['vms/own']);
		driver.reply('write-all', {type: 'lease-lost'});
		driver.passTime(100);
		driver.reply('grant-lease', {type: 'lease', leaseId: '8', milliseconds: 3000});
		const write = driver.pendingRequests.find(({operation}) => operation.type === 'write-all')?.operation;
		expect(write).toEqual({type: 'write-all', writes: [{key: 'vms/own', expected: 0, value: '10.0.0.1:80'}], leaseId: '8'});
	});

	it('is removed at once on a stop request', () => {
		const driver = published();
		driver.handle({type: 'stop-requested', by: 'signal'});
		const write = driver.pendingRequests.find(({operation}) => operation.type === 'write-all')?.operation;
		expect(write?.type === 'write-all' ? write.writes : undefined).toEqual([{key: 'vms/own', expected: 12, value: undefined}]);
		expect(driver.fleet.addresses('orders', 'north').addresses).toEqual([]);
	});
});

describe('the list of VMs for a caller', () => {
	it('contains the VMs near the caller, including this one', () => {
		const driver = new RegistryDriver();
		driver.start([...twoServers, entryOf('vms/x', '10.0.0.2:80'), entryOf('vms/y', '10.1.0.2:80'), entryOf('vms/z', '10.1.0.3:80')]);
		expect(driver.fleet.addresses('orders', 'north').addresses.map(({address}) => address)).toEqual(['10.0.0.2:80', '10.0.0.1:80']);
	});

	// Guards the last VM of a data centre against receiving all of its callers.
	it('contains all VMs if too few are near the caller', () => {
		const driver = new RegistryDriver();
		driver.start([...twoServers, ...[1, 2, 3, 4, 5].map(index => entryOf(`vms/${index}`, `10.1.0.${index}:80`))]);
		expect(driver.fleet.addresses('orders', 'north').addresses.length).toEqual(6);
	});
});

describe('a stop with a fixed grace time', () => {
	function stopping(callsInFlight: number): RegistryDriver {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.handle({type: 'traffic', traffic: {openConnections: 1, idleConnections: 0, callsInFlight}});
		driver.handle({type: 'stop-requested', by: 'signal'});
		return driver;
	}

	// Guards against calls that are accepted late in a planned stop and cut off at the end of the process.
	it('accepts calls only while they can end in time', () => {
		const driver = stopping(1);
		driver.passTime(4200);
		expect(driver.stages.at(-1)).toEqual('leaving');
		driver.passTime(100);
		expect(driver.stages.at(-1)).toEqual('draining');
		driver.passTime(1500);
		expect(driver.stages.at(-1)).toEqual('ended');
	});

	// Guards callers whose calls are still queued at the end of the process against connections closed without a
	// response.
	it('refuses queued calls before the process ends', () => {
		const driver = stopping(1);
		driver.passTime(5600);
		expect(driver.stages.slice(-2)).toEqual(['draining', 'refusing']);
	});

	it('ends early if no call is in flight', () => {
		const driver = stopping(0);
		driver.passTime(4600);
		expect(driver.stages.at(-1)).toEqual('ended');
	});
});
