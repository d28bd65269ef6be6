import {expect} from 'earl';
import {type Instant} from '../model/units.ts';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

/** A VM must apply a change within the first time, plus the second one while the store rejects some VMs. */
const maxDelayMilliseconds = 5000;
const extraRejectedMilliseconds = 5000;

/** A VM that was disturbed counts as recovered after this time. */
const recoveryMilliseconds = 3000;

const dataCentres = ['north', 'south'] as const;

/** Starts and ends evacuations in a fleet under random disturbances, and records VMs that apply a change too late. */
class EvacuationRun {
	readonly violations: string[] = [];
	private readonly _model: FleetModel;
	/** The state of each data centre as written to the store, and when it was written. */
	private readonly _expected = new Map<string, {readonly at: Instant; readonly isEvacuated: boolean}>();
	private readonly _disturbedAt = new Map<string, Instant>();
	private _rejected: ReadonlySet<string> = new Set();
	private _rejectedUntil: Instant = -Infinity;

	constructor(seed: number) {
		this._model = new FleetModel({
			vmCount: 60, serverCount: 40, seed, convergeMilliseconds: 2500,
		});
		this._model.startAll();
		this._model.store.isSilentTo = address => this._rejected.has(address);
		this.watch(10_000);
	}

	/** Applies one random change or disturbance, then lets up to 7 s pass. */
	step(): void {
		const {random, running: living, timeline} = this._model;
		const choice = random.next();
		const reader = living.find(process => process.fleet.status(timeline.now).isReadingStore);
		if (choice < 0.3) {
			this._toggle(dataCentres[Math.floor(random.next() * 2)]!);
		} else if (choice < 0.4) {
			for (const dataCentre of dataCentres) {
				this._toggle(dataCentre);
			}
		} else if (choice < 0.6 && reader !== undefined) {
			reader.kill(choice < 0.5);
			this._model.start(this._model.vmIndexOf(reader.address), 1000);
		} else if (choice < 0.8 && reader !== undefined) {
			this._disturbedAt.set(reader.address, Infinity);
			reader.isFrozen = true;
			timeline.after(2500, () => {
				this._disturbedAt.set(reader.address, timeline.now);
				reader.wake();
			});
		} else {
			this._rejectAThird();
		}

		this.watch(random.next() * 7000);
	}

	/** Ends the rejections and lets the fleet settle. Returns the number of VMs whose state differs from the store. */
	settle(): number {
		this._rejected = new Set();
		this.watch(15_000);
		return this._model.running.filter(process => !this._isRight(process)).length;
	}

	watch(milliseconds: number): void {
		const {timeline} = this._model;
		for (const end = timeline.now + milliseconds; timeline.now < end;) {
			timeline.advance(100);
			for (const process of this._model.running) {
				this._check(process);
			}
		}
	}

	private _toggle(dataCentre: string): void {
		const isEvacuated = this._expected.get(dataCentre)?.isEvacuated !== true;
		if (isEvacuated) {
			this._model.store.put(`evacuations/${dataCentre}`, '{}');
		} else {
			this._model.store.remove(`evacuations/${dataCentre}`);
		}

		this._expected.set(dataCentre, {at: this._model.timeline.now, isEvacuated});
	}

	/**
	 * Lets the store reject a third of the VMs, readers last: followers of a rejected reader must switch, and rejected
	 * VMs must follow others.
	 */
	private _rejectAThird(): void {
		const {running: living, timeline, random} = this._model;
		const readersFirst = living.toSorted((one, other) => Number(other.fleet.status(timeline.now).isReadingStore) - Number(one.fleet.status(timeline.now).isReadingStore));
		this._rejected = new Set(readersFirst.slice(0, Math.floor(living.length / 3)).map(({address}) => address));
		timeline.after(3000 + (random.next() * 6000), () => {
			this._rejected = new Set();
			this._rejectedUntil = timeline.now;
		});
	}

	private _check(process: ModelProcess): void {
		const {now} = this._model.timeline;
		const undisturbedSince = Math.max(process.startedAt, this._disturbedAt.get(process.address) ?? 0);
		if (process.stage !== 'serving' || now - undisturbedSince < recoveryMilliseconds) {
			return;
		}

		for (const [dataCentre, {at, isEvacuated}] of this._expected) {
			const isStoreStable = this._rejected.size === 0 && now - this._rejectedUntil >= recoveryMilliseconds;
			if (now - Math.max(at, undisturbedSince) > maxDelayMilliseconds + (isStoreStable ? 0 : extraRejectedMilliseconds) && process.evacuated.has(dataCentre) !== isEvacuated) {
				this.violations.push(`${process.identity} at ${now}: ${dataCentre} is ${isEvacuated ? 'not ' : ''}evacuated`);
			}
		}
	}

	private _isRight(process: ModelProcess): boolean {
		return [...this._expected].every(([dataCentre, {isEvacuated}]) => process.evacuated.has(dataCentre) === isEvacuated);
	}
}

describe('evacuations in a fleet under random disturbances', function () {
	this.timeout(120_000);

	// Guards against a VM that misses the start or end of an evacuation, or reverts it because of an older message.
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		it(`are applied by every VM in time, and all VMs agree in the end (seed ${seed})`, () => {
			const run = new EvacuationRun(seed);
			for (let step = 0; step < 30; step++) {
				run.step();
			}

			expect([run.settle(), run.violations.slice(0, 3)]).toEqual([0, []]);
		});
	}

	// Guards against slow changes without any disturbance.
	it('are applied within half of the allowed time if nothing is disturbed', () => {
		const model = new FleetModel({
			vmCount: 134, serverCount: 260, seed: 1, convergeMilliseconds: 2500,
		});
		model.startAll();
		model.timeline.advance(10_000);
		model.store.put('evacuations/north', '{}');
		model.timeline.advance(maxDelayMilliseconds / 2);
		expect(model.running.filter(process => !process.evacuated.has('north')).length).toEqual(0);
	});
});
