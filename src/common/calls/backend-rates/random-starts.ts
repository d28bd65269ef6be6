/** Starts attempts at random times, at a mean rate that no VM has to agree on with others. */
import {type Instant, type Milliseconds, type RandomSource} from '../../model/units.ts';

const millisecondsPerSecond = 1000;

/** A start that no call has used ends after this time, and is replaced by a later one instead of being saved. */
const unusedMilliseconds: Milliseconds = 1000;

export class RandomStarts {
	private _nextAt: Instant | undefined;

	/** When the next attempt may start; `callsPerSecond` = mean rate. */
	nextAt(callsPerSecond: number, random: RandomSource, now: Instant): Instant {
		if (this._nextAt === undefined || this._nextAt + unusedMilliseconds < now) {
			this.take(callsPerSecond, random, now);
		}

		return Math.max(now, this._nextAt!);
	}

	/** An attempt starts now. */
	take(callsPerSecond: number, random: RandomSource, now: Instant): void {
		// Exponential gaps are independent of each other, so that the starts of many VMs do not come in bursts.
		this._nextAt = now - (Math.log(1 - random.next()) * millisecondsPerSecond / callsPerSecond);
	}
}
