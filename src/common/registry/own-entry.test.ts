import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const entries = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready')];

/** Operations that wait for the store's answer, by type and lease. */
function waiting(driver: RegistryDriver): string[] {
	return driver.asked.filter(({operation}) => operation.type !== 'watch').map(({operation}) => `${operation.type} ${'leaseId' in operation ? operation.leaseId ?? '' : ''}`.trim());
}

describe('the own entry of a VM that stops', () => {
	// Story: a VM is stopped just when it writes its entry, and the store is slow. The entry comes to stand after the VM has
	// taken it back, and callers are sent to the VM till the lease has lapsed, when its process is long gone.
	// Cause: the lease was known only from the answer to the write, and the answer was passed over.
	it('is taken back though its write is under way', () => {
		const driver = new RegistryDriver();
		driver.start(entries);
		driver.reply('grant-lease', {type: 'lease', leaseId: 'lease-1', milliseconds: 3000});
		expect(waiting(driver)).toEqual(['compare-and-swap lease-1']);
		driver.handle({type: 'stop-requested', by: 'signal'});
		driver.reply('compare-and-swap', {type: 'written', revision: 21});
		expect(waiting(driver)).toEqual(['revoke-lease lease-1']);
	});

	// Story: the store refuses a request or loses its answer, which it does under load, just when a VM takes its entry back.
	// Callers are sent to a VM that ends.
	for (const type of ['unavailable', 'unknown'] as const) {
		it(`is taken back again when the store did not say that it is gone: ${type}`, () => {
			const driver = new RegistryDriver();
			driver.start(entries);
			driver.reply('grant-lease', {type: 'lease', leaseId: 'lease-1', milliseconds: 3000});
			driver.reply('compare-and-swap', {type: 'written', revision: 21});
			driver.handle({type: 'stop-requested', by: 'signal'});
			expect(waiting(driver)).toEqual(['revoke-lease lease-1']);
			driver.reply('revoke-lease', {type});
			driver.passTime(1000);
			expect(waiting(driver)).toEqual(['revoke-lease lease-1']);
			driver.reply('revoke-lease', {type: 'lease-lost'});
			driver.passTime(1000);
			expect(waiting(driver)).toEqual([]);
		});
	}

	// Story: as before, and the VM comes to the next stages of its stop while it waits to ask again.
	it('is taken back again through the stages of the stop', () => {
		const driver = new RegistryDriver();
		driver.start(entries);
		driver.reply('grant-lease', {type: 'lease', leaseId: 'lease-1', milliseconds: 3000});
		driver.reply('compare-and-swap', {type: 'written', revision: 21});
		driver.handle({type: 'stop-requested', by: 'signal'});
		driver.passTime(4000);
		driver.reply('revoke-lease', {type: 'unavailable'});
		driver.passTime(1000);
		expect({stage: driver.stages.at(-1), waiting: waiting(driver)}).toEqual({stage: 'ended', waiting: ['revoke-lease lease-1']});
	});
});
