import {expect} from 'earl';
import {type StoreEntry} from '../platform/types.ts';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const twoServers = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready'), entryOf('servers/b', 'orders 10.0.1.2 ready')];

/** Two VMs of this one's data centre, which have stood longer, and one of another. */
const three = [entryOf('vms/x', '10.0.0.2:80', 2), entryOf('vms/y', '10.0.0.3:80', 3), entryOf('vms/z', '10.1.0.2:80', 4)];

/** An engine that has written its own entry: third in its data centre. */
function published(entries: readonly StoreEntry[] = [...twoServers, ...three]): RegistryDriver {
	const driver = new RegistryDriver();
	driver.start(entries);
	driver.publish();
	return driver;
}

/** One that has heard everything from the VM that reads for its data centre. */
function following(): RegistryDriver {
	const driver = published();
	driver.frame({isWhole: true, entries: [...twoServers, ...three, entryOf('vms/own', '10.0.0.1:80', 12)]});
	driver.reply('watch', {
		type: 'changes', entries: [], deleted: [], revision: 20,
	});
	return driver;
}

describe('which VMs read the store', () => {
	it('is the one that has stood longest, for each data centre', () => {
		expect([published().followed[0], published(twoServers).isReading]).toEqual(['10.0.0.2:80', true]);
	});

	it('is the one with the widest link, however young', () => {
		expect(published([...twoServers, ...three, entryOf('vms/w', '10.0.0.9:80 1000', 9)]).followed[0]).toEqual('10.0.0.9:80');
	});

	// Guards against the entry of an earlier process at the same address, which stands until its lease ends.
	it('goes by the latest entry of an address', () => {
		const driver = published([...twoServers, ...three, entryOf('vms/x-again', '10.0.0.2:80', 11)]);
		expect([driver.source, driver.fleet.addresses('orders', 'north').addresses.length]).toEqual(['10.0.0.3:80', 3]);
	});

	it('leaves the store to others while they tell what is fresh', () => {
		const driver = following();
		for (let beat = 0; beat < 10; beat++) {
			driver.passTime(1000);
			driver.frame({revision: 30 + beat});
		}

		expect([driver.isReading, driver.asked.filter(({operation}) => operation.type === 'watch').length]).toEqual([false, 0]);
	});

	it('does not learn from a VM whose own feed is old', () => {
		const driver = published();
		driver.frame({isWhole: true, entries: [...twoServers, ...three], ageMilliseconds: 1600});
		expect(driver.isReading).toEqual(true);
	});
});

describe('the registry feed between VMs', () => {
	it('bring configurations, backend servers and VMs, and take them away', () => {
		const driver = following();
		driver.frame({revision: 30, entries: [entryOf('configuration', '4', 30), entryOf('servers/c', 'orders 10.0.1.3 ready', 30)], deleted: ['servers/a', 'vms/y']});
		expect({version: driver.inForce?.version, usable: driver.usable, vms: driver.fleet.status(driver.now).vmCount}).toEqual({version: 4, usable: ['b', 'c'], vms: 3});
	});

	it('are told again to VMs that come later, heartbeats among them', () => {
		const driver = published(twoServers);
		driver.change([entryOf('servers/a', 'orders 10.0.1.1 ready', 21)], [], 21);
		expect(driver.fleet.feed(driver.now).entries.map(({key, revision}) => `${key} ${revision}`)).toEqual(['configuration 1', 'servers/a 21', 'servers/b 1', 'vms/own 12']);
		expect(driver.told.at(-1)).toEqual({
			revision: 21, ageMilliseconds: 0, entries: [], deleted: [], isWhole: false,
		});
	});

	// Guards against a feed that is behind: a backend server that has left would get calls again.
	it('do not bring back what has gone since', () => {
		const driver = following();
		driver.frame({revision: 30, deleted: ['servers/a']});
		driver.frame({revision: 25, entries: [entryOf('servers/a', 'orders 10.0.1.1 ready', 24)]});
		expect(driver.usable).toEqual(['b']);
	});

	it('do not take away what has come since', () => {
		const driver = following();
		driver.frame({revision: 30, entries: [entryOf('servers/a', 'orders 10.0.1.9 ready', 30)]});
		driver.frame({revision: 25, deleted: ['servers/a']});
		expect(driver.usable).toEqual(['a', 'b']);
	});

	// Guards against changes without the whole that they follow.
	it('count for nothing before the reader has told everything', () => {
		const driver = published();
		driver.frame({revision: 40, entries: [entryOf('configuration', '9', 40)]});
		expect([driver.inForce?.version, driver.isReading]).toEqual([1, true]);
	});

	// Guards against VMs that follow one another in a circle and take their own echo for a fresh feed.
	it('are told only by VMs that have read them in the store', () => {
		const driver = following();
		const before = driver.told.length;
		driver.frame({revision: 31, entries: [entryOf('configuration', '4', 31)]});
		expect([driver.told.length - before, driver.fleet.feed(driver.now).ageMilliseconds > 1e6]).toEqual([0, true]);
	});

	// Guards followers against changes that they missed while their source followed another VM itself.
	it('begin with everything when a VM that was told comes to read', () => {
		const driver = following();
		driver.frame({revision: 30, entries: [entryOf('servers/c', 'orders 10.0.1.3 ready', 30)]});
		const before = driver.told.length;
		for (let tries = 0; driver.source !== undefined && tries < 10; tries++) {
			driver.handle({type: 'feed-closed', source: driver.source});
		}

		driver.change([], [], 31);
		const first = driver.told[before];
		expect([first?.isWhole, first?.entries.some(({key}) => key === 'servers/c')]).toEqual([true, true]);
	});

	// Guards a VM that serves against the unnoticed lapse of its own entry.
	it('tell a VM that its own entry is gone', () => {
		const driver = following();
		const before = driver.announced.length;
		driver.frame({revision: 30, deleted: ['vms/own']});
		expect(driver.announced.slice(before)).toEqual([{identity: 'own', value: '10.0.0.1:80', intent: 'stay'}]);
	});
});

describe('a reader that falls silent', () => {
	// Guards followers against a reader that is frozen while a configuration is accepted.
	it('is left in time: the stand-by first, then the store itself', () => {
		const driver = following();
		driver.passTime(1290);
		expect([driver.isReading, driver.source]).toEqual([false, '10.0.0.2:80']);
		driver.passTime(120);
		expect([driver.isReading, driver.source]).toEqual([false, '10.0.0.3:80']);
		driver.passTime(100);
		expect([driver.isReading, driver.asked.map(({operation}) => operation.type).includes('watch')]).toEqual([true, true]);
	});

	it('is left at once when its connection ends', () => {
		const driver = following();
		driver.handle({type: 'feed-closed', source: '10.0.0.2:80'});
		expect([driver.isReading, driver.source]).toEqual([false, '10.0.0.3:80']);
	});

	// Guards processor time against trying lost readers over and over.
	it('is not sought for ever among VMs that are all gone', () => {
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

	it('is followed again over another connection when it is the only one', () => {
		const driver = published([...twoServers, three[0]!]);
		driver.handle({type: 'feed-closed', source: driver.source!});
		expect(driver.source).toEqual(undefined);
		driver.passTime(700);
		expect(driver.source).toEqual('10.0.0.2:80');
	});

	it('is read for by the stand-by as soon as its connection ends', () => {
		const driver = published([...twoServers, three[0]!, three[2]!]);
		while (driver.source !== '10.0.0.2:80') {
			driver.passTime(100);
		}

		driver.frame({isWhole: true, entries: [...twoServers, three[0]!, three[2]!, entryOf('vms/own', '10.0.0.1:80', 12)]});
		expect(driver.isReading).toEqual(false);
		driver.handle({type: 'feed-closed', source: '10.0.0.2:80'});
		expect(driver.isReading).toEqual(true);
	});

	it('is followed again once it is back', () => {
		const driver = following();
		driver.handle({type: 'feed-closed', source: '10.0.0.2:80'});
		let told: string | undefined;
		for (let beat = 0; beat < 6; beat++) {
			const isWhole = driver.source !== told;
			told = driver.source;
			driver.frame({isWhole, revision: 30 + beat, entries: isWhole ? [...twoServers, ...three, entryOf('vms/own', '10.0.0.1:80', 12)] : []});
			driver.passTime(1000);
		}

		expect(driver.source).toEqual('10.0.0.2:80');
	});

	// Guards against calls of a whole fleet to a store that is out.
	it('leaves the asking to few while the store is out', () => {
		const driver = following();
		driver.lose(10_000);
		const calls = driver.asked.length;
		expect([driver.isReading, calls < 3]).toEqual([true, true]);
	});
});

describe('a store that does not answer', () => {
	/** Requests to it in ten seconds. */
	function requestsIn(driver: RegistryDriver): number {
		let requests = 0;
		for (let step = 0; step < 100; step++) {
			driver.passTime(100);
			const isAsked = driver.asked.some(({operation}) => operation.type === 'watch');
			requests += isAsked ? 1 : 0;
			if (isAsked) {
				driver.reply('watch', {type: 'unavailable'});
			}
		}

		return requests;
	}

	// Guards the store's budget: hundreds of VMs that read for themselves in an outage, though one of them would tell the others.
	it('is asked rarely by a VM that is connected to another one, and often by one that is alone', () => {
		const alone = new RegistryDriver();
		alone.start(twoServers);
		expect([requestsIn(following()) <= 4, requestsIn(alone) >= 5]).toEqual([true, true]);
	});
});
