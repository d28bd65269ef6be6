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

describe('late leaving signs', () => {
	it('reach a VM that joins after they were spread', () => {
		// Guards a leaving server against calls from a VM that starts half a minute after the sign. By then the rumour has
		// reached its send limit, so the new VM receives the sign only with the answer to its join.
		const fleet = startedFleet();
		fleet.dispatch(fleet.vms[0]!, {type: 'leaving-sign', sign});
		fleet.run(30_000);
		const late = fleet.add('four');
		fleet.run(3000);
		expect(late.signs.map(({identity}) => identity)).toEqual(['reads-1']);
	});

	it('reach a VM that was cut off while they were spread', () => {
		// Guards a leaving server against calls from a VM that no other VM reached for 20 seconds. Meanwhile the rumour has
		// reached its send limit. The VM must receive the sign within seconds after the network has recovered.
		const fleet = startedFleet();
		for (const [from, to] of [['one', 'three'], ['two', 'three'], ['three', 'one'], ['three', 'two']] as const) {
			fleet.droppedLinks.add(`${from}>${to}`);
		}

		fleet.dispatch(fleet.vms[0]!, {type: 'leaving-sign', sign});
		fleet.run(20_000);
		expect(fleet.vms[2]!.signs).toEqual([]);
		fleet.droppedLinks.clear();
		fleet.run(5000);
		expect(fleet.vms[2]!.signs.map(({identity}) => identity)).toEqual(['reads-1']);
	});
});
