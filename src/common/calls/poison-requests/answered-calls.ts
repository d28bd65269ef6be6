/** Calls that were answered lately, as far as this VM knows. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {isOfAnyCaller, keysOf} from './fingerprint-keys.ts';

/** Bounded, since callers determine the fingerprints. */
const maxFingerprints = 4096;

/** An answer also clears a call of crashes up to this much later: other VMs may report them later than they happened. */
const clearedAfterMilliseconds: Milliseconds = 1000;

/** A call that was answered, and when it was answered last, as far as this VM knows. */
export type AnsweredCall = {readonly fingerprint: string; readonly answeredAt: Instant};

export class AnsweredCalls {
	private readonly _answeredAt = new Map<string, Instant>();

	/** @param key a fingerprint, or the key of a call of any caller that is known to be harmless */
	add(key: string, answeredAt: Instant): void {
		const previous = this._answeredAt.get(key) ?? -Infinity;
		// The map keeps the order of insertion, so the first entry was answered longest ago.
		this._answeredAt.delete(key);
		this._answeredAt.set(key, Math.max(previous, answeredAt));
		if (this._answeredAt.size > maxFingerprints) {
			this._answeredAt.delete(this._answeredAt.keys().next().value!);
		}
	}

	has(key: string): boolean {
		return this._answeredAt.has(key);
	}

	/** When the call was last answered; undefined = not lately. */
	answeredAt(key: string): Instant | undefined {
		return this._answeredAt.get(key);
	}

	/** The answered calls of single callers that are the same call of any caller, latest last. */
	sameCalls(anyCallerKey: string): AnsweredCall[] {
		return Array.from(this._answeredAt, ([fingerprint, answeredAt]) => ({fingerprint, answeredAt}))
			.filter(({fingerprint}) => !isOfAnyCaller(fingerprint) && keysOf(fingerprint).includes(anyCallerKey));
	}

	/** Whether an answer shows that the call did not cause a crash at `crashedAt`. */
	clears(key: string, crashedAt: Instant): boolean {
		return crashedAt <= (this._answeredAt.get(key) ?? -Infinity) + clearedAfterMilliseconds;
	}
}
