import {expect} from 'earl';
import {type StoreEntry} from '../platform/types.ts';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const twoServers = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready'), entryOf('servers/b', 'orders 10.0.1.2 ready')];

/** Two older VMs of the same data centre, and one of another. */
const otherVms = [entryOf('vms/x', '10.0.0.2:80', 2), entryOf('vms/y', '10.0.0.3:80', 3), entryOf('vms/z', '10.1.0.2:80', 4)];

/** An engine that has written its own entry; it ranks third in its data centre. */
function published(entries: readonly StoreEntry[] = [...twoServers, ...otherVms]): RegistryDriver {
	const driver = new RegistryDriver();
	driver.start(entries);
	driver.registerOwn();
	return driver;
}

/** An engine that has received a snapshot from the reader of its data centre. */
function following(): RegistryDriver {
	const driver = published();
	driver.receiveFrame({isWhole: true, entries: [...twoServers, ...otherVms, entryOf('vms/own', '10.0.0.1:80', 12)]});
	driver.reply('watch', {
		type: 'changes', entries: [], deleted: [], revision: 20,
	});
	return driver;
}

describe('the reader of the store', () => {
	it('is the VM with the oldest entry, in each data centre', () => {
		expect([published().followedSources[0], published(twoServers).isReading]).toEqual(['10.0.0.2:80', true]);
	});

	it('is the VM with the fastest link, even if its entry is newer', () => {
		expect(published([...twoServers, ...otherVms, entryOf('vms/w', '10.0.0.9:80 1000', 9)]).followedSources[0]).toEqual('10.0.0.9:80');
	});

	// Guards against the entry of an earlier process at the same address, which exists until its lease ends.
	it('is chosen by the latest entry of each address', () => {
		const driver = published([...twoServers, ...otherVms, entryOf('vms/x-again', '10.0.0.2:80', 11)]);
		expect([driver.source, driver.fleet.addresses('orders', 'north').addresses.length]).toEqual(['10.0.0.3:80', 3]);
	});

	it('is not a VM that receives a fresh feed', () => {
		const driver = following();
		for (let beat = 0; beat < 10; beat++) {
			driver.passTime(1000);
			driver.receiveFrame({revision: 30 + beat});
		}

		expect([driver.isReading, driver.pendingRequests.filter(({operation}) => operation.type === 'watch').length]).toEqual([false, 0]);
	});

	it('is also a VM whose source sends old data', () => {
		const driver = published();
		driver.receiveFrame({isWhole: true, entries: [...twoServers, ...otherVms], ageMilliseconds: 1600});
		expect(driver.isReading).toEqual(true);
	});
});

describe('frames of the registry feed between VMs', () => {
	it('add configurations, backend servers and VMs, and remove backend servers and VMs', () => {
		const driver = following();
		driver.receiveFrame({revision: 30, entries: [entryOf('configuration', '4', 30), entryOf('servers/c', 'orders 10.0.1.3 ready', 30)], deleted: ['servers/a', 'vms/y']});
		expect({version: driver.inForce?.version, usable: driver.usableServers, vms: driver.fleet.status(driver.now).vmCount}).toEqual({version: 4, usable: ['b', 'c'], vms: 3});
	});

	it('contain renewed entries in the snapshot for later followers', () => {
		const driver = published(twoServers);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready', 21)], [], 21);
		expect(driver.fleet.feed(driver.now).entries.map(({key, revision}) => `${key} ${revision}`)).toEqual(['configuration 1', 'servers/a 21', 'servers/b 1', 'vms/own 12']);
		expect(driver.publishedFrames.at(-1)).toEqual({
			revision: 21, ageMilliseconds: 0, entries: [], deleted: [], isWhole: false,
		});
	});

	// Guards against a delayed feed: a backend server that has left would get calls again.
	it('do not restore entries that were removed later', () => {
		const driver = following();
		driver.receiveFrame({revision: 30, deleted: ['servers/a']});
		driver.receiveFrame({revision: 25, entries: [entryOf('servers/a', 'orders 10.0.1.1 ready', 24)]});
		expect(driver.usableServers).toEqual(['b']);
	});

	it('do not remove entries that were written later', () => {
		const driver = following();
		driver.receiveFrame({revision: 30, entries: [entryOf('servers/a', 'orders 10.0.1.9 ready', 30)]});
		driver.receiveFrame({revision: 25, deleted: ['servers/a']});
		expect(driver.usableServers).toEqual(['a', 'b']);
	});

	// Guards against changes without the snapshot that they extend.
	it('are ignored before the reader has sent a snapshot', () => {
		const driver = published();
		driver.receiveFrame({revision: 40, entries: [entryOf('configuration', '9', 40)]});
		expect([driver.inForce?.version, driver.isReading]).toEqual([1, true]);
	});

	// Guards against VMs that follow each other in a circle and accept their own changes as a fresh feed.
	it('are published only by VMs that have read the store themselves', () => {
		const driver = following();
		const before = driver.publishedFrames.length;
		driver.receiveFrame({revision: 31, entries: [entryOf('configuration', '4', 31)]});
		expect([driver.publishedFrames.length - before, driver.fleet.feed(driver.now).ageMilliseconds > 1e6]).toEqual([0, true]);
	});

	// Guards followers against changes that they missed while their source followed another VM itself.
	it('start with a snapshot when a former follower starts to read the store', () => {
		const driver = following();
		driver.receiveFrame({revision: 30, entries: [entryOf('servers/c', 'orders 10.0.1.3 ready', 30)]});
		const before = driver.publishedFrames.length;
		for (let tries = 0; driver.source !== undefined && tries < 10; tries++) {
			driver.handle({type: 'feed-closed', source: driver.source});
		}

		driver.change([], [], 31);
		const first = driver.publishedFrames[before];
		expect([first?.isWhole, first?.entries.some(({key}) => key === 'servers/c')]).toEqual([true, true]);
	});

	// Guards a VM that serves against an unnoticed lapse of its own entry.
	it('let a VM announce itself again if its own entry was removed', () => {
		const driver = following();
		const before = driver.announcements.length;
		driver.receiveFrame({revision: 30, deleted: ['vms/own']});
		expect(driver.announcements.slice(before)).toEqual([{identity: 'own', value: '10.0.0.1:80', intent: 'stay'}]);
	});
});

describe('a reader that sends no more frames', () => {
	// Guards followers against a reader that is frozen while a configuration is accepted.
	it('is replaced in time, first by the standby and then by reads of the store', () => {
		const driver = following();
		driver.passTime(1290);
		expect([driver.isReading, driver.source]).toEqual([false, '10.0.0.2:80']);
		driver.passTime(120);
		expect([driver.isReading, driver.source]).toEqual([false, '10.0.0.3:80']);
		driver.passTime(100);
		expect([driver.isReading, driver.pendingRequests.map(({operation}) => operation.type).includes('watch')]).toEqual([true, true]);
	});

	it('is replaced at once when its connection closes', () => {
		const driver = following();
		driver.handle({type: 'feed-closed', source: '10.0.0.2:80'});
		expect([driver.isReading, driver.source]).toEqual([false, '10.0.0.3:80']);
	});

	// Guards processor time against endless attempts to reach lost readers.
	it('is replaced by reads of the store once all sources have failed', () => {
		const driver = following();
		let tried = 0;
		while (driver.source !== undefined && tried < 100) {
			tried++;
			driver.handle({type: 'feed-closed', source: driver.source});
		}

		expect([tried, driver.isReading]).toEqual([4, true]);
		driver.passTime(700);
		expect(driver.source === undefined).toEqual(false);
	});

	it('is followed again on a new connection if it is the only source', () => {
		const driver = published([...twoServers, otherVms[0]!]);
		driver.handle({type: 'feed-closed', source: driver.source!});
		expect(driver.source).toEqual(undefined);
		driver.passTime(700);
		expect(driver.source).toEqual('10.0.0.2:80');
	});

	it('is replaced by the standby, which reads the store, as soon as the connection closes', () => {
		const driver = published([...twoServers, otherVms[0]!, otherVms[2]!]);
		while (driver.source !== '10.0.0.2:80') {
			driver.passTime(100);
		}

		driver.receiveFrame({isWhole: true, entries: [...twoServers, otherVms[0]!, otherVms[2]!, entryOf('vms/own', '10.0.0.1:80', 12)]});
		expect(driver.isReading).toEqual(false);
		driver.handle({type: 'feed-closed', source: '10.0.0.2:80'});
		expect(driver.isReading).toEqual(true);
	});

	it('is followed again once it is available', () => {
		const driver = following();
		driver.handle({type: 'feed-closed', source: '10.0.0.2:80'});
		let snapshotSource: string | undefined;
		for (let beat = 0; beat < 6; beat++) {
			const isWhole = driver.source !== snapshotSource;
			snapshotSource = driver.source;
			driver.receiveFrame({isWhole, revision: 30 + beat, entries: isWhole ? [...twoServers, ...otherVms, entryOf('vms/own', '10.0.0.1:80', 12)] : []});
			driver.passTime(1000);
		}

		expect(driver.source).toEqual('10.0.0.2:80');
	});

	// Guards against store calls by a whole fleet during an outage of the store.
	it('causes few store calls while the store is unavailable', () => {
		const driver = following();
		driver.failStore(10_000);
		const calls = driver.pendingRequests.length;
		expect([driver.isReading, calls < 3]).toEqual([true, true]);
	});
});

describe('a store that does not respond', () => {
	/** Requests to the store in 10 s. */
	function requestsIn(driver: RegistryDriver): number {
		let requests = 0;
		for (let step = 0; step < 100; step++) {
			driver.passTime(100);
			const isAsked = driver.pendingRequests.some(({operation}) => operation.type === 'watch');
			requests += isAsked ? 1 : 0;
			if (isAsked) {
				driver.reply('watch', {type: 'unavailable'});
			}
		}

		return requests;
	}

	// Guards the store call budget against hundreds of VMs that read the store during an outage, though one of them
	// would publish the result to the others.
	it('gets few requests from a VM that is connected to another one, and more from a single VM', () => {
		const alone = new RegistryDriver();
		alone.start(twoServers);
		expect([requestsIn(following()) <= 4, requestsIn(alone) >= 5]).toEqual([true, true]);
	});
});
