/** Counts this process's calls against the services' objectives since it started. */
import {type Instant} from '../model/units.ts';
import {BucketRing} from './bucket-ring.ts';
import {burnWindows} from './burn-windows.ts';
import {type ServiceBuckets} from './types.ts';

type Account = {
	readonly rings: readonly BucketRing[];
	/** Instant of the service's first counted call. */
	readonly since: Instant;
};

/** Counts the good and bad calls of each service. In memory only, as the VM has no disk. */
export class BurnLedger {
	private readonly _accounts = new Map<string, Account>();

	/** Counts an ended call. `isGood` as in the call engine's summary: complete answer, no server error, within the objective's latency. */
	count(service: string, isGood: boolean, now: Instant): void {
		for (const ring of this._accountOf(service, now).rings) {
			ring.add(isGood, now);
		}
	}

	/**
	 * Returns all counts by service, window and bucket.
	 * @param measuringSpent measuring calls that this VM made in the current measuring window, by service
	 */
	buckets(now: Instant, measuringSpent: ReadonlyMap<string, number> = new Map()): ServiceBuckets[] {
		// Measuring calls start before a service's first call, and the report includes them.
		return [...new Set([...this._accounts.keys(), ...measuringSpent.keys()])].map(service => {
			const account = this._accounts.get(service);
			return {
				service,
				coveredMilliseconds: account === undefined ? 0 : now - account.since,
				windows: burnWindows.map((window, index) => ({window: window.name, buckets: account?.rings[index]!.buckets(now) ?? []})),
				measuringSpent: measuringSpent.get(service) ?? 0,
			};
		});
	}

	/** Removes the counts of services that are no longer declared, which bounds memory by the configuration. */
	retain(services: ReadonlySet<string>): void {
		for (const service of this._accounts.keys()) {
			if (!services.has(service)) {
				this._accounts.delete(service);
			}
		}
	}

	private _accountOf(service: string, now: Instant): Account {
		const known = this._accounts.get(service);
		if (known !== undefined) {
			return known;
		}

		const account = {rings: burnWindows.map(window => new BucketRing(window)), since: now};
		this._accounts.set(service, account);
		return account;
	}
}
