import {expect} from 'earl';
import {type Instant} from '../model/units.ts';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

/** A VM goes by a change this soon; while the store rejects any of them, it has this much longer. */
const bound = 5000;
const rejectedExtra = 5000;

/** A VM that was disturbed counts as in contact again after this time. */
const contact = 3000;

const dataCentres = ['north', 'south'] as const;

/** Disturbs a fleet at random while evacuations begin and end, and keeps the times that its promise goes by. */
class EvacuationRun {
	readonly violations: string[] = [];
	private readonly _model: FleetModel;
	/** Since when each data centre has been evacuated, or not, as the store has accepted it. */
	private readonly _since = new Map<string, {readonly at: Instant; readonly isEvacuated: boolean}>();
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

	/** One change or disturbance, and the time after it. */
	step(): void {
		const {random, living, timeline} = this._model;
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
			this._model.start(this._model.vmOf(reader.address), 1000);
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

	/** Ends the rejections and lets the fleet settle; VMs that differ from the store then. */
	settle(): number {
		this._rejected = new Set();
		this.watch(15_000);
		return this._model.living.filter(process => !this._isRight(process)).length;
	}

	watch(milliseconds: number): void {
		const {timeline} = this._model;
		for (const end = timeline.now + milliseconds; timeline.now < end;) {
			timeline.advance(100);
			for (const process of this._model.living) {
				this._check(process);
			}
		}
	}

	private _toggle(dataCentre: string): void {
		const isEvacuated = this._since.get(dataCentre)?.isEvacuated !== true;
		if (isEvacuated) {
			this._model.store.put(`evacuations/${dataCentre}`, '{}');
		} else {
			this._model.store.remove(`evacuations/${dataCentre}`);
		}

		this._since.set(dataCentre, {at: this._model.timeline.now, isEvacuated});
	}

	/** Readers first: their followers must find out, and they must learn from others. */
	private _rejectAThird(): void {
		const {living, timeline, random} = this._model;
		const readersFirst = living.toSorted((one, other) => Number(other.fleet.status(timeline.now).isReadingStore) - Number(one.fleet.status(timeline.now).isReadingStore));
		this._rejected = new Set(readersFirst.slice(0, Math.floor(living.length / 3)).map(({address}) => address));
		timeline.after(3000 + (random.next() * 6000), () => {
			this._rejected = new Set();
			this._rejectedUntil = timeline.now;
		});
	}

	private _check(process: ModelProcess): void {
		const {now} = this._model.timeline;
		const calmSince = Math.max(process.startedAt, this._disturbedAt.get(process.address) ?? 0);
		if (process.stage !== 'serving' || now - calmSince < contact) {
			return;
		}

		for (const [dataCentre, {at, isEvacuated}] of this._since) {
			const isStoreStable = this._rejected.size === 0 && now - this._rejectedUntil >= contact;
			if (now - Math.max(at, calmSince) > bound + (isStoreStable ? 0 : rejectedExtra) && process.evacuated.has(dataCentre) !== isEvacuated) {
				this.violations.push(`${process.identity} at ${now}: ${dataCentre} ${isEvacuated ? 'not ' : ''}evacuated`);
			}
		}
	}

	private _isRight(process: ModelProcess): boolean {
		return [...this._since].every(([dataCentre, {isEvacuated}]) => process.evacuated.has(dataCentre) === isEvacuated);
	}
}

describe('evacuations in a fleet under disturbance', function () {
	this.timeout(120_000);

	// Guards against a VM that misses the begin or the end of an evacuation, or takes it back on an older message.
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		it(`are in force on every VM within the bound, and all agree in the end (seed ${seed})`, () => {
			const run = new EvacuationRun(seed);
			for (let step = 0; step < 30; step++) {
				run.step();
			}

			expect([run.settle(), run.violations.slice(0, 3)]).toEqual([0, []]);
		});
	}

	// Guards the usual case, in which nothing excuses a delay.
	it('are in force within half of the bound where nothing is disturbed', () => {
		const model = new FleetModel({
			vmCount: 134, serverCount: 260, seed: 1, convergeMilliseconds: 2500,
		});
		model.startAll();
		model.timeline.advance(10_000);
		model.store.put('evacuations/north', '{}');
		model.timeline.advance(bound / 2);
		expect(model.living.filter(process => !process.evacuated.has('north')).length).toEqual(0);
	});
});
