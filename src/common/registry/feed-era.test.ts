import {expect} from 'earl';
import {storePosition} from '../platform/store-position.ts';
import {type StoreEntry} from '../platform/types.ts';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const entries = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready 1000'), entryOf('vms/x', '10.0.0.2:80', 2)];

function inEra(era: number, list: readonly StoreEntry[] = entries): StoreEntry[] {
	return list.map(entry => ({...entry, revision: storePosition(era, entry.revision)}));
}

/** An engine that has read the store in its first era and connects to another VM. */
function started(): RegistryDriver {
	const driver = new RegistryDriver();
	driver.handle({type: 'started'});
	for (const pause of [600, 0]) {
		driver.reply('list', {
			type: 'entries', entries: inEra(1), revision: storePosition(1, 10), era: 1,
		});
		driver.passTime(pause);
	}

	return driver;
}

/** The pending watch finds that the store was restored, and the list that follows is answered with these entries. */
function restore(driver: RegistryDriver, listed: readonly StoreEntry[]): void {
	driver.passTime(500);
	driver.reply('watch', {type: 'history-lost', era: 2});
	driver.passTime(0);
	driver.reply('list', {
		type: 'entries', entries: listed, revision: storePosition(2, 8), era: 2,
	});
}

describe('a feed of another VM, if the store reports its era', () => {
	// Guards a fleet in which VMs of an earlier build read the store for those of this one.
	it('is fresh without an era, until the store was restored', () => {
		const driver = started();
		driver.receiveFrame({isWhole: true, entries, lacksEra: true});
		const before = driver.isReading;
		driver.passTime(1600);
		driver.reply('watch', {type: 'history-lost', era: 2});
		driver.receiveFrame({
			isWhole: true, entries: [], lacksEra: true, revision: 900,
		});
		expect([before, driver.isReading, driver.usableServers]).toEqual([false, true, ['a']]);
	});

	// Guards a starting fleet, in which sources accept followers before they have read the store.
	it('extends the empty snapshot of a source that had not read the store yet', () => {
		const driver = new RegistryDriver();
		driver.handle({type: 'started'});
		driver.reply('list', {
			type: 'entries', entries: inEra(1), revision: storePosition(1, 10), era: 1,
		});
		driver.receiveFrame({isWhole: true, revision: 0, ageMilliseconds: 1e9});
		driver.receiveFrame({entries: inEra(1, [entryOf('servers/b', 'orders 10.0.1.2 ready 1000', 15)]), revision: storePosition(1, 15)});
		expect([driver.usableServers, driver.logged.filter(message => message.includes('restored'))]).toEqual([['a', 'b'], []]);
	});

	// Guards against the first reply of the store being taken for a restore, after a frame of a VM that had read nothing.
	it('does not define the era if its source has not read the store', () => {
		const driver = new RegistryDriver();
		driver.handle({type: 'started'});
		driver.receiveFrame({isWhole: true, revision: 0, ageMilliseconds: 1e9});
		driver.reply('list', {
			type: 'entries', entries: inEra(1), revision: storePosition(1, 10), era: 1,
		});
		expect(driver.logged.filter(message => message.includes('restored'))).toEqual([]);
	});

	// Guards against a source that has not noticed the restore yet, and whose revisions are higher.
	it('is ignored if it precedes the restore', () => {
		const driver = started();
		restore(driver, inEra(2));
		driver.receiveFrame({
			isWhole: true, entries: inEra(1, [entryOf('servers/b', 'orders 10.0.1.2 ready 1000', 90)]), revision: storePosition(1, 99),
		});
		expect([driver.isReading, driver.usableServers]).toEqual([true, ['a']]);
	});
});

describe('an engine whose store was restored', () => {
	it('logs it once, and once more when it has read all entries', () => {
		const driver = started();
		restore(driver, inEra(2));
		expect(driver.logged.filter(message => message.includes('restored'))).toEqual([
			'the store was restored from a backup and has lost its latest writes', 'all entries have been read since the store was restored',
		]);
	});

	// Guards against a lease that the restored store has granted to another VM under the same identifier.
	it('writes its entry again under a new lease', () => {
		const driver = started();
		driver.passTime(800);
		driver.reply('grant-lease', {
			type: 'lease', leaseId: '7', milliseconds: 3000, era: 1,
		});
		driver.reply('write-all', {type: 'written', revision: storePosition(1, 12), era: 1});
		restore(driver, inEra(2));
		driver.passTime(200);
		driver.reply('grant-lease', {
			type: 'lease', leaseId: '7', milliseconds: 3000, era: 2,
		});
		const write = driver.pendingRequests.find(({operation}) => operation.type === 'write-all')?.operation;
		expect(write?.type === 'write-all' ? write.writes.map(({key, expected}) => [key, expected]) : write).toEqual([['vms/own', 0]]);
	});

	// Guards against a reply that was sent before the restore and arrives after a later one.
	it('ignores replies of an earlier era', () => {
		const driver = started();
		driver.passTime(500);
		driver.reply('watch', {type: 'history-lost', era: 2});
		driver.passTime(0);
		driver.reply('list', {
			type: 'entries', entries: inEra(1, entries.slice(0, 1)), revision: storePosition(1, 99), era: 1,
		});
		driver.passTime(3000);
		expect(driver.usableServers).toEqual(['a']);
	});
});
