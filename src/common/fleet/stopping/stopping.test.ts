import {expect} from 'earl';
import {
	FakeFleet, type FakeVm, testBackendServer, testChange, testService,
} from '../test-utilities.test.ts';

function fleetOf(count: number): FakeFleet {
	const fleet = new FakeFleet(7);
	for (let index = 0; index < count; index += 1) {
		fleet.add(`vm-${index}`, `dc-${index % 3}`);
	}

	fleet.run(8000);
	return fleet;
}

function traffic(fleet: FakeFleet, vm: FakeVm, callsInFlight: number): void {
	vm.callsInFlight = callsInFlight;
	fleet.dispatch(vm, {type: 'traffic', traffic: {openConnections: callsInFlight, idleConnections: 0, callsInFlight}});
}

function countVmsReturning(fleet: FakeFleet, vm: FakeVm): number {
	return fleet.vms.filter(({isGone}) => !isGone).filter(other => other.engine.addresses('orders', fleet.now).addresses.some(({address}) => address === vm.settings.callAddress)).length;
}

describe('planned stop of a VM', () => {
	// Guards against a VM that ends too soon: it would break off a long download, and callers with cached answers that
	// contain this VM would be refused connections.
	it('removes the VM from address answers, serves while callers cache older ones, and waits for a download without a time limit', function () {
		const fleet = fleetOf(4);
		const vm = fleet.vms[1]!;
		traffic(fleet, vm, 1);
		fleet.dispatch(vm, {type: 'stop-requested', by: 'signal'});
		const steps: string[] = [];
		for (const second of [0, 1, 2, 4, 5, 6, 7, 3600]) {
			fleet.run((second * 1000) + 8000 - fleet.now);
			steps.push(`${second} s: ${vm.stages.at(-1)}, returned by ${countVmsReturning(fleet, vm)}`);
		}

		traffic(fleet, vm, 0);
		fleet.run(2000);
		expect({steps, stages: vm.stages}).toMatchSnapshot(this);
	});

	it('begins on an operator\'s order through another VM, and on the platform\'s list unless it is outdated', function () {
		const fleet = fleetOf(4);
		const list = (state: 'live' | 'leaving') => ({type: 'vm-list', vms: [{address: 'vm-2:1', dataCentre: 'dc-2', state}]} as const);
		fleet.dispatch(fleet.vms[0]!, {type: 'operator-drain', identity: 'vm-1'});
		fleet.dispatch(fleet.vms[2]!, list('live'));
		fleet.dispatch(fleet.vms[2]!, list('leaving'));
		// The list lags: it still shows the previous process at this address.
		fleet.dispatch(fleet.vms[3]!, {type: 'vm-list', vms: [{address: 'vm-3:1', dataCentre: 'dc-0', state: 'leaving'}]});
		fleet.run(100);
		expect(fleet.vms.map(({stages}) => stages.at(-1))).toMatchSnapshot(this);
	});

	// Guards the service when all VMs are replaced one after the other in an outage of the store. The new VMs can neither
	// read the configuration nor claim share slots there, so they must get both from the old VMs before those end.
	it('replaces all VMs in an outage of the store without losing configuration or share slots', function () {
		const fleet = fleetOf(6);
		fleet.dispatch(fleet.vms[0]!, {type: 'operator-change', requestId: 1, change: testChange('one', [testService('orders'), testBackendServer('a', 'orders')])});
		fleet.run(1000);
		fleet.mode = 'down';
		const minAddressCounts: number[] = [];
		for (let index = 0; index < 6; index += 1) {
			const live = fleet.vms.filter(({isGone}) => !isGone).map(({address}) => address);
			fleet.add(`new-${index}`, `dc-${index % 3}`, {seeds: live.slice(0, 3)});
			fleet.run(1000);
			fleet.dispatch(fleet.vms[index]!, {type: 'stop-requested', by: 'signal'});
			fleet.run(8000);
			minAddressCounts.push(Math.min(...fleet.vms.filter(({isGone}) => !isGone).map(vm => vm.engine.addresses('orders', fleet.now).addresses.length)));
		}

		expect({
			old: fleet.vms.slice(0, 6).map(({stages}) => stages.at(-1)),
			replacements: fleet.vms.slice(6).map(vm => `${vm.stages.at(-1)} ${vm.configuration?.version} ${vm.configuration?.backendServers.size} ${vm.isCutOff}`),
			slots: new Set(fleet.vms.slice(6).map(vm => vm.engine.status(fleet.now).shareSlot)).size,
			minAddressCounts,
		}).toMatchSnapshot(this);
	});
});

describe('leaving of a backend server', () => {
	function declare(fleet: FakeFleet): string {
		fleet.dispatch(fleet.vms[0]!, {type: 'operator-change', requestId: 1, change: testChange('one', [testService('orders'), testBackendServer('a', 'orders')])});
		fleet.run(1500);
		return [...fleet.vms[0]!.configuration!.backendServers.keys()][0]!;
	}

	// Guards a leaving backend server against calls from VMs that have not yet received a marked response from it. One VM
	// has received one; the store is unavailable as well.
	it('the first sign on any VM reaches all VMs within 2 s, also in an outage of the store', function () {
		const fleet = fleetOf(16);
		const identity = declare(fleet);
		fleet.mode = 'down';
		const at = fleet.now;
		fleet.dispatch(fleet.vms[9]!, {type: 'leaving-sign', sign: {identity, instance: 'p1', source: 'answer'}});
		fleet.run(2000);
		expect(fleet.vms.map(({name, signs}) => `${name} ${signs.length} ${signs[0]!.at - at < 2000}`)).toMatchSnapshot(this);
	});

	// Guards the new process of a returned server against an old sign, which a VM passes on after a pause; with that sign
	// applied, the process would get no calls.
	it('an old sign does not apply to a server that has returned', function () {
		const fleet = fleetOf(4);
		const identity = declare(fleet);
		fleet.dispatch(fleet.vms[0]!, {type: 'leaving-sign', sign: {identity, instance: 'p1', source: 'answer'}});
		fleet.pause(fleet.vms[3]!, 4000);
		fleet.run(1500);
		for (const vm of fleet.vms) {
			fleet.dispatch(vm, {type: 'returned', identity, instance: 'p2'});
		}

		fleet.run(8000);
		const afterReturn = fleet.vms.map(vm => vm.engine.status(fleet.now).leavingSigns.length);
		fleet.dispatch(fleet.vms[1]!, {type: 'leaving-sign', sign: {identity, instance: 'p2', source: 'answer'}});
		fleet.run(2000);
		expect({afterReturn, leavesAgain: fleet.vms.map(vm => vm.engine.status(fleet.now).leavingSigns.map(({instance}) => instance))}).toMatchSnapshot(this);
	});

	// Guards a returned server whose new process only one VM has observed. A VM that starts later receives all signs and
	// can't distinguish an old sign from a new one; with the old one it would assign the server no calls.
	it('a VM that starts after a server has returned does not receive the old sign', () => {
		const fleet = fleetOf(3);
		const identity = declare(fleet);
		fleet.dispatch(fleet.vms[0]!, {type: 'leaving-sign', sign: {identity, instance: 'p1', source: 'answer'}});
		fleet.run(5000);
		const report = {
			inFlight: 0, queued: 0, slots: 6, instance: 'p2', isLeaving: false,
		};
		fleet.dispatch(fleet.vms[0]!, {type: 'returned', identity, instance: 'p2'});
		fleet.dispatch(fleet.vms[0]!, {
			type: 'load-update', update: {
				identity, report, ageMilliseconds: 0, suspects: [], crash: undefined,
			},
		});
		fleet.run(3000);
		const late = fleet.add('late');
		fleet.run(5000);
		expect(late.signs).toEqual([]);
		expect(fleet.vms.map(vm => vm.engine.status(fleet.now).leavingSigns.length)).toEqual([0, 0, 0, 0]);
	});

	// Guards the sign of a new process that leaves at once: a report of the previous process, still in transit, must not
	// count as a return and void that sign.
	it('a late report of a previous process voids no sign', () => {
		const fleet = fleetOf(3);
		const identity = declare(fleet);
		fleet.dispatch(fleet.vms[0]!, {type: 'leaving-sign', sign: {identity, instance: 'p2', source: 'answer'}});
		fleet.run(300);
		fleet.dispatch(fleet.vms[0]!, {type: 'returned', identity, instance: 'p1'});
		fleet.run(3000);
		expect(fleet.vms.map(vm => vm.engine.status(fleet.now).leavingSigns.map(({instance}) => instance))).toEqual([['p2'], ['p2'], ['p2']]);
	});
});
