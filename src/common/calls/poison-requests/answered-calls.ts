/** Calls that were answered lately, as far as this VM knows. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {isOfAnyCaller, keysOf} from './fingerprint-keys.ts';

/** Bounded, since callers determine the fingerprints. */
const maxFingerprints = 4096;

/** An answer also clears a call of crashes up to this much later: other VMs may report them later than they happened. */
const clearedAfterMilliseconds: Milliseconds = 1000;

/** A call that was answered, and when as far as this VM knows. */
export type AnsweredCall = {readonly fingerprint: string; readonly firstAnsweredAt: Instant; readonly answeredAt: Instant};

export class AnsweredCalls {
	private readonly _calls = new Map<string, AnsweredCall>();

	/** @param key a fingerprint, or the key of a call of any caller that is known to be harmless */
	add(key: string, answeredAt: Instant): void {
		const {firstAnsweredAt = Infinity, answeredAt: previous = -Infinity} = this._calls.get(key) ?? {};
		// The map keeps the order of insertion, so the first entry was answered longest ago.
		this._calls.delete(key);
		this._calls.set(key, {fingerprint: key, firstAnsweredAt: Math.min(firstAnsweredAt, answeredAt), answeredAt: Math.max(previous, answeredAt)});
		if (this._calls.size > maxFingerprints) {
			this._calls.delete(this._calls.keys().next().value!);
		}
	}

	has(key: string): boolean {
		return this._calls.has(key);
	}

	/** When the call was last answered; undefined = not lately. */
	answeredAt(key: string): Instant | undefined {
		return this._calls.get(key)?.answeredAt;
	}

	/** The answered calls of single callers that are the same call of any caller, latest last. */
	sameCalls(anyCallerKey: string): AnsweredCall[] {
		return [...this._calls.values()].filter(({fingerprint}) => !isOfAnyCaller(fingerprint) && keysOf(fingerprint).includes(anyCallerKey));
	}

	/** Whether an answer shows that the call did not cause a crash at `crashedAt`. */
	clears(key: string, crashedAt: Instant): boolean {
		return crashedAt <= (this.answeredAt(key) ?? -Infinity) + clearedAfterMilliseconds;
	}
}
