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

	// An operator's write takes effect, but its answer is lost on the way. Told "refused", the operator would make
	// the change again or believe the old state; told "accepted" without proof, a change might be missed.
	it('a write whose answer is lost is found by reading back', function () {
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

	// The store fails in the middle of a write and stays out. The write may have taken effect. The operator must
	// hear "unknown" with the operation's identity, and asking again with it after the outage must tell the truth.
	it('an operator hears "unknown" when the store goes out in mid-write, and the truth when asking again', function () {
		const fleet = fleetOf(3);
		fleet.modeOf = (_vm, operation) => (operation.type === 'compare-and-swap' && operation.key.endsWith('head') ? 'lost' : 'down');
		change(fleet, fleet.vms[1]!, 'doubtful', 'orders');
		fleet.run(15_000);
		const firstAnswers = [...fleet.vms[1]!.answers];
		fleet.modeOf = () => undefined;
		change(fleet, fleet.vms[2]!, 'doubtful', 'orders');
		fleet.run(5000);
		expect({told: firstAnswers, again: fleet.vms[2]!.answers, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// A write is held up on its way for 3 s; its answer is given up long before. Reading back shows nothing, and the
	// next write meets a closed port. "Refused" would be false as soon as the first write arrives.
	it('a write that is still on its way is never called refused', function () {
		const fleet = fleetOf(3);
		const modes: Array<'late' | 'down' | undefined> = ['late', 'down', 'down'];
		fleet.modeOf = (_vm, operation) => (operation.type === 'compare-and-swap' && operation.key.endsWith('head') ? modes.shift() : undefined);
		change(fleet, fleet.vms[1]!, 'held-up', 'orders');
		fleet.run(6000);
		expect({answers: fleet.vms[1]!.answers, inForce: inForce(fleet), history: fleet.vms[0]!.engine.history(5).map(({operationId}) => operationId)}).toMatchSnapshot(this);
	});

	// An operator reads through one VM and writes through another that has not heard of the latest change. Judged by
	// what that VM knows, the right version looks wrong, and the operator hears of a conflict with nobody.
	it('a VM that has not heard of the latest version tells no false conflict', function () {
		const fleet = fleetOf(3);
		change(fleet, fleet.vms[0]!, 'made', 'orders', 0);
		fleet.run(1000);
		const late = fleet.vms[2]!;
		for (const other of fleet.vms.slice(0, 2)) {
			fleet.cuts.add(`${other.name}>${late.name}`);
		}

		fleet.modeOf = (vm, operation) => (vm === late && operation.type === 'watch' ? 'stale' : undefined);
		fleet.pause(late, 500);
		change(fleet, fleet.vms[0]!, 'newer', 'orders', 1);
		fleet.run(490);
		late.isPaused = false;
		const knownVersion = late.engine.resource('service/orders')!.metadata.version;
		change(fleet, late, 'newest', 'orders', 2);
		fleet.run(1000);
		expect({known: knownVersion, answers: late.answers, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// Two operators change the same service at once through two VMs, each from version 1. Both would believe they
	// won if each VM answered from its own view; one would find its change gone.
	it('of two operators at once one wins, the other hears which version beat it and whose', function () {
		const fleet = fleetOf(3);
		change(fleet, fleet.vms[0]!, 'made', 'orders', 0);
		fleet.run(1000);
		change(fleet, fleet.vms[1]!, 'left', 'orders', 1);
		change(fleet, fleet.vms[2]!, 'right', 'orders', 1);
		fleet.run(2000);
		expect({left: fleet.vms[1]!.answers, right: fleet.vms[2]!.answers, inForce: inForce(fleet)}).toMatchSnapshot(this);
	});

	// A stale replica answers the read before the write: it shows the service's old version. A VM that trusted it
	// would tell an operator, who has seen the new version, of a conflict that does not exist.
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

	// A VM is paused while the configuration moves on. Watch events and messages from before its pause reach it,
	// and it passes on what it knew. If anybody took the older version, a withdrawn rule would be in force again.
	it('a VM that was paused, and late events, never bring an older version back', function () {
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

	// A backend server is deleted and declared again under its name. Whoever keyed reports or signs of leaving by
	// name would give the new one the old one's history.
	it('deleted and made again under its name, a resource has a new identity', function () {
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

	it('refuses what does not hang together, and changes nothing', function () {
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

	// The store is out when a VM starts. Serving nothing forever would turn every replacement in an outage into a
	// loss; serving without a configuration would send calls nowhere or to the wrong place.
	it('a VM that starts in an outage of the store takes the configuration from a peer and serves only then', function () {
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

	// Many changes, each small, and one too large for the head: the head must stay under the service's limit, and
	// a VM that comes later must get the same from the snapshot and the rest of the history.
	it('long histories and large changes go through snapshots and come into force as a whole', function () {
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
