/** The last message about the rate limit of each backend server, kept for VMs that missed it. */
import {supersedes} from '../calls/backend-rates/advertised-rate-limit.ts';
import {type BackendServerIdentity, type LoadUpdate, type RateLimitAdvertisement} from '../calls/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type EvidenceKey} from './types.ts';

/** Begins the keys of limits; those of crashes begin with the identity of a process. */
const keyPrefix = 'rate-limit ';

/** Time after which a rate limit that no VM has sent again is dropped. */
const retentionMilliseconds: Milliseconds = 600_000;

/** An unchanged rate limit counts as sent again, and is passed on, if it is this much newer. Smaller differences come from the transfer of one message. */
const repeatMilliseconds: Milliseconds = 30_000;

/** Maximum number of rate limits. Beyond it the process last by its identity is dropped, so that all VMs keep the same. */
const maxAdvertisements = 256;

type Known = {readonly identity: BackendServerIdentity; readonly advertisement: RateLimitAdvertisement; readonly at: Instant};

export class RateLimitAdvertisements {
	/** By process. */
	private readonly _known = new Map<string, Known>();

	get isEmpty(): boolean {
		return this._known.size === 0;
	}

	get keys(): EvidenceKey[] {
		return Array.from(this._known.values(), ({advertisement}) => keyOf(advertisement));
	}

	/** Whether a key is one of a limit. */
	static isKey(key: EvidenceKey): boolean {
		return key.startsWith(keyPrefix);
	}

	/** Adds an advertisement; returns false if it, or a later one, is known already. */
	add({identity, rateLimit: advertisement, ageMilliseconds}: LoadUpdate, now: Instant): boolean {
		this._removeExpired(now);
		const at = now - Math.max(0, ageMilliseconds);
		if (advertisement === undefined || now - at > retentionMilliseconds) {
			return false;
		}

		const known = this._known.get(advertisement.process);
		const isRepeated = known?.advertisement.sequence === advertisement.sequence && known.advertisement.callsPerSecond === advertisement.callsPerSecond && at - known.at >= repeatMilliseconds;
		if (known !== undefined && !isRepeated && !supersedes(advertisement, known.advertisement)) {
			return false;
		}

		this._known.set(advertisement.process, {identity, advertisement, at});
		if (this._known.size > maxAdvertisements) {
			this._known.delete([...this._known.keys()].toSorted().at(-1)!);
		}

		return true;
	}

	/** The advertisements of these keys, with their age at `now`; all of them if `keys` is undefined. */
	select(keys: readonly EvidenceKey[] | undefined, now: Instant): LoadUpdate[] {
		this._removeExpired(now);
		return [...this._known.values()].filter(({advertisement}) => keys?.includes(keyOf(advertisement)) ?? true).map(({identity, advertisement, at}) => ({
			identity, report: undefined, ageMilliseconds: Math.max(0, now - at), suspects: [], crash: undefined, rateLimit: advertisement,
		}));
	}

	private _removeExpired(now: Instant): void {
		for (const [process, {at}] of this._known) {
			if (now - at > retentionMilliseconds) {
				this._known.delete(process);
			}
		}
	}
}

function keyOf({process, callsPerSecond, sequence}: RateLimitAdvertisement): EvidenceKey {
	return `${keyPrefix}${process} ${sequence} ${callsPerSecond ?? 'none'}`;
}
