/** Fleets in which some VMs missed the evidence of a call that crashes backend servers. */
import {expect} from 'earl';
import {type Milliseconds} from '../model/units.ts';
import {PoisonModel, containmentMilliseconds} from './poison-harness.test.ts';

const stepMilliseconds: Milliseconds = 50;

const runMilliseconds: Milliseconds = 3000;

/** Time until every running VM refuses the harmful call as quarantined, if that takes at most the time for containment. */
function millisecondsUntilAware(model: PoisonModel): Milliseconds | 'never' {
	for (let passed = 0; passed <= containmentMilliseconds; passed += stepMilliseconds) {
		if (model.unawareVms.length === 0) {
			return passed;
		}

		model.fleet.timeline.advance(stepMilliseconds);
	}

	return 'never';
}

/** Plays a harmful call on two thirds of the VMs while the others are cut off, and reconnects those after `cutMilliseconds`. */
function playCut(vmCount: number, seed: number, cutMilliseconds: Milliseconds): PoisonModel {
	const model: PoisonModel = new PoisonModel({
		vmCount, serverCount: 18, seed, milliseconds: runMilliseconds, harmlessIntervalMilliseconds: 50, receivesHarmful: ({address}): boolean => !model.fleet.cutVms.has(address),
	});
	for (const {address} of model.fleet.running.filter((_, index) => index % 3 === 0)) {
		model.fleet.cutVms.add(address);
	}

	model.run();
	model.fleet.timeline.advance(Math.max(0, cutMilliseconds - (2 * runMilliseconds)));
	model.fleet.cutVms.clear();
	return model;
}

describe('evidence of crashes, before a fleet coordinated through the store,', function () {
	this.timeout(160_000);

	// Guards against VMs that missed the evidence while they were cut off, and run the call again once they are back.
	for (const [vmCount, seeds, cutMilliseconds] of [[16, [1, 2, 3, 4, 5, 6], 10_000], [16, [1, 2, 3], 60_000], [134, [1], 10_000], [311, [1], 10_000]] as const) {
		it(`reaches ${vmCount} VMs, a third of which were cut off for ${cutMilliseconds / 1000} s, in time`, () => {
			const late = seeds.filter(seed => millisecondsUntilAware(playCut(vmCount, seed, cutMilliseconds)) === 'never');
			expect(late).toEqual([]);
		});
	}

	// Guards against VMs that read the store themselves as they start, and so get no evidence from a feed.
	it('reaches VMs that have all been restarted but for one, within a second', () => {
		const late = [1, 2, 3, 4, 5, 6].filter(seed => {
			const model = new PoisonModel({
				vmCount: 6, serverCount: 18, seed, milliseconds: runMilliseconds,
			});
			model.run();
			for (const process of model.fleet.running.filter((_, index) => index !== seed % 6)) {
				process.kill();
				model.fleet.start(model.fleet.vmIndexOf(process.address));
			}

			model.fleet.timeline.advance(1000);
			return model.unawareVms.length > 0;
		});
		expect(late).toEqual([]);
	});

	// Guards against VMs that are leaving, to which no other VM sends updates, while they still accept calls.
	it('reaches VMs that are leaving', () => {
		const late = [1, 2, 3, 4, 5, 6].filter(seed => {
			const model = new PoisonModel({
				vmCount: 6, serverCount: 18, seed, milliseconds: 1000, receivesHarmful: ({stage}) => stage === 'serving',
			});
			for (const process of model.fleet.running.slice(-2)) {
				process.handle({type: 'stop-requested', by: 'signal'});
			}

			// They still accept calls at the end of this time.
			model.fleet.timeline.advance(500);
			model.play();
			model.fleet.timeline.advance(1000);
			return model.unawareVms.length > 0;
		});
		expect(late).toEqual([]);
	});
});
