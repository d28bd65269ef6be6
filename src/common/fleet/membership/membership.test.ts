import {expect} from 'earl';
import {
	FakeFleet, type FakeVm, testChange, testService,
} from '../test-utilities.test.ts';

function fleetOf(count: number): FakeFleet {
	const fleet = new FakeFleet(3);
	for (let index = 0; index < count; index += 1) {
		fleet.add(`vm-${index}`, `dc-${index % 3}`);
	}

	fleet.run(8000);
	return fleet;
}

function memberStates(vm: FakeVm, fleet: FakeFleet): string {
	return vm.engine.status(fleet.now).members.map(({identity, state}) => `${identity} ${state}`).toSorted((a, b) => a.localeCompare(b)).join(', ');
}

function views(fleet: FakeFleet): Record<string, string> {
	return Object.fromEntries(fleet.vms.filter(({isGone}) => !isGone).map(vm => [vm.name, memberStates(vm, fleet)]));
}

function dropMessages(fleet: FakeFleet, from: FakeVm, to: FakeVm): void {
	fleet.droppedLinks.add(`${from.name}>${to.name}`);
}

describe('membership', () => {
	it('all VMs discover one another from a few seeds', function () {
		const fleet = fleetOf(16);
		expect(views(fleet)).toMatchSnapshot(this);
	});

	// Guards callers against a VM that has failed without an announcement: it may be returned to them for a few seconds at most.
	it('a failed VM is suspected, then declared dead, and not returned to callers once it is suspected', function () {
		const fleet = fleetOf(5);
		fleet.kill(fleet.vms[2]!);
		const answerCounts: string[] = [];
		for (let second = 1; second <= 10; second += 1) {
			fleet.run(1000);
			const answers = fleet.vms.filter(({isGone}) => !isGone).filter(vm => vm.engine.addresses('orders', fleet.now).addresses.some(({address}) => address === 'vm-2:2'));
			answerCounts.push(`${second} s: returned by ${answers.length}`);
		}

		expect({answerCounts, views: views(fleet)}).toMatchSnapshot(this);
	});

	// Guards a healthy VM against being declared dead, and so losing its callers, when packets between it and one other
	// VM are lost in one or both directions.
	it('a network fault between two VMs, one way or both, lets neither be declared dead', function () {
		const fleet = fleetOf(5);
		dropMessages(fleet, fleet.vms[1]!, fleet.vms[2]!);
		fleet.run(20_000);
		const oneWay = views(fleet);
		dropMessages(fleet, fleet.vms[2]!, fleet.vms[1]!);
		fleet.run(20_000);
		expect({oneWay, bothWays: views(fleet)}).toMatchSnapshot(this);
	});

	// Guards against false verdicts after a pause. A VM is paused for longer than it takes to be declared dead; when it
	// resumes, its own probes look unanswered. It must be live again, and must declare no other VM dead.
	it('a VM that was paused is live again, and declares no other VM dead', function () {
		const fleet = fleetOf(5);
		fleet.pause(fleet.vms[3]!, 12_000);
		fleet.run(11_000);
		const during = memberStates(fleet.vms[0]!, fleet);
		fleet.run(1100);
		const atWaking = memberStates(fleet.vms[3]!, fleet);
		fleet.run(3000);
		expect({during, atWaking, after: views(fleet)}).toMatchSnapshot(this);
	});

	// Guards a new process against rumours about the previous process under the same address.
	it('a new process under an existing address is a new member', function () {
		const fleet = fleetOf(4);
		const old = fleet.vms[1]!;
		fleet.kill(old);
		fleet.add('fresh', 'dc-1', {peerAddress: old.settings.peerAddress, callAddress: old.settings.callAddress});
		fleet.run(10_000);
		expect(views(fleet)).toMatchSnapshot(this);
	});

	// Guards callers against an outdated configuration. A VM reaches neither the other VMs nor the store, so it may miss
	// accepted changes. It must be cut off and return no addresses until it has the newest version.
	it('a VM without any contact is cut off, until it has the newest configuration', function () {
		const fleet = fleetOf(4);
		const isolated = fleet.vms[3]!;
		for (const vm of fleet.vms) {
			dropMessages(fleet, vm, isolated);
			dropMessages(fleet, isolated, vm);
		}

		fleet.modeOf = vm => (vm === isolated ? 'down' : undefined);
		fleet.run(4000);
		const early = isolated.isCutOff;
		fleet.run(4000);
		const late = isolated.isCutOff;
		const answer = isolated.engine.addresses('orders', fleet.now).addresses.length;
		fleet.dispatch(fleet.vms[0]!, {type: 'operator-change', requestId: 1, change: testChange('meanwhile', [testService('orders')])});
		fleet.run(500);
		fleet.droppedLinks.clear();
		const versionsWhenLifted: number[] = [];
		fleet.onStep = () => {
			if (!isolated.isCutOff) {
				versionsWhenLifted.push(isolated.configuration!.version);
			}
		};

		fleet.run(5000);
		expect({
			early, late, answer, versionWhenLifted: versionsWhenLifted[0], others: fleet.vms.slice(0, 3).map(({isCutOff}) => isCutOff),
		}).toMatchSnapshot(this);
	});

	// Guards against an outage of the store stopping the service: no VM may be cut off while the VMs reach one another.
	it('an outage of the store alone leaves no VM cut off', function () {
		const fleet = fleetOf(4);
		fleet.mode = 'down';
		fleet.run(120_000);
		expect(fleet.vms.map(({isCutOff}) => isCutOff)).toEqual([false, false, false, false]);
	});

	// Guards the store against load that grows with the fleet: each waiting watch counts as a call.
	it('few VMs of each data centre watch the store, also after one of them fails', function () {
		const fleet = fleetOf(16);
		const watchers = (): string[] => fleet.vms.filter(({isGone}) => !isGone).filter(vm => vm.engine.status(fleet.now).isWatchingStore).map(({name}) => name);
		const before = watchers();
		fleet.kill(fleet.vms.find(({name}) => name === before[0])!);
		fleet.run(8000);
		expect({before, after: watchers()}).toMatchSnapshot(this);
	});

	it('the number of messages that a VM sends does not grow with the fleet', function () {
		const rates = [4, 8, 16, 32].map(count => {
			const fleet = fleetOf(count);
			const before = fleet.vms.reduce((sum, {messagesSent}) => sum + messagesSent, 0);
			fleet.run(20_000);
			const after = fleet.vms.reduce((sum, {messagesSent}) => sum + messagesSent, 0);
			return `${count} VMs: ${((after - before) / count / 20).toFixed(0)} messages a second each`;
		});
		expect(rates).toMatchSnapshot(this);
	});
});
