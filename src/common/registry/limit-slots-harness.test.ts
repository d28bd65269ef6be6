/** Shared by the tests of the rate limits' slots: a fleet in virtual time whose holders are observed at every step. */
import {limitSlotCount} from '../limits/messages.ts';
import {type Milliseconds} from '../model/units.ts';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

const stepMilliseconds: Milliseconds = 20;
const convergeMilliseconds: Milliseconds = 2500;

export class LimitRun {
	readonly model: FleetModel;
	/** Moments at which two VMs granted for one slot. */
	readonly violations = new Set<string>();
	/** Longest time for which each slot had no VM that granted, since the last call of `watchGaps`. */
	private _gaps: Milliseconds[] = [];
	private _openGaps: Milliseconds[] = [];

	constructor({seed = 1, vmCount = 6, clockRate = () => 1}: {readonly seed?: number; readonly vmCount?: number; readonly clockRate?: () => number} = {}) {
		this.model = new FleetModel({
			vmCount, serverCount: 0, seed, convergeMilliseconds, hasLimits: true, clockRate,
		});
		this.watchGaps();
	}

	/** Starts all VMs and lets the fleet settle. */
	settle(milliseconds: Milliseconds = 8000): this {
		this.model.startAll();
		this.advance(milliseconds);
		this.watchGaps();
		return this;
	}

	watchGaps(): void {
		this._gaps = Array.from({length: limitSlotCount}, () => 0);
		this._openGaps = Array.from({length: limitSlotCount}, () => 0);
	}

	/** Longest time without a VM that granted, of any slot. */
	get longestGap(): Milliseconds {
		return Math.max(...this._gaps);
	}

	/** The processes that grant for each slot. */
	holders(): ModelProcess[][] {
		return Array.from({length: limitSlotCount}, (_, slot) => this.model.running.filter(process => process.grantedSlots.includes(slot)));
	}

	/** Number of slots for which some VM grants. */
	get grantedCount(): number {
		return this.holders().filter(({length}) => length > 0).length;
	}

	/** The only holder of a slot. */
	holderOf(slot: number): ModelProcess {
		return this.holders()[slot]![0]!;
	}

	advance(milliseconds: Milliseconds): void {
		const {timeline} = this.model;
		for (const end = timeline.now + milliseconds; timeline.now < end;) {
			if (!timeline.advance(Math.min(stepMilliseconds, end - timeline.now))) {
				throw new RangeError('the fleet is in a busy loop');
			}

			this._observe();
		}
	}

	private _observe(): void {
		for (const [slot, holders] of this.holders().entries()) {
			if (holders.length > 1) {
				this.violations.add(`slot ${slot} at ${Math.round(this.model.timeline.now)}: ${holders.map(({identity}) => identity).join(' and ')}`);
			}

			const gap = holders.length === 0 ? this._openGaps[slot]! + stepMilliseconds : 0;
			this._openGaps[slot] = gap;
			this._gaps[slot] = Math.max(this._gaps[slot]!, gap);
		}
	}
}
