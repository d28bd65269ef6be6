import {expect} from 'earl';
import {FakeFleet, testChange, testService} from '../test-utilities.test.ts';

/** Number of services whose change is too large for the history in the head, so that it is stored in a snapshot at once. */
const manyServices = 1000;

describe('large change', () => {
	// Guards against a large change that is in force on all VMs except the one that received it.
	it('is in force on the VM that received it, as on all others', () => {
		const fleet = new FakeFleet(1);
		for (let index = 0; index < 3; index += 1) {
			fleet.add(`vm-${index}`, `dc-${index}`);
		}

		fleet.run(6000);
		const services = Array.from({length: manyServices}, (_, index) => testService(`service-${index}`));
		const writer = fleet.vms[1]!;
		fleet.dispatch(writer, {type: 'operator-change', requestId: 1, change: testChange('large', services)});
		fleet.run(5000);
		expect(writer.answers.map(answer => answer.type)).toEqual(['accepted']);
		expect(fleet.vms.map(vm => [vm.configuration?.version, vm.configuration?.services.size])).toEqual(fleet.vms.map(() => [1, manyServices]));
	});
});
