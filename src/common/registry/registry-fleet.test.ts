import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const twoServers = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready'), entryOf('servers/b', 'orders 10.0.1.2 ready')];

describe('a fleet that the store leads', () => {
	it('reads everything once, then watches', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		expect({stages: driver.stages, usable: driver.usable, asked: driver.asked.map(({operation}) => operation.type)}).toEqual({
			stages: ['starting', 'serving'], usable: ['a', 'b'], asked: ['grant-lease', 'watch'],
		});
	});

	// Guards a small VM that starts in a large fleet against a log line for each entry.
	it('tells of a long first list in a few lines', () => {
		const driver = new RegistryDriver();
		driver.start([entryOf('configuration', '1'), ...Array.from({length: 500}, (_, index) => entryOf(`servers/s${index}`, 'orders 10.0.1.1 ready'))]);
		const left = driver.effects.find(effect => effect.type === 'log' && effect.message === 'further log lines with the same message omitted');
		expect([driver.logged.length, left?.type === 'log' ? left.details : undefined]).toEqual([12, {kind: 'backend server registered', leftOut: 490}]);
	});

	it('does not serve before it has a configuration', () => {
		const driver = new RegistryDriver();
		driver.start([entryOf('servers/a', 'orders 10.0.1.1 ready')]);
		expect(driver.stages).toEqual(['starting']);
	});

	// Guards calls against an old copy of the store that brings a replaced configuration.
	it('never goes back to an older configuration', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.change([entryOf('configuration', '5')]);
		driver.change([entryOf('configuration', '4')], [], 21);
		expect(driver.inForce?.version).toEqual(5);
	});

	// Guards the configuration in force against a document that is cut short.
	it('keeps the configuration in force when the next one cannot be read', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.change([entryOf('configuration', 'cut sho')]);
		expect(driver.inForce?.version).toEqual(1);
		expect(driver.effects.some(effect => effect.type === 'log' && effect.level === 'error')).toEqual(true);
	});

	it('gives no new work to a backend server that says it leaves, and to one whose entry is gone', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 leaving')]);
		expect(driver.usable).toEqual(['b']);
		driver.change([], ['servers/b'], 21);
		expect(driver.usable).toEqual([]);
	});

	it('does not disturb calls for a mere heartbeat', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		const before = driver.effects.length;
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready', 3)]);
		expect(driver.effects.length).toEqual(before);
	});

	// Guards backend servers that live against the lapse of their entries during an outage of the store.
	it('holds on to backend servers whose entries may have lapsed while the store was away', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.lose(10_000);
		driver.change([], ['servers/a', 'servers/b']);
		expect(driver.usable).toEqual(['a', 'b']);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready', 22)], [], 22);
		driver.passTime(2000);
		expect(driver.usable).toEqual(['a']);
	});

	it('believes a removal at once after an outage too short for a lapse', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.lose(1000);
		driver.change([], ['servers/a']);
		expect(driver.usable).toEqual(['b']);
	});

	// Guards a change made right after an outage against a watch that was sent into the silence.
	it('asks with short watches while the store is lost', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.lose(700);
		driver.passTime(700);
		const watch = driver.asked.find(({operation}) => operation.type === 'watch')?.operation;
		expect(watch?.type === 'watch' && watch.milliseconds < 100).toEqual(true);
	});

	it('reads everything again when the store has dropped its history, and notices what has gone', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.reply('watch', {type: 'history-lost'});
		driver.reply('list', {type: 'entries', entries: twoServers.slice(0, 2), revision: 50});
		expect(driver.usable).toEqual(['a']);
	});
});

describe('the entry of a VM', () => {
	function published(): RegistryDriver {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.publish();
		return driver;
	}

	it('is written under a lease and renewed', () => {
		const driver = published();
		driver.passTime(1200);
		expect(driver.asked.map(({operation}) => operation.type)).toEqual(['watch', 'keep-lease']);
	});

	// Guards a VM against an own entry without a lease that it renews, after the answer to its write was lost.
	it('replaces an earlier write whose answer was lost', () => {
		const driver = new RegistryDriver();
		driver.start(twoServers);
		driver.reply('grant-lease', {type: 'lease', leaseId: '7', milliseconds: 3000});
		driver.reply('write-all', {type: 'unknown'});
		driver.passTime(700);
		driver.reply('write-all', {type: 'not-all-as-expected', revisions: new Map([['vms/own', 12]])});
		driver.passTime(0);
		const write = driver.asked.find(({operation}) => operation.type === 'write-all')?.operation;
		expect(write?.type === 'write-all' ? write.writes.map(({expected}) => expected) : undefined).toEqual([12]);
	});

	// Guards a VM that serves against a lease that the store takes away without a word.
	it('is written again when it was removed', () => {
		const driver = published();
		driver.change([], ['vms/own']);
		driver.reply('write-all', {type: 'lease-lost'});
		driver.passTime(100);
		driver.reply('grant-lease', {type: 'lease', leaseId: '8', milliseconds: 3000});
		const write = driver.asked.find(({operation}) => operation.type === 'write-all')?.operation;
		expect(write).toEqual({type: 'write-all', writes: [{key: 'vms/own', expected: 0, value: '10.0.0.1:80'}], leaseId: '8'});
	});

	it('is taken back at once by the order to stop', () => {
		const driver = published();
		driver.handle({type: 'stop-requested', by: 'signal'});
		const write = driver.asked.find(({operation}) => operation.type === 'write-all')?.operation;
		expect(write?.type === 'write-all' ? write.writes : undefined).toEqual([{key: 'vms/own', expected: 12, value: undefined}]);
		expect(driver.fleet.addresses('orders', 'north').addresses).toEqual([]);
	});
});

describe('the answer to which VMs', () => {
	it('names VMs near the caller, this one among them', () => {
		const driver = new RegistryDriver();
		driver.start([...twoServers, entryOf('vms/x', '10.0.0.2:80'), entryOf('vms/y', '10.1.0.2:80'), entryOf('vms/z', '10.1.0.3:80')]);
		expect(driver.fleet.addresses('orders', 'north').addresses.map(({address}) => address)).toEqual(['10.0.0.2:80', '10.0.0.1:80']);
	});

	// Guards the last VM of a data centre against all its callers.
	it('names all where too few are near', () => {
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

	// Guards calls taken late in a planned stop against the end of the process.
	it('takes calls as long as they can end in time, and no longer', () => {
		const driver = stopping(1);
		driver.passTime(4200);
		expect(driver.stages.at(-1)).toEqual('leaving');
		driver.passTime(100);
		expect(driver.stages.at(-1)).toEqual('draining');
		driver.passTime(1500);
		expect(driver.stages.at(-1)).toEqual('ended');
	});

	// Guards callers of calls that still wait when the process ends against a connection closed without an answer.
	it('has calls that still wait refused before the process ends', () => {
		const driver = stopping(1);
		driver.passTime(5600);
		expect(driver.stages.slice(-2)).toEqual(['draining', 'refusing']);
	});

	it('ends early when nothing is in flight', () => {
		const driver = stopping(0);
		driver.passTime(4600);
		expect(driver.stages.at(-1)).toEqual('ended');
	});
});
