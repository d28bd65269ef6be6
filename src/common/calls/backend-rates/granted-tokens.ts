/** Tokens for attempts on one backend server with a rate limit, as the fleet grants them to this VM. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type ServerTokenResult} from '../../limits/types.ts';

/** A token is used within this time, so that an attempt does not start in a later span than the one it was granted for. */
const tokenMilliseconds: Milliseconds = 500;

/** Pause after a token that no call has used. */
const unusedPauseMilliseconds: Milliseconds = 1000;

/** Maximum pause after a refusal, since the limit may change meanwhile. */
const maxRefusalPauseMilliseconds: Milliseconds = 2000;

/** Pause between requests while no holder answers. */
const unavailablePauseMilliseconds: Milliseconds = 500;

export class GrantedTokens {
	private _count = 0;
	private _usableUntil: Instant = -Infinity;
	private _retryAt: Instant = -Infinity;
	private _isRequested = false;
	private _isUnavailable = false;

	/** Whether the last request got no answer. */
	get isUnavailable(): boolean {
		return this._isUnavailable;
	}

	/** When the next attempt may start: `now` while a token is in stock, or may come at any moment. */
	availableAt(now: Instant): Instant {
		return this.has(now) || this._isRequested ? now : Math.max(now, this._retryAt);
	}

	/** Whether a token is in stock. One that no call has used in time is dropped. */
	has(now: Instant): boolean {
		if (this._count > 0 && now >= this._usableUntil) {
			this._count = 0;
			this._retryAt = this._usableUntil + unusedPauseMilliseconds;
		}

		return this._count > 0;
	}

	mayRequest(now: Instant): boolean {
		return !this._isRequested && !this.has(now) && now >= this._retryAt;
	}

	onRequested(): void {
		this._isRequested = true;
	}

	take(): void {
		this._count = Math.max(0, this._count - 1);
	}

	onResult(result: ServerTokenResult, now: Instant): void {
		this._isRequested = false;
		this._isUnavailable = result.kind === 'unavailable';
		switch (result.kind) {
			case 'granted': {
				this._count = result.count;
				this._usableUntil = now + tokenMilliseconds;
				break;
			}

			case 'refused': {
				this._retryAt = now + Math.min(result.retryAfterMilliseconds, maxRefusalPauseMilliseconds);
				break;
			}

			case 'unavailable': {
				this._retryAt = now + unavailablePauseMilliseconds;
				break;
			}
		}
	}
}
