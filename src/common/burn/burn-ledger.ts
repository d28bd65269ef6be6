/** What this VM's process has counted against the services' objectives since it started. */
import {type Instant} from '../model/units.ts';
import {BucketRing} from './bucket-ring.ts';
import {burnWindows} from './burn-windows.ts';
import {type ServiceBuckets} from './types.ts';

type Account = {
	readonly rings: readonly BucketRing[];
	/** When counting began. */
	readonly since: Instant;
};

/** Counts calls, good and bad, for each service. Kept in memory only: the VM has no disk. */
export class BurnLedger {
	private readonly _accounts = new Map<string, Account>();

	/** Counts one ended call. `isGood` as in the call engine's summary: whole, no server error, in time. */
	count(service: string, isGood: boolean, now: Instant): void {
		for (const ring of this._accountOf(service, now).rings) {
			ring.add(isGood, now);
		}
	}

	/**
	 * All counts, bucket by bucket.
	 * @param measuringSpent measuring calls that this VM made in the present window, by service
	 */
	buckets(now: Instant, measuringSpent: ReadonlyMap<string, number> = new Map()): ServiceBuckets[] {
		// A service is measured before its first call: what that cost belongs into the report too.
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

	/** Forgets services that are declared no more, so that memory follows the configuration. */
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
