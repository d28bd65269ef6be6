/**
 * VMs that are lost during an outage of the store: when they are no longer named to callers, and whether running VMs
 * are still named.
 */
import {expect} from 'earl';
import {type Milliseconds} from '../model/units.ts';
import {
	type LossResult, observeLoss, powerOff, randomPart, startedModel,
} from './lost-vms-harness.test.ts';

/** Time after the store's recovery within which no VM may name a lost VM any longer. */
const maxNamedMilliseconds: Milliseconds = 3000;

const seeds = [1, 2, 3, 4, 5, 6];

describe('VMs that lose power', function () {
	this.timeout(120_000);

	/** Half of 16 VMs are lost during an outage; the result is measured from the store's recovery. */
	function observeAfterOutage(seed: number, areLeasesPaused: boolean): LossResult {
		const model = startedModel(16, seed);
		model.store.isSilentTo = () => true;
		model.store.areLeasesPaused = areLeasesPaused;
		model.timeline.advance(1500);
		const lost = powerOff(randomPart(model, 1 / 2));
		model.timeline.advance(6500);
		model.store.isSilentTo = () => false;
		model.store.areLeasesPaused = false;
		return observeLoss(model, lost);
	}

	for (const [name, areLeasesPaused] of [['ended', false], ['been paused', true]] as const) {
		// After an outage: no VM could remove an entry while the outage lasted.
		it(`are not named to callers 3 s after the store has recovered, if leases have ${name} meanwhile`, () => {
			const results = seeds.map(seed => ({seed, ...observeAfterOutage(seed, areLeasesPaused)}));
			expect(results.filter(({namedMilliseconds: named}) => named > maxNamedMilliseconds)).toEqual([]);
		});

		// Guards running VMs against the lapse of their own entries, which nobody could renew during the outage.
		it(`leave all running VMs named to callers after an outage, if leases have ${name} meanwhile`, () => {
			const results = seeds.map(seed => ({seed, ...observeAfterOutage(seed, areLeasesPaused)}));
			expect(results.filter(({missing}) => missing > 0)).toEqual([]);
		});
	}
});
