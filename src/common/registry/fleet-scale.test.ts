/**
 * Requirements on a fleet of hundreds of VMs, in virtual time: which VMs are named to callers (in the addresses that
 * callers receive), how soon, and at how many store calls.
 */
import {expect} from 'earl';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

/** A start, followed by a time without changes that stands for a whole day. */
const idleDayMilliseconds = 54_000;

/** Time within which a VM that serves must be named to callers, and time after which a lost VM must not be named. */
const maxJoinMilliseconds = 4000;
const maxLeaveMilliseconds = 6000;

/** Store calls that one disturbance may cost: the budget of a whole day for 300 VMs. */
const maxDisturbanceCalls = 700;

/**
 * Store calls per VM that an outage of 8 s may cost: a VM without a source retries every two seconds, and once more
 * after the outage.
 */
const maxOutageCallsPerVm = 5;

/** Time after which a fleet has settled. */
const settleMilliseconds = 10_000;

function startedModel(vmCount: number, seed: number): FleetModel {
	const model = new FleetModel({vmCount, serverCount: 504, seed});
	model.startAll();
	model.timeline.advance(settleMilliseconds);
	return model;
}

/** Counts the VMs that this VM names though they do not run, and those that serve and are not named. */
function addressErrors(model: FleetModel, {fleet}: ModelProcess): {dead: number; missing: number} {
	const living = new Set(model.running.filter(process => process.stage === 'serving').map(({address}) => address));
	const known = new Set(fleet.knownCallAddresses());
	return {
		dead: [...known].filter(address => !living.has(address)).length,
		missing: [...living].filter(address => !known.has(address)).length,
	};
}

function worstAddressErrors(model: FleetModel): {dead: number; missing: number} {
	const all = model.running.filter(process => !process.isFrozen).map(process => addressErrors(model, process));
	return {dead: Math.max(...all.map(({dead}) => dead)), missing: Math.max(...all.map(({missing}) => missing))};
}

const noAddressErrors = {dead: 0, missing: 0};

describe('a fleet of 300 VMs coordinated through the store', function () {
	this.timeout(120_000);

	// Guards the store against calls that grow with the number of VMs.
	it('makes at most 1.5 store calls per VM on a day without changes', () => {
		const model = new FleetModel({vmCount: 300, serverCount: 504, seed: 1});
		model.startAll();
		model.timeline.advance(idleDayMilliseconds);
		expect(model.store.totalCost).toBeLessThanOrEqual(1.5 * 300);
	});

	for (const seed of [1, 2, 3]) {
		it(`names all its VMs to callers soon after they have started together (seed ${seed})`, () => {
			const model = new FleetModel({vmCount: 300, serverCount: 504, seed});
			model.startAll();
			model.timeline.advance(300 + maxJoinMilliseconds);
			expect(worstAddressErrors(model)).toEqual(noAddressErrors);
		});

		// Guards against VMs that stay unregistered after a burst of kills and restarts has hit their registrar and
		// many other VMs.
		it(`recovers from kills of readers and other VMs (seed ${seed})`, () => {
			const model = startedModel(300, seed);
			const before = model.store.totalCost;
			for (const [index, process] of model.running.filter(one => one.fleet.status(model.timeline.now).isReadingStore).entries()) {
				process.kill(index % 2 === 0);
			}

			for (const process of model.running.slice(40, 100)) {
				process.kill(model.random.next() < 0.5);
				model.start(model.vmIndexOf(process.address), 3000);
			}

			model.timeline.advance(maxLeaveMilliseconds + settleMilliseconds);
			expect(worstAddressErrors(model)).toEqual(noAddressErrors);
			expect(model.store.totalCost - before).toBeLessThanOrEqual(maxDisturbanceCalls);
		});

		// Guards the store against hundreds of VMs that register at once after an outage.
		it(`has all entries registered again after an outage in which leases ended (seed ${seed})`, () => {
			const model = startedModel(300, seed);
			const before = model.store.totalCost;
			model.store.isSilentTo = () => true;
			model.timeline.advance(8000);
			model.store.isSilentTo = () => false;
			model.timeline.advance(maxJoinMilliseconds + maxLeaveMilliseconds);
			expect(worstAddressErrors(model)).toEqual(noAddressErrors);
			expect(model.store.totalCost - before).toBeLessThanOrEqual(maxOutageCallsPerVm * 300);
		});

		// Guards against VMs that are no longer named to callers because the store rejects their reader.
		it(`names its VMs to callers while the store rejects its readers (seed ${seed})`, () => {
			const model = startedModel(300, seed);
			const readers = new Set(model.running.filter(one => one.fleet.status(model.timeline.now).isReadingStore).map(({address}) => address));
			model.store.isSilentTo = address => readers.has(address);
			let fewest = 300;
			for (let step = 0; step < 90; step++) {
				model.timeline.advance(100);
				fewest = Math.min(fewest, ...model.running.filter(({address}) => !readers.has(address)).map(process => process.fleet.knownCallAddresses().length));
			}

			expect(fewest).toBeGreaterThanOrEqual(200);
			model.store.isSilentTo = () => false;
			model.timeline.advance(settleMilliseconds);
			expect(worstAddressErrors(model)).toEqual(noAddressErrors);
		});

		// Guards a restarting fleet against the entries of its own lost processes.
		it(`starts again after all VMs have lost power (seed ${seed})`, () => {
			const model = startedModel(300, seed);
			const before = model.store.totalCost;
			for (const process of model.running) {
				process.kill(true);
			}

			model.timeline.advance(1000);
			model.startAll();
			model.timeline.advance(300 + maxJoinMilliseconds);
			expect(worstAddressErrors(model)).toEqual(noAddressErrors);
			expect(model.store.totalCost - before).toBeLessThanOrEqual(maxDisturbanceCalls);
		});
	}
});
