import {expect} from 'earl';
import {type DemandFigure, mergeDemand, CapacitySharing} from './capacity-sharing.ts';

function figure(priority: number, caller: string | undefined, callsPerSecond: number, callers = 1): DemandFigure {
	return {
		priority, caller, callers, callsPerSecond,
	};
}

/** Sharing of a service that answered 300 of 400 admitted calls per second, so that 5 percent more than 300 are admitted. */
function sharingOf(...demand: DemandFigure[]): CapacitySharing {
	return new CapacitySharing({demand, admittedPerSecond: 400, servedPerSecond: 300});
}

const capacity = 315;

describe('CapacitySharing', () => {
	it('gives the capacity to the priorities in order', () => {
		const sharing = sharingOf(figure(0, 'a', 90), figure(1, 'b', 390));
		expect([sharing.fractionOf(0, 'a'), sharing.fractionOf(0, 'unknown')]).toEqual([1, 1]);
		expect(sharing.fractionOf(1, 'b')).toBeCloseTo((capacity - 90) / 390, 1e-6);
	});

	// Guards less urgent calls against being shut out by urgent ones.
	it('admits each priority at a third of the overall fraction at least, within the capacity', () => {
		const sharing = sharingOf(figure(0, 'a', 600), figure(1, 'b', 200), figure(2, 'c', 100));
		const floor = capacity / 900 / 3;
		expect(sharing.fractionOf(2, 'c')).toBeCloseTo(floor, 1e-6);
		expect((600 * sharing.fractionOf(0, 'a')) + (300 * floor)).toBeCloseTo(capacity, 1e-3);
	});

	// Guards small organisations against one at twenty times its usual rate.
	it('shares max-min fairly by caller', () => {
		const small = Array.from({length: 9}, (_, index) => figure(1, `small-${index}`, 16));
		const sharing = sharingOf(...small, figure(1, 'large', 350));
		expect([sharing.fractionOf(1, 'small-3'), sharing.isPreferred(1, 'small-3'), sharing.isPreferred(1, 'large')]).toEqual([1, true, false]);
		expect(sharing.fractionOf(1, 'large')).toBeCloseTo((capacity - 144) / 350, 1e-6);
	});

	// Guards services without priorities: the queue and the placement decide as before.
	it('refuses nothing if all calls have one priority and no caller is dominant', () => {
		const even = sharingOf(figure(0, 'a', 220), figure(0, 'b', 200), figure(0, 'c', 180));
		const single = sharingOf(figure(0, 'a', 900));
		expect([even.isActive, single.isActive, even.fractionOf(0, 'a'), single.fractionOf(0, 'a')]).toEqual([false, false, 1, 1]);
	});

	// Guards a recovering service: where nothing is answered, the cause is not a lack of capacity.
	it('refuses nothing if nothing was answered', () => {
		expect(new CapacitySharing({demand: [figure(0, 'a', 9), figure(1, 'b', 9)], admittedPerSecond: 18, servedPerSecond: 0}).fractionOf(1, 'b')).toEqual(1);
	});

	it('asks the most urgent callers back first', () => {
		const demand = [figure(0, 'a', 400), figure(1, 'b', 300), figure(2, 'c', 300)];
		const sharing = sharingOf(...demand);
		const [first, second, third] = [0, 1, 2].map(priority => sharing.retryAfter(priority, demand));
		expect(first! < second! && second! < third!).toEqual(true);
		// Of 1,000 calls, 685 were refused; at 315 calls per second they need 2.2 s.
		expect(third!).toBeCloseTo(1000 * 685 / capacity, 1);
	});

	it('treats callers that are not listed as equal small ones', () => {
		const sharing = sharingOf(figure(0, 'a', 400), figure(0, undefined, 100, 50));
		expect([sharing.fractionOf(0, 'not listed'), sharing.fractionOf(0, 'a') < 0.6]).toEqual([1, true]);
	});

	it('sums the figures of several VMs', () => {
		const merged = mergeDemand([
			{demand: [figure(0, 'a', 3), figure(1, undefined, 2, 2)], admittedPerSecond: 5, servedPerSecond: 4},
			{demand: [figure(0, 'a', 4), figure(1, undefined, 3, 3)], admittedPerSecond: 6, servedPerSecond: 5},
		]);
		expect(merged).toEqual({demand: [figure(0, 'a', 7), figure(1, undefined, 5, 3)], admittedPerSecond: 11, servedPerSecond: 9});
	});
});
