/** Counts this process's calls against the services' objectives since it started. */
import {type Instant} from '../model/units.ts';
import {BucketRing} from './bucket-ring.ts';
import {burnWindows} from './burn-windows.ts';
import {type ServiceBuckets} from './types.ts';

type ServiceCounters = {
	readonly rings: readonly BucketRing[];
	/** Instant of the service's first counted call. */
	readonly since: Instant;
};

/** Counts the good and bad calls of each service. In memory only, as the VM has no disk. */
export class BurnLedger {
	private readonly _counters = new Map<string, ServiceCounters>();

	/** Counts an ended call. `isGood` as in the call engine's summary: complete answer, no server error, within the objective's latency. */
	count(service: string, isGood: boolean, now: Instant): void {
		for (const ring of this._countersOf(service, now).rings) {
			ring.add(isGood, now);
		}
	}

	/**
	 * Returns all counts by service, window and bucket.
	 * @param measuringSpent measuring calls that this VM made in the current measuring window, by service
	 */
	buckets(now: Instant, measuringSpent: ReadonlyMap<string, number> = new Map()): ServiceBuckets[] {
		// Measuring calls start before a service's first call, and the report includes them.
		return [...new Set([...this._counters.keys(), ...measuringSpent.keys()])].map(service => {
			const counters = this._counters.get(service);
			return {
				service,
				coveredMilliseconds: counters === undefined ? 0 : now - counters.since,
				windows: burnWindows.map((window, index) => ({window: window.name, buckets: counters?.rings[index]!.buckets(now) ?? []})),
				measuringSpent: measuringSpent.get(service) ?? 0,
			};
		});
	}

	/** Removes the counts of services that are no longer declared, which bounds memory by the configuration. */
	retain(services: ReadonlySet<string>): void {
		for (const service of this._counters.keys()) {
			if (!services.has(service)) {
				this._counters.delete(service);
			}
		}
	}

	private _countersOf(service: string, now: Instant): ServiceCounters {
		const known = this._counters.get(service);
		if (known !== undefined) {
			return known;
		}

		const counters = {rings: burnWindows.map(window => new BucketRing(window)), since: now};
		this._counters.set(service, counters);
		return counters;
	}
}
