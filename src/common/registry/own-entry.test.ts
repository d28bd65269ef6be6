import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const entries = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready')];

/** Operations without a reply, except watches. */
function pendingOperations(driver: RegistryDriver): string[] {
	return driver.pendingRequests.map(({operation}) => operation).filter(({type}) => type !== 'watch').map(operation =>
		operation.type === 'write-all' ? operation.writes.map(({key, value}) => `${value === undefined ? 'remove' : 'put'} ${key}`).join(', ') : operation.type);
}

describe('the store entry of a VM that stops', () => {
	// Guards callers against an entry that is written after its VM has withdrawn it.
	it('is removed even if its write is still in progress', () => {
		const driver = new RegistryDriver();
		driver.start(entries);
		driver.reply('grant-lease', {type: 'lease', leaseId: 'lease-1', milliseconds: 3000});
		expect(pendingOperations(driver)).toEqual(['put vms/own']);
		driver.handle({type: 'stop-requested', by: 'signal'});
		driver.reply('write-all', {type: 'written', revision: 21});
		driver.passTime(0);
		expect(pendingOperations(driver)).toEqual(['remove vms/own']);
	});

	// Guards callers against an entry that remains because the store rejected the removal or its reply was lost.
	for (const type of ['unavailable', 'unknown'] as const) {
		it(`has its removal retried until the store confirms it: ${type}`, () => {
			const driver = new RegistryDriver();
			driver.start(entries);
			driver.registerOwn();
			driver.handle({type: 'stop-requested', by: 'signal'});
			driver.passTime(0);
			expect(pendingOperations(driver)).toEqual(['remove vms/own']);
			driver.reply('write-all', {type});
			driver.passTime(1000);
			expect(pendingOperations(driver)).toEqual(['remove vms/own']);
			driver.reply('write-all', {type: 'not-all-as-expected', revisions: new Map([['vms/own', 0]])});
			driver.passTime(1000);
			expect(pendingOperations(driver)).toEqual([]);
		});
	}

	// Guards the removal of the entry against later stages of the stop that start while the removal is retried.
	it('has its removal retried through all stages of the stop', () => {
		const driver = new RegistryDriver();
		driver.start(entries);
		driver.registerOwn();
		driver.handle({type: 'stop-requested', by: 'signal'});
		driver.passTime(4000);
		driver.reply('write-all', {type: 'unavailable'});
		driver.passTime(1000);
		expect({stage: driver.stages.at(-1), waiting: pendingOperations(driver)}).toEqual({stage: 'ended', waiting: ['remove vms/own']});
	});
});
