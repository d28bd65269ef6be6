/** Whether one service is short of capacity, and which of its calls this VM admits meanwhile. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {DemandMeter, type DemandResult} from './demand-meter.ts';
import {CapacitySharing, type ServiceDemand} from './capacity-sharing.ts';

/** Decision on a call while its service is short of capacity; recorded in the summary of the call. */
export type SharingDecision = {
	readonly priority: number;
	/** Fraction of the calls with this priority and caller that is admitted, from 0 to 1. */
	readonly admittedFraction: number;
	/** Whether all such calls are admitted while others may have to give way to them. */
	readonly isPreferred: boolean;
	/** Whether the figures of this VM or the merged ones of the fleet decided. */
	readonly figures: 'own' | 'merged';
	/** Time after which a refused call can expect capacity, before random spreading. */
	readonly retryAfterMilliseconds: Milliseconds;
};

/** A service counts as short for this long after a call waited for a slot or found none. */
const shortMilliseconds: Milliseconds = 1000;

/** Age up to which merged figures replace the own ones. */
const maxSummaryAgeMilliseconds: Milliseconds = 1000;

/** Interval at which the fractions are computed again from the own figures. */
const refreshMilliseconds: Milliseconds = 100;

/**
 * Least number of calls in the last second for a decision by the own figures, and least number of answers for any decision.
 * Fewer calls say nothing about the capacity; and where nothing is answered at all, the cause is a failure, and refusing
 * calls would hide its end.
 */
const minOwnCalls = 10;
const minServedPerSecond = 5;

/** Figures by name in a report to the fleet. With 24 a report fits into a datagram of 1,200 bytes. */
const maxReportedFigures = 24;

/** Figures by name for decisions on this VM. */
const maxOwnFigures = 256;

type Sharing = {readonly sharing: CapacitySharing; readonly demand: ServiceDemand};

export class ServiceOverload {
	private readonly _meter = new DemandMeter();
	private _shortUntil: Instant = Number.NEGATIVE_INFINITY;
	private _own: (Sharing & {readonly at: Instant}) | undefined;
	private _merged: (Sharing & {readonly until: Instant}) | undefined;

	/** A call waits for a slot, or has found none. */
	recordShortage(now: Instant): void {
		this._shortUntil = now + shortMilliseconds;
	}

	/** A call has ended. */
	recordEnd(priority: number, caller: string, result: DemandResult, now: Instant): void {
		this._meter.record(priority, caller, result, now);
	}

	/** Whether calls of this VM waited for a slot or found none within the last second. */
	isShort(now: Instant): boolean {
		return now < this._shortUntil;
	}

	/** Applies merged figures of the fleet, which were up to date `ageMilliseconds` ago. */
	applySummary(demand: ServiceDemand, ageMilliseconds: Milliseconds, now: Instant): void {
		this._merged = {sharing: new CapacitySharing(demand), demand, until: now + maxSummaryAgeMilliseconds - Math.max(0, ageMilliseconds)};
	}

	/** Whether merged figures are in force; they come only while the service is short on some VM. */
	hasSummary(now: Instant): boolean {
		return this._merged !== undefined && now < this._merged.until;
	}

	/** The own figures for a report to the fleet. */
	report(now: Instant): ServiceDemand {
		return this._meter.figures(maxReportedFigures, now);
	}

	/** The fraction of such calls that is admitted now; undefined = all, since nothing has to be shared. */
	decide(priority: number, caller: string, now: Instant): SharingDecision | undefined {
		const merged = this.hasSummary(now) ? this._merged : undefined;
		const chosen = merged ?? (this.isShort(now) ? this._refreshOwn(now) : undefined);
		if (chosen === undefined || !chosen.sharing.isActive || chosen.demand.servedPerSecond < minServedPerSecond) {
			return undefined;
		}

		return {
			priority,
			admittedFraction: chosen.sharing.fractionOf(priority, caller),
			isPreferred: chosen.sharing.isPreferred(priority, caller),
			figures: merged === undefined ? 'own' : 'merged',
			retryAfterMilliseconds: chosen.sharing.retryAfter(priority, chosen.demand.demand),
		};
	}

	private _refreshOwn(now: Instant): Sharing | undefined {
		if (this._own === undefined || now - this._own.at >= refreshMilliseconds) {
			const demand = this._meter.figures(maxOwnFigures, now);
			this._own = {sharing: new CapacitySharing(demand), demand, at: now};
		}

		const calls = this._own.demand.demand.reduce((sum, {callsPerSecond}) => sum + callsPerSecond, 0);
		return calls < minOwnCalls ? undefined : this._own;
	}
}
