import {expect} from 'earl';
import {RetryBudget} from './retry-budget.ts';

/** Number of retries that one of `vmCount` VMs may start at once when a fault begins after 1000 calls without failures. */
function countBurstAttempts(burst: number, vmCount: number): number {
	const budget = new RetryBudget();
	budget.setBurstShare(burst, vmCount);
	for (let call = 0; call < 1000; call++) {
		budget.deposit(0.2);
	}

	let attempts = 0;
	while (budget.tryTake()) {
		attempts++;
	}

	return attempts;
}

describe('retry burst of the fleet', () => {
	// Guards against a retry storm from the tokens that all VMs of a large fleet have saved.
	it('is divided among the VMs so that their total stays within it', () => {
		expect([14 * countBurstAttempts(58, 14) <= 58, 116 * countBurstAttempts(186, 116) <= 186, countBurstAttempts(58, 14) >= 3]).toEqual([true, true, true]);
	});

	it('allows each VM at least one retry', () => {
		expect(countBurstAttempts(60, 1000)).toEqual(1);
	});
});
