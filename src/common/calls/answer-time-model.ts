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
const initialSlowdowns = {few: 1, full: 1.5, queued: 2.2};
const initialSlowdownSamples = 12;

/** Relative spread of answer times that nothing explains, before any was seen: one in ten takes half as long again. */
const initialSpread = 0.32;

/** Least spread: what was learnt by a few like answers must not make the model certain. */
const minSpread = 0.15;

/** Part of backend servers with neighbours, and how much slower those are, before any report was seen. */
const initialSlowFraction = 0.3;
const initialSlowFactor = 4;

/** Reports that the assumptions on neighbours count for: four arrive with each call. */
const initialReportSamples = 40;

/** Samples after which an older one counts for a third: a few minutes of one VM's calls, seconds of its reports. */
const answerMemorySamples = 300;
const reportMemorySamples = 400;

/** How long a report of neighbours holds, before any change was seen. Pieces of 300 to 500 ms were met. */
const initialReportValidityMilliseconds: Milliseconds = 350;

/** Reports of one backend server whose distance says something of how long they hold. */
const minReportGapMilliseconds: Milliseconds = 20;
const maxReportGapMilliseconds: Milliseconds = 400;

/** An answer this many times longer than expected tells of a fault, and not of the work: it would spoil the spread. */
const maxAnswerTimeRatio = 6;

type LoadLevel = keyof typeof initialSlowdowns;

function loadLevelOf({load, slots}: Prospect): LoadLevel {
	if (load > slots) {
		return 'queued';
	}

	return load <= roomyPart * slots ? 'few' : 'full';
}

/** Part of a normal distribution below `deviations` (Abramowitz and Stegun 26.2.16, right to 1e-5). */
function normalDistribution(deviations: number): number {
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
	private readonly _slowdowns: Record<LoadLevel, MovingAverage> = {
		few: new MovingAverage(initialSlowdowns.few, initialSlowdownSamples, answerMemorySamples),
		full: new MovingAverage(initialSlowdowns.full, initialSlowdownSamples, answerMemorySamples),
		queued: new MovingAverage(initialSlowdowns.queued, initialSlowdownSamples, answerMemorySamples),
	};

	private readonly _variance = new MovingAverage(initialSpread * initialSpread, initialSlowdownSamples * 2, answerMemorySamples);
	private readonly _slowFraction = new MovingAverage(initialSlowFraction, initialReportSamples, reportMemorySamples);
	private readonly _slowFactor = new MovingAverage(initialSlowFactor, initialReportSamples / 4, reportMemorySamples);
	/** Changes a millisecond between two reports of one backend server. */
	private readonly _changeRate = new MovingAverage(1 / initialReportValidityMilliseconds, initialReportSamples, reportMemorySamples);

	/** Part of the backend servers that neighbours slow down. */
	get slowFraction(): number {
		return this._slowFraction.value;
	}

	/** Chance that an answer comes within this time. */
	chance(work: Milliseconds, snapshot: Prospect, within: Milliseconds): number {
		if (within <= 0) {
			return 0;
		}

		const base = work * this._slowdowns[loadLevelOf(snapshot)].value * this._queueingFactor(snapshot);
		const reportedFactor = snapshot.workTimeFactor;
		const unreported = () => ((1 - this.slowFraction) * this._lognormalProbability(base, within)) + (this.slowFraction * this._lognormalProbability(base * this._slowFactor.value, within));
		if (reportedFactor === undefined) {
			return unreported();
		}

		const confidence = this._reportConfidence(snapshot.age);
		return (confidence * this._lognormalProbability(base * reportedFactor, within)) + (confidence > 0.99 ? 0 : (1 - confidence) * unreported());
	}

	/** Mean time of an answer. */
	mean(work: Milliseconds, snapshot: Prospect): Milliseconds {
		const base = work * this._slowdowns[loadLevelOf(snapshot)].value * this._queueingFactor(snapshot);
		const unreported = 1 + (this.slowFraction * (this._slowFactor.value - 1));
		const confidence = snapshot.workTimeFactor === undefined ? 0 : this._reportConfidence(snapshot.age);
		return base * ((confidence * (snapshot.workTimeFactor ?? 0)) + ((1 - confidence) * unreported));
	}

	/** Takes in how long an answer took that was expected by this prospect. */
	addAnswer(work: Milliseconds, snapshot: Prospect, time: Milliseconds): void {
		const factor = snapshot.workTimeFactor;
		// What neighbours do to a call on a slow or long unheard-of backend server tells nothing of the load's effect.
		if (factor === undefined || factor >= slowFrom || this._reportConfidence(snapshot.age) < 0.9 || work <= 0 || time <= 0) {
			return;
		}

		const slowdown = this._slowdowns[loadLevelOf(snapshot)];
		const expected = work * factor * slowdown.value * this._queueingFactor(snapshot);
		const ratio = time / expected;
		if (ratio > maxAnswerTimeRatio || ratio < 1 / maxAnswerTimeRatio) {
			return;
		}

		slowdown.add(slowdown.value * ratio);
		this._variance.add(Math.log(ratio) ** 2);
	}

	/** Takes in a report; `former` = the one before it of the same process, made this long before. */
	addReport(factor: number | undefined, previous: number | undefined, gap: Milliseconds): void {
		if (factor === undefined) {
			return;
		}

		const isSlow = factor >= slowFrom;
		this._slowFraction.add(isSlow ? 1 : 0);
		if (isSlow) {
			this._slowFactor.add(factor);
		}

		if (previous !== undefined && gap >= minReportGapMilliseconds && gap <= maxReportGapMilliseconds) {
			this._changeRate.add((previous >= slowFrom) === isSlow ? 0 : this._ratePerChange(gap));
		}
	}

	/**
	 * A change is seen only if the new state differs from the old one, which it does in 2p(1 - p) of the cases where p is
	 * the slow part.
	 */
	private _ratePerChange(gap: Milliseconds): number {
		return 1 / (gap * Math.max(0.1, 2 * this.slowFraction * (1 - this.slowFraction)));
	}

	private _reportConfidence(age: Milliseconds): number {
		return Math.exp(-Math.max(0, age) * this._changeRate.value);
	}

	/** A queued call waits for as many ends as stand before it. */
	private _queueingFactor({load, slots}: Prospect): number {
		return 1 + (Math.max(0, load - slots - 1) / Math.max(1, slots));
	}

	private _lognormalProbability(mean: Milliseconds, within: Milliseconds): number {
		const spread = Math.max(minSpread, Math.sqrt(this._variance.value));
		return normalDistribution((Math.log(within / mean) + (spread * spread / 2)) / spread);
	}
}
