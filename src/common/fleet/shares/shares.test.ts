import {expect} from 'earl';
import fc from 'fast-check';
import {seededRandom} from '../../random/random.ts';
import {
	FakeFleet, type FakeVm, testChange, testService,
} from '../test-utilities.test.ts';
import {testLeaseMilliseconds} from '../fake-store.test.ts';

const slots = 4;
const windowMilliseconds = 10_000;

/** A moment at which a VM believed that it may spend a slot's part. */
type Spend = {readonly slot: number; readonly vm: string; readonly at: number};

/** Lets every VM spend whenever it believes it may; its own clock and what it holds are all it asks. */
function recordSpends(fleet: FakeFleet): Spend[] {
	const spends: Spend[] = [];
	const latest = new Map<string, number>();
	fleet.onStep = () => {
		for (const vm of fleet.vms) {
			const {shares} = vm;
			const mayCall = vm.isRunning && shares !== undefined && shares.measuringPart > 0 && fleet.now >= shares.measuringFrom && fleet.now < shares.measuringUntil;
			if (mayCall && fleet.now - (latest.get(vm.name) ?? -1000) >= 200) {
				latest.set(vm.name, fleet.now);
				spends.push({slot: vm.engine.status(fleet.now).shareSlot!, vm: vm.name, at: fleet.now});
			}
		}
	};

	return spends;
}

/** The promise: in any window one slot is spent by one VM only, so the slots' parts add up to the budget at most. */
function overlaps(spends: readonly Spend[]): Spend[][] {
	const overlapping: Spend[][] = [];
	for (let slot = 0; slot < slots; slot += 1) {
		const ordered = spends.filter(spend => spend.slot === slot);
		for (const [index, spend] of ordered.entries()) {
			const other = ordered.slice(index + 1).find(({vm, at}) => vm !== spend.vm && at - spend.at < windowMilliseconds);
			if (other) {
				overlapping.push([spend, other]);
				break;
			}
		}
	}

	return overlapping;
}

/** Most connections that the VMs together believe to be theirs, as a part of the limit. */
function connectionSum(fleet: FakeFleet): number {
	return fleet.vms.filter(({isGone}) => !isGone).reduce((sum, {shares}) => sum + (shares?.connectionPart ?? 0), 0);
}

function fleetOf(count: number, seed: number): FakeFleet {
	const fleet = new FakeFleet(seed, {shareSlots: slots});
	for (let index = 0; index < count; index += 1) {
		fleet.add(`vm-${index}`);
	}

	fleet.run(3000);
	fleet.dispatch(fleet.vms[0]!, {type: 'operator-change', requestId: 1, change: testChange('one', [testService('orders')])});
	fleet.run(1000);
	return fleet;
}

function holders(fleet: FakeFleet): string[] {
	return fleet.vms.filter(({isGone}) => !isGone).map(vm => `${vm.name} ${vm.engine.status(fleet.now).shareSlot === undefined ? 'none' : 'holds'} ${(vm.shares!.connectionPart * slots).toFixed(1)}`);
}

type Fault = {readonly kind: 'pause' | 'kill' | 'add' | 'stop' | 'outage' | 'cut' | 'lost' | 'suspend'; readonly vm: number; readonly milliseconds: number};

function apply(fleet: FakeFleet, fault: Fault, index: number): void {
	const running = fleet.vms.filter(({isRunning}) => isRunning);
	const vm = running[fault.vm % running.length];
	if (!vm) {
		return;
	}

	switch (fault.kind) {
		case 'pause': {
			fleet.pause(vm, fault.milliseconds);
			break;
		}

		case 'kill': {
			fleet.kill(vm);
			break;
		}

		case 'add': {
			fleet.add(`added-${index}`);
			break;
		}

		case 'stop': {
			fleet.dispatch(vm, {type: 'stop-requested', by: 'signal'});
			break;
		}

		case 'outage': {
			fleet.mode = 'down';
			fleet.after(fault.milliseconds, () => {
				fleet.mode = 'up';
			});
			break;
		}

		case 'lost': {
			fleet.mode = 'lost';
			fleet.after(fault.milliseconds, () => {
				fleet.mode = 'up';
			});
			break;
		}

		case 'cut': {
			fleet.modeOf = other => (other === vm ? 'down' : undefined);
			fleet.after(fault.milliseconds, () => {
				fleet.modeOf = () => undefined;
			});
			break;
		}

		case 'suspend': {
			// A VM's whole clock stands still; the adapter tells on waking. Here the clock runs on, which is stricter.
			fleet.pause(vm, fault.milliseconds);
			fleet.after(fault.milliseconds + 1, () => {
				fleet.dispatch(vm, {type: 'woke', milliseconds: fault.milliseconds});
			});
			break;
		}
	}
}

const faults: fc.Arbitrary<Fault[]> = fc.array(fc.record({
	kind: fc.constantFrom('pause', 'kill', 'add', 'stop', 'outage', 'cut', 'lost', 'suspend'),
	vm: fc.nat(9),
	milliseconds: fc.integer({min: 100, max: 3 * testLeaseMilliseconds}),
} as const), {minLength: 3, maxLength: 14});

describe('shares of fleet-wide budgets', () => {
	it('each VM holds a slot, and one beyond the slots spends nothing', function () {
		const fleet = fleetOf(5, 1);
		fleet.run(15_000);
		expect(holders(fleet)).toMatchSnapshot(this);
	});

	// VMs are paused past their leases, killed, replaced, cut from the store, lose answers, in any order and at once.
	// If two spent one slot in a window, a backend server would be measured more than its operator allowed.
	it('no slot is ever spent by two VMs within a window, whatever happens', () => {
		let spent = 0;
		fc.assert(fc.property(faults, fc.nat(1000), (list, seed) => {
			const fleet = fleetOf(4, seed);
			const spends = recordSpends(fleet);
			const random = seededRandom(seed);
			for (const [index, fault] of list.entries()) {
				apply(fleet, fault, index);
				fleet.run(500 + (6000 * random.next()));
			}

			fleet.mode = 'up';
			fleet.modeOf = () => undefined;
			fleet.run(30_000);
			spent += spends.length;
			expect(overlaps(spends)).toEqual([]);
		}), {seed: 11, numRuns: 60});
		expect(spent).toBeGreaterThan(10_000);
	});

	// A planned stop hands the slot over. If both went on with it, or a grant on its way were counted from its
	// arrival, it would be spent twice; if nobody had it, it would be lost until the lease ends.
	it('a stopping VM hands its slot to one without, who spends it only a window later', function () {
		const fleet = fleetOf(5, 2);
		fleet.run(15_000);
		const spends = recordSpends(fleet);
		fleet.mode = 'down';
		const without = fleet.vms.find(vm => vm.engine.status(fleet.now).shareSlot === undefined)!;
		const stopping = fleet.vms.find(vm => vm !== without)!;
		const slot = stopping.engine.status(fleet.now).shareSlot;
		fleet.dispatch(stopping, {type: 'stop-requested', by: 'signal'});
		fleet.run(7000);
		const handedOver = without.engine.status(fleet.now).shareSlot === slot;
		const isSpentEarly = spends.some(({vm}) => vm === without.name);
		fleet.mode = 'up';
		fleet.run(30_000);
		expect({
			handedOver, early: isSpentEarly, late: spends.some(({vm}) => vm === without.name), overlaps: overlaps(spends),
		}).toMatchSnapshot(this);
	});

	// In an outage nobody can claim, so nobody can take the connections over: giving them up would close connections
	// that work. A VM that alone is cut from the store must give them up, as others can claim its slot.
	it('connections are kept in an outage, and given up by a VM that alone is cut off', function () {
		const fleet = fleetOf(4, 3);
		fleet.run(15_000);
		fleet.mode = 'down';
		fleet.run(60_000);
		const inOutage = holders(fleet);
		const sum = connectionSum(fleet);
		fleet.mode = 'up';
		fleet.run(30_000);
		const isolated: FakeVm = fleet.vms[2]!;
		fleet.modeOf = vm => (vm === isolated ? 'down' : undefined);
		fleet.run(30_000);
		expect({inOutage, isWithinLimit: sum <= 1, alone: holders(fleet)}).toMatchSnapshot(this);
	});
});
