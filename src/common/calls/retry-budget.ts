/** How many second attempts a service may make. */

/** Tokens at the start, so that the first failure after a start can be retried. */
const startTokens = 1;

/** Most tokens kept: a quiet hour must not save up a storm of retries for the next fault. */
const mostTokens = 10;

/**
 * Retries and hedges as a share of own calls. Made for the fault in which all backend servers fail at
 * once: without it every call would come twice and keep them down. Each VM counts only its own calls,
 * so over any number of VMs the sum stays within the share (and one token for each start).
 */
export class RetryBudget {
	private _tokens = startTokens;

	/** Called once for each call that is admitted. */
	deposit(share: number): void {
		this._tokens = Math.min(mostTokens, this._tokens + share);
	}

	/** True while a second attempt is allowed. */
	get isOpen(): boolean {
		return this._tokens >= 1;
	}

	/** Takes a token; false = the budget is spent. */
	tryTake(): boolean {
		if (this._tokens < 1) {
			return false;
		}

		this._tokens -= 1;
		return true;
	}
}
