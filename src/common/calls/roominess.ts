/** How likely a backend server is to have room, as the latest reports tell. */
import {FadingMean} from './fading-mean.ts';
import {roomyPart, slowFrom} from './load-levels.ts';
import {type LoadReport} from './types.ts';

/** Assumed before any report was seen, and the reports that the assumption counts for. */
const assumedPart = 0.3;
const assumedReports = 12;

/** Reports after which an older one counts for a third: a rush shows within a dozen calls. */
const memory = 40;

/**
 * Chance that none of those that are asked has room, above which one more is asked: then a second round follows, which costs
 * a fraction of a millisecond to two.
 */
const inVain = 0.1;

/** Fewest that are asked: two calls at the same moment must not both have only one choice. */
const fewestQuestions = 2;

/** Part of the latest reports that told of room from which on room is plentiful: a rush leaves less of it. */
const plentifulPart = 0.5;

/**
 * Says how many backend servers to ask at once. Guards the cost of measuring: when three in four have room, two answers
 * are enough and the others are asked only if these have none; when one in three has, four are asked.
 */
export class Roominess {
	private readonly _part = new FadingMean(assumedPart, assumedReports, memory);

	/** Takes in what a backend server said of itself. */
	add({inFlight, queued, slots, workTimeFactor = 1}: LoadReport): void {
		const isRoomy = inFlight + queued + 1 <= roomyPart * slots && workTimeFactor < slowFrom;
		this._part.add(isRoomy ? 1 : 0);
	}

	/** Most backend servers have room: a call that takes some leaves enough for others. */
	get isPlentiful(): boolean {
		return this._part.value >= plentifulPart;
	}

	/** Backend servers to ask, at most `most`. */
	questions(most: number): number {
		const needed = Math.ceil(Math.log(inVain) / Math.log(Math.max(inVain, 1 - this._part.value)));
		return Math.min(most, Math.max(fewestQuestions, needed));
	}
}
