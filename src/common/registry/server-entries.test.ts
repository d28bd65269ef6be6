import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

/** An engine that watches a store with two backend servers, of which `a` tells when its process started. */
function watching(): RegistryDriver {
	const driver = new RegistryDriver();
	driver.start([entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready 1000'), entryOf('servers/b', 'orders 10.0.1.2 ready')]);
	return driver;
}

function startOf(driver: RegistryDriver, identity: string): number | undefined {
	return driver.inForce?.backendServers.get(identity)?.processStartedAt;
}

describe('a backend server that starts again under its identity', () => {
	it('is told to calls as another process', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 2000', 20)]);
		expect([startOf(driver, 'a'), driver.logged.at(-1)]).toEqual([2000, 'backend server started again']);
	});

	// Guards a restarted backend server against a late heartbeat of the process before.
	it('is not undone by a late heartbeat of the process before', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 2000', 20)]);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 leaving 1000', 21)], [], 21);
		expect([startOf(driver, 'a'), driver.usable]).toEqual([2000, ['a', 'b']]);
	});

	// Guards against such a heartbeat after the later process's entry is gone.
	it('is not brought back by such a heartbeat after its entry is gone', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 2000', 20)]);
		driver.change([], ['servers/a'], 21);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 1000', 22)], [], 22);
		expect(driver.usable).toEqual(['b']);
	});

	// Guards a VM that joins later against the late heartbeat of a process that is gone.
	it('is told to other VMs by its own word', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 2000', 20)]);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 1000', 21)], [], 21);
		expect(driver.fleet.feed(driver.now).entries.find(({key}) => key === 'servers/a')?.revision).toEqual(20);
	});
});

describe('an entry that another writer has spoilt', () => {
	// Guards calls against an entry that another writer has spoilt.
	it('names no backend server to use, and others hold', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', '\uFFFD\u0000', 20), entryOf('servers/c', 'orders 10.0.1.3 ready', 20)]);
		expect([driver.usable, [...driver.inForce!.backendServers.keys()]]).toEqual([['b', 'c'], ['a', 'b', 'c']]);
	});

	it('is used again once it can be read', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders', 20)]);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 1000', 21)], [], 21);
		expect(driver.usable).toEqual(['a', 'b']);
	});

	it('is spoilt too when it no longer tells the start of its process', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready', 20)]);
		expect(driver.usable).toEqual(['b']);
	});

	// Guards the log against a line for each heartbeat of such a writer.
	it('is logged once, and not with each heartbeat', () => {
		const driver = watching();
		for (let revision = 20; revision < 30; revision++) {
			driver.change([entryOf('servers/a', 'orders', revision)], [], revision);
		}

		expect(driver.logged.filter(message => message.includes('cannot be read')).length).toEqual(1);
	});

	it('is told to other VMs, which leave it out as well', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders', 20)]);
		expect(driver.told.at(-1)?.entries.map(({key}) => key)).toEqual(['servers/a']);
	});
});

describe('the warm-up of a backend server', () => {
	/** The time left that the engine of calls would see, by backend server. */
	function left(driver: RegistryDriver): Record<string, number | undefined> {
		return Object.fromEntries(Array.from(driver.inForce!.backendServers, ([identity, {warmUntil}]) => [identity, warmUntil === undefined ? undefined : Math.round(warmUntil - driver.now)]));
	}

	it('is told to calls by the instant at which it ends', () => {
		const driver = watching();
		driver.change([entryOf('servers/c', 'orders 10.0.1.3 ready 1000 2500', 20)]);
		const first = left(driver);
		driver.passTime(1000);
		expect([first.c! <= 2500 && first.c! >= 1500, left(driver).c! < first.c!]).toEqual([true, true]);
	});

	it('is not told again with each heartbeat', () => {
		const driver = watching();
		driver.change([entryOf('servers/c', 'orders 10.0.1.3 ready 1000 2500', 20)]);
		const told = driver.told.length;
		driver.change([entryOf('servers/c', 'orders 10.0.1.3 ready 1000 1500', 21)], [], 21);
		expect(driver.told.slice(told).flatMap(({entries}) => entries)).toEqual([]);
	});

	// Guards against a backend server that turns cold under its identity, and whose entry differs in nothing else.
	it('is told when it begins anew without a restart', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 1000 3000', 20)]);
		expect([left(driver).a! > 1500, driver.told.at(-1)?.entries.map(({key}) => key)]).toEqual([true, ['servers/a']]);
	});
});
