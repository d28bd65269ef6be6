/** The rate limit that a backend server names in its answers, as far as it binds this VM. */
import {type Instant} from '../model/units.ts';
import {type RateShare} from './rate-quota.ts';
import {type RateLimitNotice} from './types.ts';

/** One attempt is one token; fewer would keep a VM with a small share from ever starting one. */
const tokensPerAttempt = 1;

/** A quick VM may save up its share of this many seconds. */
const maxSavedSeconds = 0.25;

const millisecondsPerSecond = 1000;

/** What an answer changed. */
export type RateLimitChange = 'named' | 'changed' | 'ended' | 'unreadable' | 'none';

/** A token bucket of this VM's share. The backend server's limit holds for all VMs together, until an answer names none. */
export class RateLimit {
	private _callsPerSecond: number | undefined;
	private _announcedAt: Instant = -Infinity;
	private _isUnreadable = false;
	/** Whether load probes name the limit too, since it was first named: if not, one without says nothing. */
	private _isAnnouncedByProbes = false;
	private _tokens: number | undefined;
	private _refilledAt: Instant = 0;

	/** Calls a second that it takes from all VMs together; undefined = it names no limit. */
	get callsPerSecond(): number | undefined {
		return this._callsPerSecond;
	}

	/** Whether load probes tell when the limit ends. */
	get isNamedByProbes(): boolean {
		return this._isAnnouncedByProbes;
	}

	/** Takes what the answer to an attempt says; one that started before the limit was named may have been answered before. */
	noteAnswer(notice: RateLimitNotice | undefined, startedAt: Instant, now: Instant): RateLimitChange {
		return notice === undefined && startedAt <= this._announcedAt ? 'none' : this._apply(notice, now);
	}

	/** Takes what a load probe's response says. */
	noteProbe(notice: RateLimitNotice | undefined, now: Instant): RateLimitChange {
		if (notice === undefined && !this._isAnnouncedByProbes) {
			return 'none';
		}

		const change = this._apply(notice, now);
		this._isAnnouncedByProbes = this._callsPerSecond !== undefined;
		return change;
	}

	/** No further attempt of this VM may start now. */
	isSpent(share: RateShare, now: Instant): boolean {
		return this._callsPerSecond !== undefined && this._refill(share, now) < tokensPerAttempt;
	}

	/** An attempt of this VM starts. */
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

		if (previous === undefined) {
			this._announcedAt = now;
			return 'named';
		}

		return previous === notice ? 'none' : 'changed';
	}

	private _refill({callsPerSecond, firstTokens}: RateShare, now: Instant): number {
		const capacity = Math.max(tokensPerAttempt, maxSavedSeconds * callsPerSecond);
		const saved = this._tokens === undefined
			? firstTokens
			: this._tokens + (callsPerSecond * (now - this._refilledAt) / millisecondsPerSecond);
		this._tokens = Math.min(capacity, saved);
		this._refilledAt = now;
		return this._tokens;
	}
}
