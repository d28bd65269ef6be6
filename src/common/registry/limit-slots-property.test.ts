import {expect} from 'earl';
import {seededRandom} from '../random/random.ts';
import {type ModelProcess} from './fleet-model.test.ts';
import {LimitRun} from './limit-slots-harness.test.ts';

const vmCount = 7;
const steps = 25;

/** Longest time until all slots have a holder again once nothing fails any more: a restored store, two leases, and a claim of low rank. */
const recoveryMilliseconds = 40_000;

/** One random fault, or several at once. */
class Faults {
	private readonly _run: LimitRun;
	private readonly _cutFromStore = new Set<string>();
	private _isStoreAway = false;
	private _isLate = false;
	private _backup: ReturnType<LimitRun['model']['store']['backUp']>;

	constructor(run: LimitRun) {
		this._run = run;
		const {store, random} = run.model;
		this._backup = store.backUp();
		store.isSilentTo = vm => this._isStoreAway || this._cutFromStore.has(vm);
		store.transitMilliseconds = () => this._isLate && random.next() < 0.5 ? random.next() * 3000 : undefined;
	}

	play(): void {
		const {model} = this._run;
		const {random, timeline, store} = model;
		const milliseconds = random.next() * 14_000;
		const fault = Math.floor(random.next() * 11);
		const process = this._pick();
		switch (fault) {
			case 0:
			case 1: {
				this._stop(process, random.next() < 0.5 ? 300 : milliseconds, fault === 0);
				break;
			}

			case 2:
			case 3: {
				if (fault === 2) {
					process.suspend();
				}

				process.isFrozen = true;
				timeline.after(milliseconds, () => {
					process.wake();
				});
				break;
			}

			case 4: {
				this._cutFromStore.add(process.address);
				timeline.after(milliseconds, () => {
					this._cutFromStore.delete(process.address);
				});
				break;
			}

			case 5: {
				this._isStoreAway = true;
				timeline.after(milliseconds, () => {
					this._isStoreAway = false;
				});
				break;
			}

			case 6: {
				this._isLate = true;
				timeline.after(milliseconds, () => {
					this._isLate = false;
				});
				break;
			}

			case 7: {
				store.restore(this._backup);
				break;
			}

			case 8: {
				model.cutVms.add(process.address);
				timeline.after(milliseconds, () => {
					model.cutVms.delete(process.address);
				});
				break;
			}

			case 9: {
				process.handle({type: 'stop-requested', by: 'signal'});
				this._stop(process, 3000, false);
				break;
			}

			default: {
				for (const one of model.running) {
					this._stop(one, 1000 * random.next(), true);
				}
			}
		}

		if (random.next() < 0.4) {
			this._backup = store.backUp();
		}
	}

	private _pick(): ModelProcess {
		const {random, running} = this._run.model;
		const holders = this._run.holders().flat();
		const candidates = holders.length > 0 && random.next() < 0.7 ? holders : running;
		return candidates[Math.floor(random.next() * candidates.length)]!;
	}

	/** The process ends, and another one starts at its address later. */
	private _stop(process: ModelProcess, milliseconds: number, isSilent: boolean): void {
		const {model} = this._run;
		process.kill(isSilent);
		model.start(model.vmIndexOf(process.address), milliseconds);
	}
}

describe('rights to grant for the slots of the rate limits', function () {
	this.timeout(160_000);

	for (let seed = 1; seed <= 16; seed++) {
		// Guards against two VMs that grant for one slot, which would let more calls through than a limit allows.
		it(`are never held by two VMs, whatever fails, and are all held again afterwards (seed ${seed})`, () => {
			const rates = seededRandom(seed);
			const run = new LimitRun({seed, vmCount, clockRate: () => 0.98 + (0.04 * rates.next())});
			run.settle(4000);
			const faults = new Faults(run);
			for (let step = 0; step < steps; step++) {
				if (run.model.running.length > 0) {
					faults.play();
				}

				run.advance(run.model.random.next() * 6000);
			}

			run.advance(recoveryMilliseconds);
			expect([[...run.violations], run.grantedCount]).toEqual([[], 3]);
		});
	}
});
