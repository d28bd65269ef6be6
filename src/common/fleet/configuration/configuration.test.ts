import {expect} from 'earl';
import {
	FakeFleet, type FakeVm, testBackendServer, testChange, testService,
} from '../test-utilities.test.ts';

function fleetOf(count: number, seed = 1): FakeFleet {
	const fleet = new FakeFleet(seed);
	for (let index = 0; index < count; index += 1) {
		fleet.add(`vm-${index}`, `dc-${index % 3}`);
	}

	fleet.run(6000);
	return fleet;
}

function change(fleet: FakeFleet, vm: FakeVm, operationId: string, name: string, expectedVersion?: number): void {
	fleet.dispatch(vm, {type: 'operator-change', requestId: 1, change: testChange(operationId, [testService(name)], expectedVersion)});
}

function inForce(fleet: FakeFleet): unknown {
	return fleet.vms.filter(({isGone}) => !isGone).map(({name, configuration}) => {
		const services = [...configuration?.services.keys() ?? []];
		return `${name} ${configuration?.version}: ${services.toSorted((a, b) => a.localeCompare(b)).join(' ')}`;
	});
}

describe('configuration', () => {
	it('an accepted change comes into force on all VMs, in order', function () {
		const fleet = fleetOf(8);
		change(fleet, fleet.vms[3]!, 'first', 'orders');
		fleet.run(1000);
		change(fleet, fleet.vms[5]!, 'second', 'reads');
		fleet.run(1000);
		expect({
			answers: fleet.vms.flatMap(({answers}) => answers), inForce: inForce(fleet), versions: fleet.vms.map(({versions}) => versions.join(' ')),
		}).toMatchSnapshot(this);
	});

	// Guards against a wrong answer after a lost reply to a write that took effect. After a false "refused" the operator
	// would repeat the change or assume the old state; after an unproven "accepted" a change could be missing.
	it('a write whose reply is lost is found by reading back', function () {
		const fleet = fleetOf(3);
		let losses = 2;
		fleet.modeOf = (_vm, operation) => {
			const isLost = operation.type === 'compare-and-swap' && operation.key.endsWith('head') && losses > 0;
			losses -= isLost ? 1 : 0;
			return isLost ? 'lost' : undefined;
		};

		change(fleet, fleet.vms[1]!, 'lost', 'orders');
		fleet.run(3000);
		expect({answers: fleet.vms[1]!.answers, inForce: inForce(fleet), history: fleet.vms[0]!.engine.history(5)}).toMatchSnapshot(this);
	});

	// Guards against a wrong answer when the store fails during a write and stays unavailable, so that the write may have
	// taken effect. The operator must receive "unknown" with the operation identity, and a retry with it after the outage
	// must return the outcome.
	it('an operator receives "unknown" if the store fails during a write, and the outcome on a retry', function () {
		const fleet = fleetOf(3);
		fleet.modeOf = (_vm, operation) => (operation.type === 'compare-and-swap' && operation.key.endsWith('head') ? 'lost' : 'down');
		change(fleet, fleet.vms[1]!, 'doubtful', 'orders');
		fleet.run(15_000);
		const firstAnswers = [...fleet.vms[1]!.answers];
		fleet.modeOf = () => undefined;
		change(fleet, fleet.vms[2]!, 'doubtful', 'orders');
		fleet.run(5000);
		expect({firstAnswers, retryAnswers: fleet.vms[2]!.answers, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// Guards against a false "refused". A write is delayed in transit for 3 s, long after the wait for its reply has timed
	// out. Reading back does not show it, and the next write fails to connect; then the first write takes effect.
	it('a write that is still in transit is never answered as refused', function () {
		const fleet = fleetOf(3);
		const modes: Array<'late' | 'down' | undefined> = ['late', 'down', 'down'];
		fleet.modeOf = (_vm, operation) => (operation.type === 'compare-and-swap' && operation.key.endsWith('head') ? modes.shift() : undefined);
		change(fleet, fleet.vms[1]!, 'held-up', 'orders');
		fleet.run(6000);
		expect({answers: fleet.vms[1]!.answers, inForce: inForce(fleet), history: fleet.vms[0]!.engine.history(5).map(({operationId}) => operationId)}).toMatchSnapshot(this);
	});

	// Guards against a false conflict when an operator reads through one VM and writes through another that lacks the latest
	// change: compared with that VM's own version, the operator's correct expected version looks wrong.
	it('a VM that lacks the latest version reports no false conflict', function () {
		const fleet = fleetOf(3);
		change(fleet, fleet.vms[0]!, 'made', 'orders', 0);
		fleet.run(1000);
		const late = fleet.vms[2]!;
		for (const other of fleet.vms.slice(0, 2)) {
			fleet.droppedLinks.add(`${other.name}>${late.name}`);
		}

		fleet.modeOf = (vm, operation) => (vm === late && operation.type === 'watch' ? 'stale' : undefined);
		fleet.pause(late, 500);
		change(fleet, fleet.vms[0]!, 'newer', 'orders', 1);
		fleet.run(490);
		late.isPaused = false;
		const knownVersion = late.engine.resource('service/orders')!.metadata.version;
		change(fleet, late, 'newest', 'orders', 2);
		fleet.run(1000);
		expect({knownVersion, answers: late.answers, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// Guards against a lost change when two operators change the same service through two VMs at once, each from version 1.
	// If each VM answered from its own view, both changes would be accepted and one would be overwritten.
	it('of two concurrent changes one is accepted, the other conflicts and names the accepted version and its author', function () {
		const fleet = fleetOf(3);
		change(fleet, fleet.vms[0]!, 'made', 'orders', 0);
		fleet.run(1000);
		change(fleet, fleet.vms[1]!, 'left', 'orders', 1);
		change(fleet, fleet.vms[2]!, 'right', 'orders', 1);
		fleet.run(2000);
		expect({left: fleet.vms[1]!.answers, right: fleet.vms[2]!.answers, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// Guards against trust in a stale replica, which answers the read before the write with the service's old version. A VM
	// that relied on it would report a false conflict to an operator who has seen the new version.
	it('a stale read leads neither to a false conflict nor to an old version in force', function () {
		const fleet = fleetOf(3);
		change(fleet, fleet.vms[0]!, 'made', 'orders', 0);
		fleet.run(1000);
		fleet.staleEntries = new Map(fleet.store.entries);
		change(fleet, fleet.vms[0]!, 'newer', 'orders', 1);
		fleet.run(1000);
		fleet.modeOf = (_vm, operation) => (operation.type === 'get' ? 'stale' : undefined);
		const late = fleet.add('late');
		fleet.run(2000);
		change(fleet, late, 'newest', 'orders', 2);
		fleet.run(2000);
		expect({answers: late.answers, versions: late.versions, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// Guards against a withdrawn rule coming back into force. A VM is paused while the configuration changes; then watch
	// events and messages from before the pause reach it, and it passes its older version on.
	it('neither a VM that was paused nor late events bring an older version back', function () {
		const fleet = fleetOf(5);
		change(fleet, fleet.vms[0]!, 'one', 'orders');
		fleet.run(1000);
		fleet.pause(fleet.vms[4]!, 8000);
		change(fleet, fleet.vms[0]!, 'two', 'reads');
		fleet.run(2000);
		const old = fleet.vms[4]!.engine.status(fleet.now).configurationVersion;
		fleet.run(10_000);
		const isGrowing = fleet.vms.every(({versions}) => versions.every((version, index) => index === 0 || version > versions[index - 1]!));
		expect({old, isGrowing, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// Guards a backend server that is deleted and declared again under its name against the load reports and leaving signs
	// of the deleted one.
	it('a resource that is deleted and created again under its name has a new identity', function () {
		const fleet = fleetOf(2);
		const vm = fleet.vms[0]!;
		fleet.dispatch(vm, {type: 'operator-change', requestId: 1, change: testChange('first', [testService('orders'), testBackendServer('a', 'orders')])});
		fleet.run(500);
		const before = [...vm.configuration!.backendServers.keys()];
		fleet.dispatch(vm, {type: 'leaving-sign', sign: {identity: before[0]!, instance: 'p1', source: 'answer'}});
		fleet.dispatch(vm, {
			type: 'operator-change',
			requestId: 2,
			change: {...testChange('gone', []), mutations: [{type: 'delete', key: 'backend-server/a', expectedVersion: 1}]},
		});
		fleet.run(500);
		fleet.dispatch(vm, {type: 'operator-change', requestId: 3, change: testChange('again', [testBackendServer('a', 'orders')], 0)});
		fleet.run(500);
		expect({
			before, after: [...fleet.vms[1]!.configuration!.backendServers.keys()], signs: fleet.vms.map(({engine}) => engine.status(fleet.now).leavingSigns), answers: vm.answers,
		}).toMatchSnapshot(this);
	});

	it('a change with broken references, no resource or repeated resources is refused and has no effect', function () {
		const fleet = fleetOf(1);
		const vm = fleet.vms[0]!;
		fleet.dispatch(vm, {type: 'operator-change', requestId: 1, change: testChange('no-service', [testBackendServer('a', 'orders')])});
		fleet.dispatch(vm, {type: 'operator-change', requestId: 2, change: testChange('nothing', [])});
		fleet.dispatch(vm, {type: 'operator-change', requestId: 3, change: testChange('twice', [testService('orders'), testService('orders')])});
		fleet.dispatch(vm, {type: 'operator-change', requestId: 4, change: testChange('both', [testService('orders'), testBackendServer('a', 'orders')])});
		fleet.run(500);
		fleet.dispatch(vm, {type: 'operator-change', requestId: 5, change: {...testChange('in-use', []), mutations: [{type: 'delete', key: 'service/orders', expectedVersion: 1}]}});
		fleet.run(500);
		expect({answers: vm.answers, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// Guards the replacement of VMs in an outage of the store. A new VM that never served would be a loss of capacity; one
	// that served without a configuration would fail calls or send them to the wrong server.
	it('a VM that starts in an outage of the store serves once it has the configuration from a peer', function () {
		const fleet = fleetOf(3);
		change(fleet, fleet.vms[0]!, 'one', 'orders');
		fleet.run(1000);
		fleet.mode = 'down';
		const alone = fleet.add('alone', 'dc-1', {seeds: []});
		const late = fleet.add('late');
		fleet.run(5000);
		expect({
			alone: alone.stages, late: late.stages, versions: late.versions, inForce: inForce(fleet),
		}).toMatchSnapshot(this);
	});

	// Guards the head's size limit under many small changes and one that is too large for the head. A VM that starts later
	// must get the same configuration from the snapshot and the rest of the history.
	it('long histories and large changes are stored in snapshots and come into force atomically', function () {
		const fleet = fleetOf(2);
		const vm = fleet.vms[0]!;
		const large = Array.from({length: 3000}, (_, index) => testBackendServer(`server-${index}`, 'orders'));
		fleet.dispatch(vm, {type: 'operator-change', requestId: 1, change: testChange('large', [testService('orders'), ...large])});
		fleet.run(1000);
		for (let index = 0; index < 600; index += 1) {
			fleet.dispatch(vm, {type: 'operator-change', requestId: 1, change: testChange(`small-${index}`, [testService(`service-${index % 7}`)])});
		}

		fleet.run(10_000);
		const late = fleet.add('late');
		fleet.run(3000);
		const longest = Math.max(...[...fleet.store.entries.values()].map(({value}) => value.length));
		expect({
			accepted: vm.answers.filter(({type}) => type === 'accepted').length,
			versions: fleet.vms.map(({configuration}) => configuration!.version),
			servers: fleet.vms.map(({configuration}) => configuration!.backendServers.size),
			partial: late.versions.length,
			fitsAValue: longest < 500_000,
			keys: [...fleet.store.entries.keys()].filter(key => key.includes('configuration')).length,
		}).toMatchSnapshot(this);
	});
});
