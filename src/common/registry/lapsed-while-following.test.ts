import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const servers = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready'), entryOf('servers/b', 'orders 10.0.1.2 ready')];
const others = [entryOf('vms/x', '10.0.0.2:80', 2), entryOf('vms/y', '10.0.0.3:80', 3)];

/**
 * A VM that reads the store itself. After an outage of 6 s it has just read that both backend server entries have
 * lapsed.
 */
function afterLapse(): RegistryDriver {
	const driver = new RegistryDriver();
	driver.start([...servers, ...others]);
	driver.registerOwn();
	driver.failStore(6000);
	while (!driver.pendingRequests.some(({operation}) => operation.type === 'watch')) {
		driver.passTime(20);
	}

	driver.reply('watch', {
		type: 'changes', entries: [], deleted: ['servers/a', 'servers/b'], revision: 20,
	});
	return driver;
}

/** The same VM after it has followed another VM and lost it: it reads the store again and lists all entries. */
function readingAgain(): RegistryDriver {
	const driver = afterLapse();
	driver.receiveFrame(snapshotFrame);
	driver.receiveFrame({revision: 31});
	driver.handle({type: 'feed-closed', source: driver.source!});
	while (driver.source !== undefined) {
		driver.handle({type: 'feed-closed', source: driver.source});
	}

	while (!driver.pendingRequests.some(({operation}) => operation.type === 'watch')) {
		driver.passTime(20);
	}

	driver.reply('watch', {
		type: 'changes', entries: [], deleted: [], revision: 40,
	});
	driver.passTime(10);
	return driver;
}

/** Frame of a VM for which the lapse and renewal of both entries was only a heartbeat: the entries are unchanged. */
const snapshotFrame = {isWhole: true, entries: [...servers, ...others, entryOf('vms/own', '10.0.0.1:80', 12)], revision: 30};

// Guards against the loss of backend servers that lapse and register again while a VM starts to follow another one,
// which does not publish their return.
describe('backend servers that lapse while a VM starts to follow the feed of another VM', () => {
	it('are kept, since the followed VM decides on removals', () => {
		const driver = afterLapse();
		driver.receiveFrame(snapshotFrame);
		for (let beat = 1; beat <= 30; beat++) {
			driver.passTime(100);
			driver.receiveFrame({revision: 30 + beat});
		}

		expect([driver.isReading, driver.usableServers]).toEqual([false, ['a', 'b']]);
	});

	it('are removed when the followed VM publishes their removal', () => {
		const driver = afterLapse();
		driver.receiveFrame(snapshotFrame);
		driver.passTime(100);
		driver.receiveFrame({revision: 31, deleted: ['servers/a']});
		expect(driver.usableServers).toEqual(['b']);
	});

	// Guards the same backend servers against a VM that continues to watch from a revision received from the feed.
	it('are listed again by a VM that reads the store after it has followed a feed', () => {
		const driver = readingAgain();
		driver.reply('list', {type: 'entries', entries: [...servers.slice(0, 2), ...others, entryOf('vms/own', '10.0.0.1:80', 12)], revision: 41});
		driver.passTime(2500);
		expect([driver.isReading, driver.usableServers]).toEqual([true, ['a']]);
	});

	// Guards against a stale copy of the store, behind the feed's revision, which would restore removed entries.
	it('are listed without a stale copy if the cheaper list is behind the revision of the feed', () => {
		const driver = readingAgain();
		driver.reply('list', {type: 'entries', entries: [...servers, ...others], revision: 25});
		driver.passTime(10);
		const list = driver.pendingRequests.find(({operation}) => operation.type === 'list')?.operation;
		expect([list?.type === 'list' && list.allowsStale === true, driver.usableServers]).toEqual([false, ['a', 'b']]);
		driver.reply('list', {type: 'entries', entries: [...servers.slice(0, 2), ...others, entryOf('vms/own', '10.0.0.1:80', 12)], revision: 41});
		driver.passTime(2500);
		expect(driver.usableServers).toEqual(['a']);
	});
});
