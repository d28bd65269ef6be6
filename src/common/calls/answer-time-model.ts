/** What a service's answers have taught: how long they take by load and neighbours, and how long a report holds. */
import {type Milliseconds} from '../model/units.ts';
import {MovingAverage} from './moving-average.ts';
import {roomyPart, slowFrom} from './load-levels.ts';

/** What is known of a backend server when a call is to be sent there. */
export type Prospect = {
	/** Calls there, this one counted. */
	readonly load: number;
	readonly slots: number;
	/** Work time against the usual that it reported; undefined = it has reported none. */
	readonly workTimeFactor: number | undefined;
	/** Age of that report. */
	readonly age: Milliseconds;
};

/**
 * Load levels at which answers are learnt apart: few calls, nearly full, queued. Times longer at each before anything was seen, and what they count for in samples. Servers that slow down as they
 * fill up take 1.5 to 1.7 times as long in their last slots; those that do not correct it within a minute of calls.
 */
const assumedSlowdowns = {few: 1, full: 1.5, queued: 2.2};
const assumedSamples = 12;

/** Relative spread of answer times that nothing explains, before any was seen: one in ten takes half as long again. */
const assumedSpread = 0.32;

/** Least spread: what was learnt by a few like answers must not make the model certain. */
const leastSpread = 0.15;

/** Part of backend servers with neighbours, and how much slower those are, before any report was seen. */
const assumedSlowPart = 0.3;
const assumedSlowFactor = 4;

/** Reports that the assumptions on neighbours count for: four arrive with each call. */
const assumedReports = 40;

/** Samples after which an older one counts for a third: a few minutes of one VM's calls, seconds of its reports. */
const answerMemory = 300;
const reportMemory = 400;

/** How long a report of neighbours holds, before any change was seen. Pieces of 300 to 500 ms were met. */
const assumedHold: Milliseconds = 350;

/** Reports of one backend server whose distance says something of how long they hold. */
const shortestGap: Milliseconds = 20;
const longestGap: Milliseconds = 400;

/** An answer this many times longer than expected tells of a fault, and not of the work: it would spoil the spread. */
const mostRatio = 6;

type Level = keyof typeof assumedSlowdowns;

function levelOf({load, slots}: Prospect): Level {
	if (load > slots) {
		return 'queued';
	}

	return load <= roomyPart * slots ? 'few' : 'full';
}

/** Part of a normal distribution below `deviations` (Abramowitz and Stegun 26.2.16, right to 1e-5). */
function normalPart(deviations: number): number {
	const step = 1 / (1 + (0.332_67 * Math.abs(deviations)));
	const density = Math.exp(-deviations * deviations / 2) / Math.sqrt(2 * Math.PI);
	const tail = density * step * (0.436_183_6 + (step * (-0.120_167_6 + (step * 0.937_298))));
	return deviations >= 0 ? 1 - tail : tail;
}

/**
 * Chances of answers, for the pattern "load and neighbours change within milliseconds". An answer's time is the class's
 * work, times the neighbours' factor, times what the load adds, times a lognormal rest. Assumptions stand in until
 * samples outweigh them, so the first call of a process is judged as well. `answer-time-model.test.ts` holds it against
 * generators whose quantiles are known.
 */
export class AnswerTimeModel {
	private readonly _slowdowns: Record<Level, MovingAverage> = {
		few: new MovingAverage(assumedSlowdowns.few, assumedSamples, answerMemory),
		full: new MovingAverage(assumedSlowdowns.full, assumedSamples, answerMemory),
		queued: new MovingAverage(assumedSlowdowns.queued, assumedSamples, answerMemory),
	};

	private readonly _variance = new MovingAverage(assumedSpread * assumedSpread, assumedSamples * 2, answerMemory);
	private readonly _slowPart = new MovingAverage(assumedSlowPart, assumedReports, reportMemory);
	private readonly _slowFactor = new MovingAverage(assumedSlowFactor, assumedReports / 4, reportMemory);
	/** Changes a millisecond between two reports of one backend server. */
	private readonly _changeRate = new MovingAverage(1 / assumedHold, assumedReports, reportMemory);

	/** Part of the backend servers that neighbours slow down. */
	get slowPart(): number {
		return this._slowPart.value;
	}

	/** Chance that an answer comes within this time. */
	chance(work: Milliseconds, prospect: Prospect, within: Milliseconds): number {
		if (within <= 0) {
			return 0;
		}

		const base = work * this._slowdowns[levelOf(prospect)].value * this._queueing(prospect);
		const known = prospect.workTimeFactor;
		const unknown = () => ((1 - this.slowPart) * this._within(base, within)) + (this.slowPart * this._within(base * this._slowFactor.value, within));
		if (known === undefined) {
			return unknown();
		}

		const trust = this._trust(prospect.age);
		return (trust * this._within(base * known, within)) + (trust > 0.99 ? 0 : (1 - trust) * unknown());
	}

	/** Mean time of an answer. */
	mean(work: Milliseconds, prospect: Prospect): Milliseconds {
		const base = work * this._slowdowns[levelOf(prospect)].value * this._queueing(prospect);
		const unknown = 1 + (this.slowPart * (this._slowFactor.value - 1));
		const trust = prospect.workTimeFactor === undefined ? 0 : this._trust(prospect.age);
		return base * ((trust * (prospect.workTimeFactor ?? 0)) + ((1 - trust) * unknown));
	}

	/** Takes in how long an answer took that was expected by this prospect. */
	addAnswer(work: Milliseconds, prospect: Prospect, time: Milliseconds): void {
		const factor = prospect.workTimeFactor;
		// What neighbours do to a call on a slow or long unheard-of backend server tells nothing of the load's effect.
		if (factor === undefined || factor >= slowFrom || this._trust(prospect.age) < 0.9 || work <= 0 || time <= 0) {
			return;
		}

		const slowdown = this._slowdowns[levelOf(prospect)];
		const expected = work * factor * slowdown.value * this._queueing(prospect);
		const ratio = time / expected;
		if (ratio > mostRatio || ratio < 1 / mostRatio) {
			return;
		}

		slowdown.add(slowdown.value * ratio);
		this._variance.add(Math.log(ratio) ** 2);
	}

	/** Takes in a report; `former` = the one before it of the same process, made this long before. */
	addReport(factor: number | undefined, former: number | undefined, gap: Milliseconds): void {
		if (factor === undefined) {
			return;
		}

		const isSlow = factor >= slowFrom;
		this._slowPart.add(isSlow ? 1 : 0);
		if (isSlow) {
			this._slowFactor.add(factor);
		}

		if (former !== undefined && gap >= shortestGap && gap <= longestGap) {
			this._changeRate.add((former >= slowFrom) === isSlow ? 0 : this._ratePerChange(gap));
		}
	}

	/**
	 * A change is seen only if the new state differs from the old one, which it does in 2p(1 - p) of the cases where p is
	 * the slow part.
	 */
	private _ratePerChange(gap: Milliseconds): number {
		return 1 / (gap * Math.max(0.1, 2 * this.slowPart * (1 - this.slowPart)));
	}

	private _trust(age: Milliseconds): number {
		return Math.exp(-Math.max(0, age) * this._changeRate.value);
	}

	/** A queued call waits for as many ends as stand before it. */
	private _queueing({load, slots}: Prospect): number {
		return 1 + (Math.max(0, load - slots - 1) / Math.max(1, slots));
	}

	private _within(mean: Milliseconds, within: Milliseconds): number {
		const spread = Math.max(leastSpread, Math.sqrt(this._variance.value));
		return normalPart((Math.log(within / mean) + (spread * spread / 2)) / spread);
	}
}
