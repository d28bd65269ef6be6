/** Which faults last now, told to the coverage as they begin. */
import {type FaultCoverage, type FaultName} from './fault-coverage.ts';
import {type Timeline} from './timeline.ts';

/** A crash or a lost answer has its effects for about so long. */
const momentMilliseconds = 3000;

export class FaultLog {
	private readonly _lasting = new Set<FaultName>();
	private readonly _coverage: FaultCoverage;
	private readonly _timeline: Timeline;

	constructor(coverage: FaultCoverage, timeline: Timeline) {
		this._coverage = coverage;
		this._timeline = timeline;
	}

	/** A fault begins and lasts until it is healed, a momentary one for a while. */
	begin(name: FaultName, isMomentary = false): void {
		this._coverage.meet(name, this._lasting);
		this._lasting.add(name);
		if (isMomentary) {
			this._timeline.after(momentMilliseconds, () => {
				this._lasting.delete(name);
			});
		}
	}

	end(name: FaultName): void {
		this._lasting.delete(name);
	}

	clear(): void {
		this._lasting.clear();
	}
}
