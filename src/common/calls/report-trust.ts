/** Whether a service's load reports are of use, learnt from what became of the calls placed by them. */

/** Answers over which the relation is learnt. */
const memorySamples = 400;

/** Relation assumed at first, and its weight in answers: reports are trusted until they mislead. */
const initialSlope = 0.05;
const initialVariance = 2;

/** A relation as strong as this, in mean answer times for each reported call, gives full trust. */
const fullTrustSlope = 0.02;

/** With no relation at all, reports are still trusted this far: an idle service shows none either. */
const baselineTrust = 0.5;

/**
 * Regression of answer times on the load that was reported at placing. Made for reports that lag or lie:
 * a backend server that was reported idle is then sent calls by all VMs and answers late, so the relation
 * turns negative, and trust falls before the calls swing to and fro between backend servers.
 */
export class ReportTrust {
	private _meanSignal = 0;
	private _meanRatio = 1;
	private _covariance = initialSlope * initialVariance;
	private _variance = initialVariance;

	/** Change of the answer time, in means, for each reported call. */
	get slope(): number {
		return this._covariance / Math.max(0.01, this._variance);
	}

	/** 0 = reports say nothing, 1 = as good as they can be. */
	get value(): number {
		const relation = this.slope / fullTrustSlope;
		return Math.min(1, Math.max(0, baselineTrust + ((1 - baselineTrust) * relation)));
	}

	/** `signal` = calls more than usual that were reported at placing; `ratio` = answer time in class means. */
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
