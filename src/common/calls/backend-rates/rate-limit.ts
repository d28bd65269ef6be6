/** Rate limit that a backend server announces in its answers, as far as it applies to this VM. */
import {type Instant} from '../../model/units.ts';
import {type RateLimitNotice} from '../types.ts';
import {GrantedTokens} from './granted-tokens.ts';
import {type RateShare} from './rate-quota.ts';

/**
 * Tokens for one attempt, and the minimum capacity of the bucket: in a smaller one, a VM with a small share could never
 * save up a token.
 */
const tokensPerAttempt = 1;

/** Capacity of the bucket: seconds of its share that a VM may save up. */
const maxSavedSeconds = 0.25;

const millisecondsPerSecond = 1000;

/** Effect of an answer on the rate limit. */
export type RateLimitChange = 'named' | 'changed' | 'ended' | 'unreadable' | 'none';

/**
 * The backend server announces one limit for all VMs together; it holds until an answer comes without one. `RateLimiter`
 * decides whether attempts use the granted tokens, or the bucket with this VM's share.
 */
export class RateLimit {
	readonly tokens = new GrantedTokens();
	/** Time of the next attempt while no holder of the limit answers; undefined = to be drawn. */
	nextStartAt: Instant | undefined;
	private _callsPerSecond: number | undefined;
	private _announcedAt: Instant = -Infinity;
	private _isUnreadable = false;
	/**
	 * Whether load probes have announced the limit too since it was first announced; if not, a probe without one means
	 * nothing.
	 */
	private _isAnnouncedByProbes = false;
	private _tokens: number | undefined;
	private _refilledAt: Instant = 0;

	/** Calls per second that the backend server accepts from all VMs together; undefined = no limit. */
	get callsPerSecond(): number | undefined {
		return this._callsPerSecond;
	}

	/** When the limit was last announced to this VM. */
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
	applyAnswer({notice, isError, startedAt}: {readonly notice: RateLimitNotice | undefined; readonly isError: boolean; readonly startedAt: Instant}, now: Instant): RateLimitChange {
		return notice === undefined && (isError || startedAt <= this._announcedAt) ? 'none' : this._apply(notice, now);
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

	/** Whether no further attempt of this VM may start now. */
	isSpent(share: RateShare, now: Instant): boolean {
		return this._callsPerSecond !== undefined && this._refill(share, now) < tokensPerAttempt;
	}

	/** Takes the token of an attempt that starts. */
	take(share: RateShare, now: Instant): void {
		if (this._callsPerSecond !== undefined) {
			this._tokens = Math.max(0, this._refill(share, now) - tokensPerAttempt);
		}
	}

	/** When the next attempt of this VM may start. */
	availableAt(share: RateShare, now: Instant): Instant {
		const missing = tokensPerAttempt - this._refill(share, now);
		return missing <= 0 ? now : now + (missing * millisecondsPerSecond / share.callsPerSecond);
	}

	private _apply(notice: RateLimitNotice | undefined, now: Instant): RateLimitChange {
		if (notice === 'unreadable') {
			const isNew = !this._isUnreadable;
			this._isUnreadable = true;
			return isNew ? 'unreadable' : 'none';
		}

		const previous = this._callsPerSecond;
		this._isUnreadable = false;
		this._callsPerSecond = notice;
		if (notice === undefined) {
			this._isAnnouncedByProbes = false;
			return previous === undefined ? 'none' : 'ended';
		}

		this._announcedAt = now;
		if (previous === undefined) {
			return 'named';
		}

		return previous === notice ? 'none' : 'changed';
	}

	private _refill({callsPerSecond, initialTokens}: RateShare, now: Instant): number {
		const capacity = Math.max(tokensPerAttempt, maxSavedSeconds * callsPerSecond);
		const saved = this._tokens === undefined
			? initialTokens
			: this._tokens + (callsPerSecond * (now - this._refilledAt) / millisecondsPerSecond);
		this._tokens = Math.min(capacity, saved);
		this._refilledAt = now;
		return this._tokens;
	}
}
