/** Token bucket with this VM's share of a rate limit, for fleets that divide limits by their lists of VMs. */
import {type Instant} from '../../model/units.ts';
import {type RateShare} from './rate-quota.ts';

/**
 * Tokens for one attempt, and the minimum capacity of the bucket: in a smaller one, a VM with a small share could never
 * save up a token.
 */
const tokensPerAttempt = 1;

/** Capacity of the bucket: seconds of its share that a VM may save up. */
const maxSavedSeconds = 0.25;

const millisecondsPerSecond = 1000;

export class ShareBucket {
	private _tokens: number | undefined;
	private _refilledAt: Instant = 0;

	/** Whether no further attempt of this VM may start now. */
	isSpent(share: RateShare, now: Instant): boolean {
		return this._refill(share, now) < tokensPerAttempt;
	}

	/** Takes the token of an attempt that starts. */
	take(share: RateShare, now: Instant): void {
		this._tokens = Math.max(0, this._refill(share, now) - tokensPerAttempt);
	}

	/** When the next attempt of this VM may start. */
	availableAt(share: RateShare, now: Instant): Instant {
		const missing = tokensPerAttempt - this._refill(share, now);
		return missing <= 0 ? now : now + (missing * millisecondsPerSecond / share.callsPerSecond);
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
