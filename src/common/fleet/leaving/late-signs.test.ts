import {expect} from 'earl';
import {FakeFleet} from '../test-utilities.test.ts';

const sign = {identity: 'reads-1', instance: 'first', source: 'answer'} as const;

function startedFleet(): FakeFleet {
	const fleet = new FakeFleet();
	for (const name of ['one', 'two', 'three']) {
		fleet.add(name);
	}

	fleet.run(3000);
	return fleet;
}

describe('signs of leaving that are told late', () => {
	it('reach a VM that joins after they went round', () => {
		// A backend server begins to leave. Half a minute later a VM is replaced. The rumour has been sent as
		// often as it ever is, so the new VM never hears of it and gives the leaving server work.
		const fleet = startedFleet();
		fleet.dispatch(fleet.vms[0]!, {type: 'leaving-sign', sign});
		fleet.run(30_000);
		const late = fleet.add('four');
		fleet.run(3000);
		expect(late.signs.map(({identity}) => identity)).toEqual(['reads-1']);
	});

	it('reach a VM that was cut off while they went round', () => {
		// A VM is cut off from the others for 20 seconds. Meanwhile they tell one another that a backend
		// server leaves, until the rumour is spent. The cut heals; the VM must hear of it within seconds.
		const fleet = startedFleet();
		for (const [from, to] of [['one', 'three'], ['two', 'three'], ['three', 'one'], ['three', 'two']] as const) {
			fleet.cuts.add(`${from}>${to}`);
		}

		fleet.dispatch(fleet.vms[0]!, {type: 'leaving-sign', sign});
		fleet.run(20_000);
		expect(fleet.vms[2]!.signs).toEqual([]);
		fleet.cuts.clear();
		fleet.run(5000);
		expect(fleet.vms[2]!.signs.map(({identity}) => identity)).toEqual(['reads-1']);
	});
});
