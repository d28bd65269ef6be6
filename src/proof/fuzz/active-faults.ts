/** Keeps the set of active faults, and counts each fault in the coverage when it begins. */
import {type FaultCoverage, type FaultName} from './fault-coverage.ts';
import {type Timeline} from './timeline.ts';

/** A momentary fault, such as a crash or a lost answer, counts as active for this long, since its effects last about that long. */
const momentaryFaultMilliseconds = 3000;

export class ActiveFaults {
	private readonly _active = new Set<FaultName>();
	private readonly _coverage: FaultCoverage;
	private readonly _timeline: Timeline;

	constructor(coverage: FaultCoverage, timeline: Timeline) {
		this._coverage = coverage;
		this._timeline = timeline;
	}

	/** Starts a fault. It stays active until `end` or `clear`; a momentary fault ends by itself. */
	begin(name: FaultName, isMomentary = false): void {
		this._coverage.countFault(name, this._active);
		this._active.add(name);
		if (isMomentary) {
			this._timeline.after(momentaryFaultMilliseconds, () => {
				this._active.delete(name);
			});
		}
	}

	end(name: FaultName): void {
		this._active.delete(name);
	}

	clear(): void {
		this._active.clear();
	}
}
