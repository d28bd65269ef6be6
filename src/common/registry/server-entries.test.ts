import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

/** An engine that watches a store with two backend servers, of which `a` has a process start time in its entry. */
function watching(): RegistryDriver {
	const driver = new RegistryDriver();
	driver.start([entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready 1000'), entryOf('servers/b', 'orders 10.0.1.2 ready')]);
	return driver;
}

function startOf(driver: RegistryDriver, identity: string): number | undefined {
	return driver.inForce?.backendServers.get(identity)?.processStartedAt;
}

describe('a backend server that restarts under the same identity', () => {
	it('is another process for the call engine', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 2000', 20)]);
		expect([startOf(driver, 'a'), driver.logged.at(-1)]).toEqual([2000, 'backend server started again']);
	});

	// Guards a restarted backend server against a late heartbeat of its former process.
	it('is not affected by a late heartbeat of its former process', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 2000', 20)]);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 leaving 1000', 21)], [], 21);
		expect([startOf(driver, 'a'), driver.usableServers]).toEqual([2000, ['a', 'b']]);
	});

	// Guards against such a heartbeat after the entry of the later process was removed.
	it('is not restored by such a heartbeat after its entry was removed', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 2000', 20)]);
		driver.change([], ['servers/a'], 21);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 1000', 22)], [], 22);
		expect(driver.usableServers).toEqual(['b']);
	});

	// Guards a VM that joins later against the late heartbeat of a former process.
	it('is published to other VMs with the entry of its latest process', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 2000', 20)]);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 1000', 21)], [], 21);
		expect(driver.fleet.feed(driver.now).entries.find(({key}) => key === 'servers/a')?.revision).toEqual(20);
	});
});

describe('an entry corrupted by another writer', () => {
	// Guards calls against an entry that another writer has corrupted.
	it('excludes its backend server from new calls, and does not affect others', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', '\uFFFD\u0000', 20), entryOf('servers/c', 'orders 10.0.1.3 ready', 20)]);
		expect([driver.usableServers, [...driver.inForce!.backendServers.keys()]]).toEqual([['b', 'c'], ['a', 'b', 'c']]);
	});

	it('is used again once it is valid', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders', 20)]);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 1000', 21)], [], 21);
		expect(driver.usableServers).toEqual(['a', 'b']);
	});

	it('is also one that lacks the process start that it had before', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready', 20)]);
		expect(driver.usableServers).toEqual(['b']);
	});

	// Guards the log against one line per heartbeat of such a writer.
	it('is logged once, and not with each heartbeat', () => {
		const driver = watching();
		for (let revision = 20; revision < 30; revision++) {
			driver.change([entryOf('servers/a', 'orders', revision)], [], revision);
		}

		expect(driver.logged.filter(message => message.includes('entry is invalid')).length).toEqual(1);
	});

	it('is published to other VMs, which exclude the backend server as well', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders', 20)]);
		expect(driver.publishedFrames.at(-1)?.entries.map(({key}) => key)).toEqual(['servers/a']);
	});
});

describe('the warm-up of a backend server', () => {
	/** Remaining warm-up time in milliseconds as the call engine computes it, by backend server. */
	function left(driver: RegistryDriver): Record<string, number | undefined> {
		return Object.fromEntries(Array.from(driver.inForce!.backendServers, ([identity, {warmUntil}]) => [identity, warmUntil === undefined ? undefined : Math.round(warmUntil - driver.now)]));
	}

	it('is passed to the call engine as the time at which it ends', () => {
		const driver = watching();
		driver.change([entryOf('servers/c', 'orders 10.0.1.3 ready 1000 2500', 20)]);
		const first = left(driver);
		driver.passTime(1000);
		expect([first.c! <= 2500 && first.c! >= 1500, left(driver).c! < first.c!]).toEqual([true, true]);
	});

	it('is not published again with each heartbeat', () => {
		const driver = watching();
		driver.change([entryOf('servers/c', 'orders 10.0.1.3 ready 1000 2500', 20)]);
		const publishedBefore = driver.publishedFrames.length;
		driver.change([entryOf('servers/c', 'orders 10.0.1.3 ready 1000 1500', 21)], [], 21);
		expect(driver.publishedFrames.slice(publishedBefore).flatMap(({entries}) => entries)).toEqual([]);
	});

	// Guards against a backend server that becomes cold again under its identity, with no other change in its entry.
	it('is published when it starts again without a restart', () => {
		const driver = watching();
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready 1000 3000', 20)]);
		expect([left(driver).a! > 1500, driver.publishedFrames.at(-1)?.entries.map(({key}) => key)]).toEqual([true, ['servers/a']]);
	});
});
