/** How many second attempts a service may make. */

/** Tokens at the start, so that the first failure after a start can be retried. */
const startTokens = 1;

/** Most tokens kept where the fleet has no burst to share: a quiet hour must not save up a storm of retries for the next fault. */
const usualMostTokens = 10;

/** Part of the fleet's burst that is shared out: VMs that come and go disagree on their number for seconds. */
const sharedPart = 0.8;

/**
 * Retries and hedges as a share of own calls. Made for the fault in which all backend servers fail at
 * once: without it every call would come twice and keep them down. Each VM counts only its own calls,
 * so over any number of VMs the sum stays within the share and what each has saved up. That is an even part of the burst
 * which the operators allow the fleet: at ten tokens each, 116 VMs would answer a fault with 1160 retries at once.
 */
export class RetryBudget {
	private _tokens = startTokens;
	private _mostTokens = usualMostTokens;

	/** `burst` = second attempts that all VMs together may make beyond their share; each keeps at least one token. */
	shareBurst(burst: number, vmCount: number): void {
		this._mostTokens = Math.max(startTokens, sharedPart * burst / Math.max(1, vmCount));
		this._tokens = Math.min(this._mostTokens, this._tokens);
	}

	/** Called once for each call that is admitted. */
	deposit(share: number): void {
		this._tokens = Math.min(this._mostTokens, this._tokens + share);
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
