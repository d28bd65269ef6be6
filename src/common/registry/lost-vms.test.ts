/** How long lost VMs are named to callers, and whether running VMs are still named meanwhile. */
import {expect} from 'earl';
import {type Milliseconds} from '../model/units.ts';
import {type FleetModel, type ModelProcess} from './fleet-model.test.ts';
import {
	type LossResult, observeLoss, powerOff, randomPart, settleMilliseconds, startedModel,
} from './lost-vms-harness.test.ts';

/** No VM may name a lost VM for longer, whichever VMs were lost together. */
const maxNamedMilliseconds: Milliseconds = 5000;

/** VMs that are lost together. */
type Loss = {
	readonly name: string;
	choose(model: FleetModel): readonly ModelProcess[];
};

function readers(model: FleetModel): ModelProcess[] {
	return model.running.filter(({fleet}) => fleet.status(model.timeline.now).isReadingStore);
}

const losses: readonly Loss[] = [
	{name: 'a follower', choose: model => [model.running.findLast(process => !readers(model).includes(process))!]},
	{name: 'a registrar', choose: model => readers(model).slice(0, 1)},
	{name: 'all registrars', choose: readers},
	{name: 'a data centre', choose: model => model.running.filter(({address}) => address.startsWith('10.0.0'))},
	{name: 'a third of all VMs', choose: model => randomPart(model, 1 / 3)},
	{name: 'half of all VMs', choose: model => randomPart(model, 1 / 2)},
];

/** Fleets in which each loss is tested: number of VMs, and one run for each seed. */
const fleets: ReadonlyArray<{readonly vmCount: number; readonly seeds: readonly number[]}> = [
	{vmCount: 16, seeds: [1, 2, 3, 4, 5, 6]},
	{vmCount: 134, seeds: [1, 2]},
	{vmCount: 311, seeds: [1]},
];

/** Results of one loss in all fleets. */
function resultsOf({choose}: Loss): ReadonlyArray<LossResult & {readonly vmCount: number; readonly seed: number}> {
	return fleets.flatMap(({vmCount, seeds}) => seeds.map(seed => {
		const model = startedModel(vmCount, seed);
		return {vmCount, seed, ...observeLoss(model, powerOff(choose(model)))};
	}));
}

describe('VMs that lose power', function () {
	this.timeout(120_000);

	for (const loss of losses) {
		let results: ReturnType<typeof resultsOf> = [];

		before(() => {
			results = resultsOf(loss);
		});

		// Guards against lost VMs that are still named to callers.
		it(`are not named to callers after the allowed time: ${loss.name}`, () => {
			expect(results.filter(({namedMilliseconds: named}) => named > maxNamedMilliseconds)).toEqual([]);
		});

		// Guards against running VMs that are considered lost too, so that the remaining ones are overloaded by
		// callers.
		it(`leave all running VMs named to callers: ${loss.name}`, () => {
			expect(results.filter(({missing}) => missing > 0)).toEqual([]);
		});
	}

	/** Half of 16 VMs are lost 1 s after the disturbance of the store; observes the fleet for 9 s after the loss. */
	function observeWith(seed: number, disturb: (model: FleetModel) => void): LossResult {
		const model = startedModel(16, seed);
		disturb(model);
		model.timeline.advance(1000);
		return observeLoss(model, powerOff(randomPart(model, 1 / 2)));
	}

	const seeds = [1, 2, 3, 4, 5, 6];

	// Guards against a time budget that only holds while the store replies within milliseconds.
	it('are not named to callers after the allowed time if the store takes 240 ms per reply', () => {
		const results = seeds.map(seed => observeWith(seed, model => {
			model.store.replyMilliseconds = 240;
		}));
		expect(results.filter(({namedMilliseconds: named, missing}) => named > maxNamedMilliseconds || missing > 0)).toEqual([]);
	});

	// Guards against removals that no watch returns because the store has lost its history.
	it('are not named to callers after the allowed time if the store keeps losing its history', () => {
		const results = seeds.map(seed => observeWith(seed, model => {
			for (let drops = 1; drops <= 20; drops++) {
				model.timeline.after(drops * 300, () => {
					model.store.dropHistory();
				});
			}
		}));
		expect(results.filter(({namedMilliseconds: named, missing}) => named > maxNamedMilliseconds || missing > 0)).toEqual([]);
	});

	// Guards VMs that restart at once under another identity against the removal of their former entries.
	it('stay named to callers if they restart at once', () => {
		const results = seeds.map(seed => {
			const model = startedModel(16, seed);
			const victims = randomPart(model, 1 / 2);
			powerOff(victims);
			for (const {address} of victims) {
				model.start(model.vmIndexOf(address));
			}

			model.timeline.advance(settleMilliseconds / 2);
			return {seed, ...observeLoss(model, new Set())};
		});
		expect(results.filter(({missing}) => missing > 0)).toEqual([]);
	});
});
