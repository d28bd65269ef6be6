import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const entries = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready')];

/** Operations that wait for the store's answer, but for watches. */
function waiting(driver: RegistryDriver): string[] {
	return driver.asked.map(({operation}) => operation).filter(({type}) => type !== 'watch').map(operation =>
		operation.type === 'write-all' ? operation.writes.map(({key, value}) => `${value === undefined ? 'remove' : 'put'} ${key}`).join(', ') : operation.type);
}

describe('the own entry of a VM that stops', () => {
	// Guards callers against an entry that is written after its VM has taken it back.
	it('is taken back though its write is under way', () => {
		const driver = new RegistryDriver();
		driver.start(entries);
		driver.reply('grant-lease', {type: 'lease', leaseId: 'lease-1', milliseconds: 3000});
		expect(waiting(driver)).toEqual(['put vms/own']);
		driver.handle({type: 'stop-requested', by: 'signal'});
		driver.reply('write-all', {type: 'written', revision: 21});
		driver.passTime(0);
		expect(waiting(driver)).toEqual(['remove vms/own']);
	});

	// Guards callers against an entry that stays when the store refuses its removal or loses the answer.
	for (const type of ['unavailable', 'unknown'] as const) {
		it(`is taken back again when the store did not say that it is gone: ${type}`, () => {
			const driver = new RegistryDriver();
			driver.start(entries);
			driver.publish();
			driver.handle({type: 'stop-requested', by: 'signal'});
			driver.passTime(0);
			expect(waiting(driver)).toEqual(['remove vms/own']);
			driver.reply('write-all', {type});
			driver.passTime(1000);
			expect(waiting(driver)).toEqual(['remove vms/own']);
			driver.reply('write-all', {type: 'not-all-as-expected', revisions: new Map([['vms/own', 0]])});
			driver.passTime(1000);
			expect(waiting(driver)).toEqual([]);
		});
	}

	// Guards the removal of the entry against later stages of the stop that arrive while it is retried.
	it('is taken back again through the stages of the stop', () => {
		const driver = new RegistryDriver();
		driver.start(entries);
		driver.publish();
		driver.handle({type: 'stop-requested', by: 'signal'});
		driver.passTime(4000);
		driver.reply('write-all', {type: 'unavailable'});
		driver.passTime(1000);
		expect({stage: driver.stages.at(-1), waiting: waiting(driver)}).toEqual({stage: 'ended', waiting: ['remove vms/own']});
	});
});
