import {expect} from 'earl';
import {seededRandom} from '../../random/random.ts';
import {AnswerTimeModel, type LoadSnapshot} from './answer-time-model.ts';
import {Headroom} from './headroom.ts';

const work = 160;
const quiet: LoadSnapshot = {
	load: 1, slots: 3, workTimeFactor: 1, reportAge: 0,
};
const lastSlot: LoadSnapshot = {...quiet, load: 3};
const neighbours: LoadSnapshot = {...quiet, workTimeFactor: 4};

/**
 * A model trained with answers of a server whose last slot takes `slowdown` times longer, with a lognormal residual of
 * this spread.
 */
function trainedModel(slowdown: number, spread: number, samples: number): AnswerTimeModel {
	const random = seededRandom(3);
	const model = new AnswerTimeModel();
	for (let index = 0; index < samples; index++) {
		const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
		const rest = Math.exp((spread * normal) - (spread * spread / 2));
		model.addAnswer(work, lastSlot, work * slowdown * rest);
		model.addAnswer(work, quiet, work * Math.exp((spread * normal) - (spread * spread / 2)));
	}

	return model;
}

/** Fraction of a lognormal distribution with this mean and spread below `within`, by Monte Carlo sampling. */
function fractionBelow(mean: number, spread: number, within: number): number {
	const random = seededRandom(11);
	const count = 20_000;
	let below = 0;
	for (let index = 0; index < count; index++) {
		const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
		below += mean * Math.exp((spread * normal) - (spread * spread / 2)) <= within ? 1 : 0;
	}

	return below / count;
}

describe('the answer time model', () => {
	// Guards the calls of a VM that has just started against wrong estimates before any sample.
	it('gives plausible probabilities before the first sample', () => {
		const model = new AnswerTimeModel();
		const chances = [quiet, lastSlot, neighbours].map(prospect => model.probabilityWithin(work, prospect, 400));
		expect([chances[0]! > 0.97, chances[1]! > 0.85 && chances[1]! < 0.97, chances[2]! < 0.15]).toEqual([true, true, true]);
	});

	for (const [slowdown, spread] of [[1, 0.2], [1.5, 0.3], [2.2, 0.4]] as const) {
		it(`is within 0.08 of the true probability if the last slot takes ${slowdown} times as long and the spread is ${spread}`, () => {
			const model = trainedModel(slowdown, spread, 200);
			for (const within of [200, 300, 400]) {
				const difference = Math.abs(model.probabilityWithin(work, lastSlot, within) - fractionBelow(work * slowdown, spread, within));
				expect(difference).toBeLessThanOrEqual(0.08);
			}
		});
	}

	it('has adapted by half after a dozen answers', () => {
		const mean = trainedModel(3, 0.1, 12).mean(work, lastSlot) / work;
		expect(mean).toBeGreaterThanOrEqual(2);
		expect(mean).toBeLessThanOrEqual(2.6);
	});

	// Guards calls against reports that are older than their validity.
	it('learns how long reports stay valid, and gives older ones less weight', () => {
		const model = new AnswerTimeModel();
		for (let index = 0; index < 400; index++) {
			// Reports 100 ms apart, of which one in eight differs from its predecessor: a change every 300 ms, with a quarter
			// of the reports slow.
			model.addReport(index % 4 === 0 ? 4 : 1, index % 8 === 0 ? 1 : (index % 4 === 0 ? 4 : 1), 100);
		}

		const fresh = model.probabilityWithin(work, quiet, 400);
		const old = model.probabilityWithin(work, {...quiet, reportAge: 300}, 400);
		expect([fresh - old > 0.08, model.probabilityWithin(work, {...quiet, reportAge: 3000}, 400) >= 0.65]).toEqual([true, true]);
	});

	it('ignores answers that were delayed by a fault', () => {
		const model = new AnswerTimeModel();
		const before = model.probabilityWithin(work, quiet, 400);
		for (let index = 0; index < 50; index++) {
			model.addAnswer(work, quiet, 60 * work);
		}

		expect(model.probabilityWithin(work, quiet, 400)).toEqual(before);
	});
});

describe('the number of backend servers to probe', () => {
	const roomy = {
		inFlight: 0, queued: 0, slots: 3, instance: undefined, isLeaving: false, workTimeFactor: 1,
	};

	// Guards the probing budget against probes without benefit where most backend servers have room.
	it('is two if most have room, and the maximum if few have', () => {
		const calm = new Headroom();
		const full = new Headroom();
		for (let report = 0; report < 60; report++) {
			calm.add(report % 4 === 0 ? {...roomy, workTimeFactor: 4} : roomy);
			full.add(report % 4 === 0 ? roomy : {...roomy, inFlight: 3});
		}

		expect([new Headroom().probeCount(4), calm.probeCount(4), full.probeCount(4)]).toEqual([4, 2, 4]);
	});
});
