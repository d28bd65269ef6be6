/**
 * Answer time model of a service, learnt from its answers: the effect of load and of neighbours, and how long a load
 * report stays valid.
 */
import {type Milliseconds} from '../../model/units.ts';
import {MovingAverage} from './moving-average.ts';
import {lightLoadFraction, slowWorkTimeFactor} from './load-levels.ts';

/** Load of a backend server at the moment when a call is placed. */
export type LoadSnapshot = {
	/** Calls there, including this one. */
	readonly load: number;
	readonly slots: number;
	/** Reported work time relative to the usual one; undefined = none reported. */
	readonly workTimeFactor: number | undefined;
	/** Age of that report. */
	readonly reportAge: Milliseconds;
};

/**
 * Initial slowdown for each load level (few calls, nearly full, queued), and the weight of these values in samples. The
 * slowdown of each level is learnt separately. Servers that slow down as they fill up take 1.5 to 1.7 times as long in
 * their last slots; for others the values adapt within a minute of calls.
 */
const initialSlowdowns = {few: 1, full: 1.5, queued: 2.2};
const initialSlowdownSamples = 12;

/** Initial standard deviation of the logarithm of unexplained answer times: one in ten takes half as long again. */
const initialSpread = 0.32;

/** Lower bound of the spread: a few similar answers must not make the model certain. */
const minSpread = 0.15;

/** Initial fraction of backend servers slowed down by neighbours, and the slowdown there. */
const initialSlowFraction = 0.3;
const initialSlowFactor = 4;

/** Weight of the initial values on neighbours, in reports: four reports arrive with each call. */
const initialReportSamples = 40;

/**
 * Samples after which an older one has a third of its weight: a few minutes of one VM's calls, or seconds of its reports.
 */
const answerMemorySamples = 300;
const reportMemorySamples = 400;

/**
 * Initial time constant with which a report about neighbours loses its validity. Phases of 300 to 500 ms have been
 * observed.
 */
const initialReportValidityMilliseconds: Milliseconds = 350;

/** Interval between two reports of one backend server from which the rate of change is learnt. */
const minReportGapMilliseconds: Milliseconds = 20;
const maxReportGapMilliseconds: Milliseconds = 400;

/**
 * An answer this many times longer than expected points to a fault and not to the work; it is left out, since it would
 * distort the spread.
 */
const maxAnswerTimeRatio = 6;

type LoadLevel = keyof typeof initialSlowdowns;

function loadLevelOf({load, slots}: LoadSnapshot): LoadLevel {
	if (load > slots) {
		return 'queued';
	}

	return load <= lightLoadFraction * slots ? 'few' : 'full';
}

/** Cumulative normal distribution (Abramowitz and Stegun 26.2.16, accurate to 1e-5). */
function normalDistribution(deviations: number): number {
	const step = 1 / (1 + (0.332_67 * Math.abs(deviations)));
	const density = Math.exp(-deviations * deviations / 2) / Math.sqrt(2 * Math.PI);
	const tail = density * step * (0.436_183_6 + (step * (-0.120_167_6 + (step * 0.937_298))));
	return deviations >= 0 ? 1 - tail : tail;
}

/**
 * Estimates answer probabilities for load and neighbours that change within milliseconds. The answer time is the class's
 * work time, times the neighbours' factor, times the slowdown by load, times a lognormal residual. Initial values apply
 * until samples outweigh them, so the model works from the first call of a process. `answer-time-model.test.ts` compares
 * it with generators whose quantiles are known.
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
	/** Changes per millisecond between two reports of one backend server. */
	private readonly _changeRate = new MovingAverage(1 / initialReportValidityMilliseconds, initialReportSamples, reportMemorySamples);

	/** Fraction of the backend servers that neighbours slow down. */
	get slowFraction(): number {
		return this._slowFraction.value;
	}

	/** Probability of an answer within the time `within`. */
	probabilityWithin(work: Milliseconds, snapshot: LoadSnapshot, within: Milliseconds): number {
		if (within <= 0) {
			return 0;
		}

		const base = work * this._slowdowns[loadLevelOf(snapshot)].value * this._queueingFactor(snapshot);
		const reportedFactor = snapshot.workTimeFactor;
		if (reportedFactor === undefined) {
			return this._unreportedProbability(base, within);
		}

		const confidence = this._reportConfidence(snapshot.reportAge);
		return (confidence * this._lognormalProbability(base * reportedFactor, within)) + (confidence > 0.99 ? 0 : (1 - confidence) * this._unreportedProbability(base, within));
	}

	/** Mean answer time. */
	mean(work: Milliseconds, snapshot: LoadSnapshot): Milliseconds {
		const base = work * this._slowdowns[loadLevelOf(snapshot)].value * this._queueingFactor(snapshot);
		const unreported = 1 + (this.slowFraction * (this._slowFactor.value - 1));
		const confidence = snapshot.workTimeFactor === undefined ? 0 : this._reportConfidence(snapshot.reportAge);
		return base * ((confidence * (snapshot.workTimeFactor ?? 0)) + ((1 - confidence) * unreported));
	}

	/** Learns from the answer time of an attempt that was placed with this snapshot. */
	addAnswer(work: Milliseconds, snapshot: LoadSnapshot, time: Milliseconds): void {
		const factor = snapshot.workTimeFactor;
		// The time of a call on a slow backend server, or on one with an old report, is dominated by neighbours and says
		// nothing about the effect of load.
		if (factor === undefined || factor >= slowWorkTimeFactor || this._reportConfidence(snapshot.reportAge) < 0.9 || work <= 0 || time <= 0) {
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

	/**
	 * Learns from a report; `previous` = the factor in the preceding report of the same process, received `gap`
	 * milliseconds before.
	 */
	addReport(factor: number | undefined, previous: number | undefined, gap: Milliseconds): void {
		if (factor === undefined) {
			return;
		}

		const isSlow = factor >= slowWorkTimeFactor;
		this._slowFraction.add(isSlow ? 1 : 0);
		if (isSlow) {
			this._slowFactor.add(factor);
		}

		if (previous !== undefined && gap >= minReportGapMilliseconds && gap <= maxReportGapMilliseconds) {
			this._changeRate.add((previous >= slowWorkTimeFactor) === isSlow ? 0 : this._ratePerChange(gap));
		}
	}

	/**
	 * A change is visible only if the new state differs from the old one, which has the probability 2p(1 - p), where p is
	 * the slow fraction.
	 */
	private _ratePerChange(gap: Milliseconds): number {
		return 1 / (gap * Math.max(0.1, 2 * this.slowFraction * (1 - this.slowFraction)));
	}

	/** Probability of an answer in time where it is unknown whether the backend server is slow. */
	private _unreportedProbability(base: Milliseconds, within: Milliseconds): number {
		return ((1 - this.slowFraction) * this._lognormalProbability(base, within)) + (this.slowFraction * this._lognormalProbability(base * this._slowFactor.value, within));
	}

	private _reportConfidence(reportAge: Milliseconds): number {
		return Math.exp(-Math.max(0, reportAge) * this._changeRate.value);
	}

	/** A queued call waits for as many calls to end as are ahead of it. */
	private _queueingFactor({load, slots}: LoadSnapshot): number {
		return 1 + (Math.max(0, load - slots - 1) / Math.max(1, slots));
	}

	private _lognormalProbability(mean: Milliseconds, within: Milliseconds): number {
		const spread = Math.max(minSpread, Math.sqrt(this._variance.value));
		return normalDistribution((Math.log(within / mean) + (spread * spread / 2)) / spread);
	}
}
