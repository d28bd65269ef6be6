/** Estimates from the latest load reports how likely a backend server is to have room. */
import {type LoadReport} from '../types.ts';
import {MovingAverage} from './moving-average.ts';
import {lightLoadFraction, slowWorkTimeFactor} from './load-levels.ts';

/** Fraction assumed before any report, and its weight in reports. */
const initialRoomFraction = 0.3;
const initialSamples = 12;

/** Reports after which an older one has a third of its weight: a burst shows within a dozen calls. */
const memorySamples = 40;

/**
 * Another backend server is probed while the probability that none of them has room is above this value. A second round
 * of probes takes between a fraction of a millisecond and two milliseconds.
 */
const maxNoRoomProbability = 0.1;

/** Minimum number of probes: two calls at the same moment must not both have a single choice. */
const minProbes = 2;

/** Fraction of the latest reports with room from which room counts as plentiful; a burst leaves less. */
const plentifulRoomFraction = 0.5;

/** Determines how many backend servers to probe at once: two when three in four have room, four when one in three has. */
export class Headroom {
	private readonly _roomFraction = new MovingAverage(initialRoomFraction, initialSamples, memorySamples);

	/** Adds a load report of a backend server. */
	add({inFlight, queued, slots, workTimeFactor = 1}: LoadReport): void {
		const hasRoom = inFlight + queued + 1 <= lightLoadFraction * slots && workTimeFactor < slowWorkTimeFactor;
		this._roomFraction.add(hasRoom ? 1 : 0);
	}

	/** Whether most backend servers have room, so that a call that uses some leaves enough for others. */
	get isPlentiful(): boolean {
		return this._roomFraction.value >= plentifulRoomFraction;
	}

	/** Number of backend servers to probe, at most `max`. */
	probeCount(max: number): number {
		const needed = Math.ceil(Math.log(maxNoRoomProbability) / Math.log(Math.max(maxNoRoomProbability, 1 - this._roomFraction.value)));
		return Math.min(max, Math.max(minProbes, needed));
	}
}
