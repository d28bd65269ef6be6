import {expect} from 'earl';
import {freePorts} from './free-ports.ts';

describe('freePorts', () => {
	// Two VMs with the same port cannot both start if both ports were chosen before either VM listens.
	it('returns no port again that was returned shortly before', async () => {
		const ports: number[] = [];
		for (let round = 0; round < 40; round++) {
			ports.push(...await freePorts(40));
		}

		expect(new Set(ports).size).toEqual(ports.length);
	});
});
