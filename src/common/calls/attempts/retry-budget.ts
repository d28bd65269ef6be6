/** Token bucket that limits the retries and hedges of a service. */

/** Tokens at the start, so that the first failure can be retried. */
const initialTokens = 1;

/** Maximum number of tokens if no burst is set for the fleet: an hour without failures must not allow a storm of retries at the next fault. */
const defaultMaxTokens = 10;

/** Fraction of the fleet's burst that is divided among the VMs. The rest is a margin: while VMs join or leave, their counts of VMs differ for seconds. */
const burstFraction = 0.8;

/**
 * Limits retries and hedges to a share of the VM's own calls. If all backend servers fail at once, unlimited retries would
 * send every call twice and keep the backend servers overloaded. Since each VM counts only its own calls, the total of all
 * VMs stays within the share plus their saved tokens. The saved tokens of a VM are limited to an equal part of the burst that
 * the operators allow the fleet: with ten tokens each, 116 VMs would start 1160 retries at once after a fault.
 */
export class RetryBudget {
	private _tokens = initialTokens;
	private _maxTokens = defaultMaxTokens;

	/** Sets the token limit to this VM's part of `burst`, the retries and hedges that all VMs may start at once beyond their share; at least one token. */
	setBurstShare(burst: number, vmCount: number): void {
		this._maxTokens = Math.max(initialTokens, burstFraction * burst / Math.max(1, vmCount));
		this._tokens = Math.min(this._maxTokens, this._tokens);
	}

	/** Adds `share` tokens. Called once for each admitted call. */
	deposit(share: number): void {
		this._tokens = Math.min(this._maxTokens, this._tokens + share);
	}

	/** True while a retry or hedge is allowed. */
	get hasToken(): boolean {
		return this._tokens >= 1;
	}

	/** Takes a token; returns false if the budget is used up. */
	tryTake(): boolean {
		if (this._tokens < 1) {
			return false;
		}

		this._tokens -= 1;
		return true;
	}
}
