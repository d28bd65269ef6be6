/** The rate limit of one backend server as VMs have last sent it to each other: which message replaces which, and when to send one. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type RateLimitAdvertisement} from '../types.ts';

/** Minimum time between a message and one that raises or ends the limit, as a backend server may change it with each answer. A lower limit is sent at once. */
const intervalMilliseconds: Milliseconds = 1000;

/** Time after which an unchanged limit is sent again, before the other VMs drop it. */
const refreshMilliseconds: Milliseconds = 60_000;

type Advertisement = Pick<RateLimitAdvertisement, 'callsPerSecond' | 'sequence'>;

/** The limit, for comparison; none is the highest. */
function limitOf({callsPerSecond = Infinity}: Pick<Advertisement, 'callsPerSecond'>): number {
	return callsPerSecond;
}

/** Whether `one` replaces `other`. Two VMs may use a sequence number at the same time; the lower limit then wins. */
export function supersedes(one: Advertisement, other: Advertisement): boolean {
	return one.sequence === other.sequence ? limitOf(one) < limitOf(other) : one.sequence > other.sequence;
}

export class AdvertisedRateLimit {
	private _last: Advertisement = {callsPerSecond: undefined, sequence: 0};
	private _advertisedAt: Instant = -Infinity;

	/** Applies the advertisement of another VM; false = a later one is known. */
	apply(advertisement: Advertisement, at: Instant): boolean {
		if (!supersedes(advertisement, this._last)) {
			this._advertisedAt = advertisement.sequence === this._last.sequence ? Math.max(this._advertisedAt, at) : this._advertisedAt;
			return false;
		}

		this._last = advertisement;
		this._advertisedAt = at;
		return true;
	}

	/** The advertisement that is due after this VM has learnt that the limit is `callsPerSecond`; undefined = none. */
	take(callsPerSecond: number | undefined, now: Instant): Advertisement | undefined {
		if (!this._isDue(callsPerSecond, now - this._advertisedAt)) {
			return undefined;
		}

		const sequence = callsPerSecond === this._last.callsPerSecond ? this._last.sequence : this._last.sequence + 1;
		this._last = {callsPerSecond, sequence};
		this._advertisedAt = now;
		return this._last;
	}

	private _isDue(callsPerSecond: number | undefined, age: Milliseconds): boolean {
		if (callsPerSecond === this._last.callsPerSecond) {
			return callsPerSecond !== undefined && age >= refreshMilliseconds;
		}

		return limitOf({callsPerSecond}) < limitOf(this._last) || age >= intervalMilliseconds;
	}
}
