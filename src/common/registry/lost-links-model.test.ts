/** VMs that lose their links to all backend servers, in the model of a fleet that is coordinated through the store. */
import {expect} from 'earl';
import {PoisonModel, servedShare} from './poison-harness.test.ts';

const seeds = [1, 2, 3, 4];

/** Share of the harmless calls that are served at the first or second try. */
const minServedShare = 0.98;

const options = {
	vmCount: 8, serverCount: 18, harmfulCount: 0, milliseconds: 9000,
};

function play(seed: number, lost: number): {readonly seed: number; readonly served: number; readonly falseCrashes: number; readonly refusedAsHarmful: number} {
	const model = new PoisonModel({...options, seed});
	model.fleet.timeline.after(7000, () => {
		for (let index = 0; index < lost; index++) {
			model.loseLinks(model.fleet.addressOf(index));
		}
	});
	model.fleet.timeline.after(12_000, () => {
		model.withoutLinks.clear();
	});
	const result = model.run();
	return {
		seed, served: servedShare(result), falseCrashes: model.falseCrashes.size, refusedAsHarmful: result.harmless.refusedAsHarmful,
	};
}

describe('VMs whose links to all backend servers are refused', function () {
	this.timeout(60_000);

	for (const lost of [3, 7]) {
		// Guards against calls that fail at these VMs, and against their word that backend servers which are alive have ended.
		it(`serve calls through others and report no crash: ${lost} of 8 VMs`, () => {
			const results = seeds.map(seed => play(seed, lost));
			expect(results.filter(({served, falseCrashes, refusedAsHarmful}) => served < minServedShare || falseCrashes > 0 || refusedAsHarmful > 0)).toEqual([]);
		});
	}
});
