import {expect} from 'earl';
import {RetryBudget} from './retry-budget.ts';

/** Second attempts that one VM of so many makes when a fault begins after a quiet hour. */
function countBurstAttempts(burst: number, vmCount: number): number {
	const budget = new RetryBudget();
	budget.shareBurst(burst, vmCount);
	for (let call = 0; call < 1000; call++) {
		budget.deposit(0.2);
	}

	let attempts = 0;
	while (budget.tryTake()) {
		attempts++;
	}

	return attempts;
}

describe('the fleet\'s burst of retries', () => {
	// Guards the retry budget against the sum of what each VM of a large fleet has saved up.
	it('is shared out, so that all VMs together stay within it', () => {
		expect([14 * countBurstAttempts(58, 14) <= 58, 116 * countBurstAttempts(186, 116) <= 186, countBurstAttempts(58, 14) >= 3]).toEqual([true, true, true]);
	});

	it('leaves each VM one second attempt', () => {
		expect(countBurstAttempts(60, 1000)).toEqual(1);
	});
});
