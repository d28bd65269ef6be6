/** How likely a backend server is to have room, as the latest reports tell. */
import {MovingAverage} from './moving-average.ts';
import {roomyPart, slowFrom} from './load-levels.ts';
import {type LoadReport} from './types.ts';

/** Assumed before any report was seen, and the reports that the assumption counts for. */
const initialRoomFraction = 0.3;
const initialSamples = 12;

/** Reports after which an older one counts for a third: a burst shows within a dozen calls. */
const memorySamples = 40;

/**
 * Chance that none of the probed backend servers has room above which one more is probed: a second round of probes costs
 * a fraction of a millisecond to two.
 */
const maxNoRoomProbability = 0.1;

/** Fewest that are probed: two calls at the same moment must not both have only one choice. */
const minProbes = 2;

/** Part of the latest reports that told of room from which on room is plentiful: a burst leaves less of it. */
const plentifulRoomFraction = 0.5;

/**
 * How many backend servers to probe at once: two when three in four have room, four when one in three has.
 */
export class Headroom {
	private readonly _roomFraction = new MovingAverage(initialRoomFraction, initialSamples, memorySamples);

	/** Takes in what a backend server said of itself. */
	add({inFlight, queued, slots, workTimeFactor = 1}: LoadReport): void {
		const hasRoom = inFlight + queued + 1 <= roomyPart * slots && workTimeFactor < slowFrom;
		this._roomFraction.add(hasRoom ? 1 : 0);
	}

	/** Most backend servers have room: a call that takes some leaves enough for others. */
	get isPlentiful(): boolean {
		return this._roomFraction.value >= plentifulRoomFraction;
	}

	/** Backend servers to probe, at most `most`. */
	probes(max: number): number {
		const needed = Math.ceil(Math.log(maxNoRoomProbability) / Math.log(Math.max(maxNoRoomProbability, 1 - this._roomFraction.value)));
		return Math.min(max, Math.max(minProbes, needed));
	}
}
