/** Learns whether a service's load reports are useful, from the answer times of the calls that were placed by them. */

/** Number of answers over which the regression is computed. */
const memorySamples = 400;

/** Initial slope, and its weight as a variance: reports are trusted until they prove misleading. */
const initialSlope = 0.05;
const initialVariance = 2;

/** Slope from which confidence is full, in mean answer times for each reported call. */
const fullConfidenceSlope = 0.02;

/** Confidence without any correlation: an idle service shows none either. */
const baselineConfidence = 0.5;

/**
 * Regression of the answer time on the load that was reported at placement. Made for reports that are delayed or wrong:
 * all VMs send calls to a backend server that was reported idle, which then answers late, so the slope turns negative and
 * confidence falls before the calls oscillate between backend servers.
 */
export class ReportConfidence {
	private _meanSignal = 0;
	private _meanRatio = 1;
	private _covariance = initialSlope * initialVariance;
	private _variance = initialVariance;

	/** Change of the answer time for each reported call, in mean answer times. */
	get slope(): number {
		return this._covariance / Math.max(0.01, this._variance);
	}

	/** 0 = reports are useless, 1 = reports are fully trusted. */
	get value(): number {
		const relation = this.slope / fullConfidenceSlope;
		return Math.min(1, Math.max(0, baselineConfidence + ((1 - baselineConfidence) * relation)));
	}

	/** `signal` = reported calls beyond the usual number at placement; `ratio` = answer time relative to the class mean. */
	add(signal: number, ratio: number): void {
		const gain = 1 / memorySamples;
		const clipped = Math.min(5, ratio);
		const signalError = signal - this._meanSignal;
		const ratioError = clipped - this._meanRatio;
		this._meanSignal += signalError * gain;
		this._meanRatio += ratioError * gain;
		this._covariance += ((signalError * ratioError) - this._covariance) * gain;
		this._variance += ((signalError * signalError) - this._variance) * gain;
	}
}
