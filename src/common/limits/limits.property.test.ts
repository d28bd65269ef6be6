import {expect} from 'earl';
import fc from 'fast-check';
import {
	type FleetVm, LimitsFleet, usualLimits, usualRates,
} from './limits-fleet.test.ts';

const seconds = 12;
const end = seconds * 1000;

function newFleet(vms: number, seed: number): LimitsFleet {
	return new LimitsFleet(vms, usualLimits, seed);
}

function loadAll(fleet: LimitsFleet, choose: () => ReturnType<LimitsFleet['anyVm']>, hot?: string): void {
	for (const [name, rate] of usualRates) {
		fleet.load(name, name === hot ? rate * 6 : rate, end, choose);
	}
}

const all = new Set(usualRates.keys());

const few = new Map([['large', {callsPerSecond: 60, burst: 60}], ['middle', {callsPerSecond: 12, burst: 3}], ['small', {callsPerSecond: 1.5, burst: 1}]]);

type Fault = {
	readonly fleet: LimitsFleet;
	/** VM that gets half of all calls. */
	readonly favourite: {index: number};
	readonly pick: number;
	readonly milliseconds: number;
};

const kinds = ['kill', 'kill-holder', 'restart', 'cut', 'heal', 'suspend', 'suspend-holder', 'orphan-holder', 'change', 'double', 'move'] as const;

const actions: Readonly<Record<(typeof kinds)[number], (fault: Fault, vm: FleetVm) => void>> = {
	kill({fleet}, vm) {
		fleet.kill(vm);
	},
	'kill-holder'({fleet}, vm) {
		fleet.kill(vm);
	},
	restart({fleet}) {
		for (const vm of fleet.vms) {
			fleet.restart(vm);
		}
	},
	cut(_fault, vm) {
		vm.isCutOff = true;
	},
	heal({fleet}) {
		for (const vm of fleet.vms) {
			vm.isCutOff = false;
			vm.hasStore = true;
		}
	},
	suspend({fleet, milliseconds}, vm) {
		fleet.suspend(vm, milliseconds);
	},
	'suspend-holder'({fleet, milliseconds}, vm) {
		fleet.suspend(vm, milliseconds);
	},
	/** The holder learns nothing of its successor, and gets half of all calls. */
	'orphan-holder'({fleet, favourite}, vm) {
		vm.hasStore = false;
		favourite.index = fleet.vms.indexOf(vm);
	},
	change({fleet, pick}) {
		const factor = (1 + (pick % 3)) / 2;
		fleet.change(new Map([...few].map(([name, {callsPerSecond, burst}]) => [name, {callsPerSecond: callsPerSecond * factor, burst: burst * factor}])));
	},
	double({fleet}) {
		fleet.addVms(Math.min(12, 48 - fleet.vms.length));
	},
	move({fleet, favourite, pick}) {
		favourite.index = pick % fleet.vms.length;
	},
};

type Command = {readonly at: number; readonly kind: (typeof kinds)[number]; readonly pick: number; readonly milliseconds: number};

function faultsUntil(latest: number, chosen: ReadonlyArray<(typeof kinds)[number]>): fc.Arbitrary<Command[]> {
	return fc.array(fc.record({
		at: fc.integer({min: 0, max: latest}), kind: fc.constantFrom(...chosen), pick: fc.nat(100), milliseconds: fc.integer({min: 100, max: 16_000}),
	}), {maxLength: 14});
}

/** Runs 12 VMs for 40 s with four times the calls that the limits allow, half of them at one VM. */
function playFaults(seed: number, faults: LimitsFleet['faults'], commands: readonly Command[]): LimitsFleet {
	const fleet = new LimitsFleet(12, few, seed);
	fleet.faults = faults;
	const favourite = {index: 0};
	for (const [name, {callsPerSecond}] of few) {
		fleet.load(name, callsPerSecond * 4, 40_000, () => fleet.random.next() < 0.5 ? fleet.vms[favourite.index]! : fleet.anyVm());
	}

	for (const {at, kind, pick, milliseconds} of commands) {
		fleet.at(at, () => {
			const vm = kind.endsWith('holder') ? fleet.holder(pick % 3) : fleet.vms[pick % fleet.vms.length];
			if (vm !== undefined) {
				actions[kind]({
					fleet, favourite, pick, milliseconds,
				}, vm);
			}
		});
	}

	fleet.runUntil(40_000);
	return fleet;
}

describe('rate limits of a fleet', function () {
	this.timeout(160_000);

	// Guards against shares of the limit per VM that are below one call.
	it('serves 83 organisations below their limits, spread over 130 VMs with far less than one call per second each', () => {
		const fleet = newFleet(130, 1);
		loadAll(fleet, () => fleet.anyVm());
		fleet.runUntil(end);
		expect(fleet.violations()).toEqual([]);
		expect(fleet.servedBelowLimit(3000, all)).toBeGreaterThanOrEqual(0.97);
	});

	// Guards against a limit that can be used only by calls to many VMs.
	it('serves 83 organisations below their limits with all calls at one of 130 VMs', () => {
		const fleet = newFleet(130, 2);
		loadAll(fleet, () => fleet.vms[70]!);
		fleet.runUntil(end);
		expect(fleet.violations()).toEqual([]);
		expect(fleet.servedBelowLimit(3000, all)).toBeGreaterThanOrEqual(0.97);
	});

	// Guards against shares that follow demand too slowly, or exceed the limit while they do.
	it('serves 83 organisations below their limits with all calls moving to another VM every half second', () => {
		const fleet = newFleet(130, 3);
		loadAll(fleet, () => fleet.vms[Math.floor(fleet.now / 500) * 7 % 130]!);
		fleet.runUntil(end);
		expect(fleet.violations()).toEqual([]);
		expect(fleet.servedBelowLimit(3000, all)).toBeGreaterThanOrEqual(0.97);
	});

	// Guards against a limit that depends on the number of VMs.
	it('serves 83 organisations below their limits, spread over 130 VMs that become 260 at once', () => {
		const fleet = newFleet(130, 4);
		loadAll(fleet, () => fleet.anyVm());
		fleet.at(5000, () => {
			fleet.addVms(130);
		});
		fleet.runUntil(end);
		expect(fleet.violations()).toEqual([]);
		expect(fleet.servedBelowLimit(3000, all)).toBeGreaterThanOrEqual(0.97);
	});

	// Guards against calls that depend on one holder.
	it('serves two thirds of each limit, spread over 130 VMs with one holder dead', () => {
		const fleet = newFleet(130, 5);
		loadAll(fleet, () => fleet.anyVm(), 'o2');
		fleet.at(4000, () => {
			fleet.kill(fleet.holder(1)!);
		});
		fleet.runUntil(end);
		expect(fleet.violations()).toEqual([]);
		// 0.9 of the two thirds that are left, as for a whole limit.
		expect(fleet.used('o2', 4000, end)).toBeGreaterThanOrEqual(0.9 * 2 / 3);
		expect(fleet.servedBelowLimit(4000, new Set(['o1', 'o3', 'o4', 'o5']), 2 / 3)).toBeGreaterThanOrEqual(0.97);
	});

	// Guards against refusals of others, and against unused tokens, because of one organisation far above its limit.
	it('uses the limit of an organisation at six times its usual rate and serves 82 others below theirs, spread over 130 VMs', () => {
		const fleet = newFleet(130, 6);
		loadAll(fleet, () => fleet.anyVm(), 'o3');
		fleet.runUntil(end);
		expect(fleet.violations()).toEqual([]);
		expect(fleet.used('o3', 3000, end)).toBeGreaterThanOrEqual(0.9);
		expect(fleet.servedBelowLimit(3000, new Set([...all].filter(name => name !== 'o3')))).toBeGreaterThanOrEqual(0.97);
	});

	// Guards against calls above the limit from tokens that are granted twice, by two holders, or outside a right.
	it('never exceeds the limits under random kills, restarts, cuts, suspensions, lost, repeated and late datagrams, and changed limits, with 12 VMs far above their limits', () => {
		const loss = fc.record({lost: fc.constantFrom(0, 0.02, 0.3), repeated: fc.constantFrom(0, 0.2), late: fc.constantFrom(0, 0.1)});
		fc.assert(fc.property(fc.nat(1_000_000), loss, faultsUntil(35_000, kinds), (seed, faults, commands) => {
			expect(playFaults(seed, faults, commands).violations()).toEqual([]);
		}), {seed: 20_261_204, numRuns: 60});
	});

	// Guards against tokens or holders that stay lost after a fault.
	it('uses the limits again after random kills, restarts, suspensions and moved demand, with 12 VMs far above their limits and all holders alive', () => {
		fc.assert(fc.property(fc.nat(1_000_000), faultsUntil(18_000, ['kill', 'kill-holder', 'restart', 'suspend-holder', 'orphan-holder', 'double', 'move']), (seed, commands) => {
			const fleet = playFaults(seed, {lost: 0.02, repeated: 0, late: 0}, commands);
			// With many kills, a data centre may have no VM left, whose slot then has no holder in this model.
			const isWhole = [0, 1, 2].every(slot => fleet.holder(slot)?.isAlive === true && fleet.holder(slot)?.hasStore === true);
			expect(!isWhole || fleet.used('large', 37_000, 40_000) >= 0.9).toEqual(true);
		}), {seed: 20_261_204, numRuns: 30});
	});
});
