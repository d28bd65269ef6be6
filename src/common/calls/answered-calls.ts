/** Calls that were answered lately, as far as this VM knows. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {isOfAnyCaller} from './fingerprint-keys.ts';

/** Bounded, since callers determine the fingerprints. */
const maxKeys = 4096;

/** An answer also clears a call of crashes up to this much later: other VMs may report them later than they happened. */
const clearedAfterMilliseconds: Milliseconds = 1000;

/**
 * The same for a call of any caller. A frequent one is in flight at most crashes; it is suspected only if it was answered
 * to no caller for this long.
 */
const commonClearedAfterMilliseconds: Milliseconds = 60_000;

export class AnsweredCalls {
	private readonly _answeredAt = new Map<string, Instant>();

	add(key: string, answeredAt: Instant): void {
		const previous = this._answeredAt.get(key) ?? -Infinity;
		// The map keeps the order of insertion, so the first entry was answered longest ago.
		this._answeredAt.delete(key);
		this._answeredAt.set(key, Math.max(previous, answeredAt));
		if (this._answeredAt.size > maxKeys) {
			this._answeredAt.delete(this._answeredAt.keys().next().value!);
		}
	}

	/** Whether an answer shows that the call did not cause a crash at `crashedAt`. */
	clears(key: string, crashedAt: Instant): boolean {
		const after = isOfAnyCaller(key) ? commonClearedAfterMilliseconds : clearedAfterMilliseconds;
		return crashedAt <= (this._answeredAt.get(key) ?? -Infinity) + after;
	}
}
