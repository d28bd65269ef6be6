/** Rate limit that a backend server announces in its answers, as far as it applies to this VM. */
import {type Instant} from '../../model/units.ts';
import {minErrorStatus} from '../outcomes.ts';
import {type RateLimitNotice, type RateLimitAdvertisement} from '../types.ts';
import {GrantedTokens} from './granted-tokens.ts';
import {RandomStarts} from './random-starts.ts';
import {ShareBucket} from './share-bucket.ts';
import {AdvertisedRateLimit} from './advertised-rate-limit.ts';

/** Rate limit in the answer to an attempt that started at `startedAt`; `notice` undefined = it has none. */
export type AnswerRateLimit = {readonly notice: RateLimitNotice | undefined; readonly status: number; readonly startedAt: Instant};

/** Lowest rate that is applied, also if a backend server announces less, or 0: only the answer to a call shows that the limit has ended. */
const minCallsPerSecond = 0.1;

/** Effect of an answer on the rate limit. */
export type RateLimitChange = 'named' | 'changed' | 'ended' | 'unreadable' | 'none';

/**
 * Rate limit that one backend server has announced to this or another VM. It is one limit for all VMs together, and holds
 * until an answer comes without one.
 */
export class RateLimit {
	/** This VM's attempts, for each way of sharing the limit; `RateLimiter` chooses one. */
	readonly share = new ShareBucket();
	readonly tokens = new GrantedTokens();
	readonly randomStarts = new RandomStarts();
	/** The rate limit as VMs have last sent it to each other. */
	private readonly _advertised = new AdvertisedRateLimit();
	private _callsPerSecond: number | undefined;
	private _announcedAt: Instant = -Infinity;
	private _isUnreadable = false;
	/**
	 * Whether load probes have announced the limit too since it was first announced; if not, a probe without one means
	 * nothing.
	 */
	private _isAnnouncedByProbes = false;

	/** Calls per second that the backend server accepts from all VMs together; undefined = no limit. */
	get callsPerSecond(): number | undefined {
		return this._callsPerSecond;
	}

	/** When the limit was last announced, as far as this VM knows. */
	get announcedAt(): Instant {
		return this._announcedAt;
	}

	/** Whether load probes show when the limit ends. */
	get isAnnouncedByProbes(): boolean {
		return this._isAnnouncedByProbes;
	}

	/**
	 * Applies the answer to an attempt. One without a limit ends it only if it is no error, which may lack the headers of
	 * a regular answer, and if the attempt started after the last announcement, since the answer may be older otherwise.
	 */
	applyAnswer({notice, status, startedAt}: AnswerRateLimit, now: Instant): RateLimitChange {
		return notice === undefined && (status >= minErrorStatus || startedAt <= this._announcedAt) ? 'none' : this._apply(notice, now);
	}

	/** Applies the response to a load probe that was sent at `sentAt`. */
	applyProbe(notice: RateLimitNotice | undefined, sentAt: Instant, now: Instant): RateLimitChange {
		if (notice === undefined && (!this._isAnnouncedByProbes || sentAt <= this._announcedAt)) {
			return 'none';
		}

		const change = this._apply(notice, now);
		this._isAnnouncedByProbes = this._callsPerSecond !== undefined;
		return change;
	}

	/** Applies a rate limit that another VM has sent; it was announced at `at`. */
	applyAdvertisement(advertisement: Omit<RateLimitAdvertisement, 'process'>, at: Instant): RateLimitChange {
		return this._advertised.apply(advertisement, at) ? this._set(advertisement.callsPerSecond, at) : 'none';
	}

	/** The rate limit to send to the other VMs now; undefined = they need no message. */
	takeAdvertisement(now: Instant): Omit<RateLimitAdvertisement, 'process'> | undefined {
		return this._advertised.take(this._callsPerSecond, now);
	}

	private _apply(notice: RateLimitNotice | undefined, now: Instant): RateLimitChange {
		if (notice === 'unreadable') {
			const isNew = !this._isUnreadable;
			this._isUnreadable = true;
			return isNew ? 'unreadable' : 'none';
		}

		this._isUnreadable = false;
		return this._set(notice === undefined ? undefined : Math.max(minCallsPerSecond, notice), now);
	}

	private _set(callsPerSecond: number | undefined, at: Instant): RateLimitChange {
		const previous = this._callsPerSecond;
		this._callsPerSecond = callsPerSecond;
		if (callsPerSecond === undefined) {
			this._isAnnouncedByProbes = false;
			return previous === undefined ? 'none' : 'ended';
		}

		this._announcedAt = Math.max(this._announcedAt, at);
		if (previous === undefined) {
			return 'named';
		}

		return previous === callsPerSecond ? 'none' : 'changed';
	}
}
