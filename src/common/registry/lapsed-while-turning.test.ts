import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const servers = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready'), entryOf('servers/b', 'orders 10.0.1.2 ready')];
const others = [entryOf('vms/x', '10.0.0.2:80', 2), entryOf('vms/y', '10.0.0.3:80', 3)];

/** A VM that read the store itself while it was silent for six seconds, and has just read that both entries have lapsed. */
function afterLapse(): RegistryDriver {
	const driver = new RegistryDriver();
	driver.start([...servers, ...others]);
	driver.publish();
	driver.lose(6000);
	while (!driver.asked.some(({operation}) => operation.type === 'watch')) {
		driver.passTime(20);
	}

	driver.reply('watch', {
		type: 'changes', entries: [], deleted: ['servers/a', 'servers/b'], revision: 20,
	});
	return driver;
}

/** The same, told by another VM since, which it has lost: it has read on and reads everything anew. */
function readingOn(): RegistryDriver {
	const driver = afterLapse();
	driver.frame(told);
	driver.frame({revision: 31});
	driver.handle({type: 'feed-closed', source: driver.source!});
	while (driver.source !== undefined) {
		driver.handle({type: 'feed-closed', source: driver.source});
	}

	while (!driver.asked.some(({operation}) => operation.type === 'watch')) {
		driver.passTime(20);
	}

	driver.reply('watch', {
		type: 'changes', entries: [], deleted: [], revision: 40,
	});
	driver.passTime(10);
	return driver;
}

/** What a VM tells that took the return of the two entries for a heartbeat: they stand as they were. */
const told = {isWhole: true, entries: [...servers, ...others, entryOf('vms/own', '10.0.0.1:80', 12)], revision: 30};

// Guards backend servers that lapse and come back against a VM that follows another one meanwhile: nobody publishes their return.
describe('backend servers that lapse while a VM turns to the feed of another', () => {
	it('stay, since it is for the VM that is followed to say what is gone', () => {
		const driver = afterLapse();
		driver.frame(told);
		for (let beat = 1; beat <= 30; beat++) {
			driver.passTime(100);
			driver.frame({revision: 30 + beat});
		}

		expect([driver.isReading, driver.usable]).toEqual([false, ['a', 'b']]);
	});

	it('are gone when the VM that is followed says so', () => {
		const driver = afterLapse();
		driver.frame(told);
		driver.passTime(100);
		driver.frame({revision: 31, deleted: ['servers/a']});
		expect(driver.usable).toEqual(['b']);
	});

	// Guards the same backend servers against a VM that watches on from a revision that it was only told.
	it('are read anew by a VM that reads on after it was told', () => {
		const driver = readingOn();
		driver.reply('list', {type: 'entries', entries: [...servers.slice(0, 2), ...others, entryOf('vms/own', '10.0.0.1:80', 12)], revision: 41});
		driver.passTime(2500);
		expect([driver.isReading, driver.usable]).toEqual([true, ['a']]);
	});

	// Guards against a copy of the store that lies behind what another VM has told: it would bring back what is gone.
	it('are read from the store itself where the cheaper list is older than what was told', () => {
		const driver = readingOn();
		driver.reply('list', {type: 'entries', entries: [...servers, ...others], revision: 25});
		driver.passTime(10);
		const list = driver.asked.find(({operation}) => operation.type === 'list')?.operation;
		expect([list?.type === 'list' && list.mayBeOld === true, driver.usable]).toEqual([false, ['a', 'b']]);
		driver.reply('list', {type: 'entries', entries: [...servers.slice(0, 2), ...others, entryOf('vms/own', '10.0.0.1:80', 12)], revision: 41});
		driver.passTime(2500);
		expect(driver.usable).toEqual(['a']);
	});
});
