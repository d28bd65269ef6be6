/** Decides which calls crash backend servers, from the calls that were in flight at each crash. */
import {isOfAnyCaller, keysOf} from './fingerprint-keys.ts';

/** Numbers of the crashes at which a key was in flight. */
type CrashNumbers = ReadonlySet<number>;

/** Number of crashes of a call that is at fault: of one caller, and of any caller. */
export type MinCrashes = {readonly own: number; readonly common: number};

/**
 * Compares the crashes of all suspects. The results do not depend on the order of the crashes or of their suspects, so that
 * VMs with the same evidence agree.
 */
export class PoisonVerdicts {
	private readonly _crashes: ReadonlyArray<ReadonlySet<string>>;
	private readonly _minCrashes: MinCrashes;
	private readonly _crashesByKey = new Map<string, Set<number>>();

	/** `crashes` = keys that were in flight at each. */
	constructor(crashes: ReadonlyArray<ReadonlySet<string>>, minCrashes: MinCrashes) {
		this._crashes = crashes;
		this._minCrashes = minCrashes;
		for (const [number, suspects] of crashes.entries()) {
			for (const key of suspects) {
				const numbers = this._crashesByKey.get(key) ?? new Set();
				numbers.add(number);
				this._crashesByKey.set(key, numbers);
			}
		}
	}

	/** Keys at fault, with the number of their crashes. */
	harmful(): Map<string, number> {
		const harmful = [...this._crashesByKey].filter(([key, own]) => own.size >= this._minCrashesOf(key) && !this._isCovered(key, own, false) && this._unexplained(key, own) >= this._minCrashesOf(key));
		return new Map(harmful.map(([key, own]) => [key, own.size]));
	}

	/** Whether another call was in flight at all crashes of this one, and at more. */
	isSuperseded(key: string): boolean {
		const own = this._crashesByKey.get(key);
		return own !== undefined && this._isCovered(key, own, true);
	}

	/**
	 * Whether another call was in flight at all crashes of this one. Two calls with the same crashes cannot be told apart, so
	 * that each covers the other, unless `isStrict`; but a call of any caller never covers one of a caller by the same crashes.
	 */
	private _isCovered(key: string, own: CrashNumbers, isStrict: boolean): boolean {
		return this._companions(own).some(other => {
			const isLarger = this._crashesByKey.get(other)!.size > own.size;
			return other !== key && (isLarger || (!isStrict && !isCommonKeyOf(other, key)));
		});
	}

	private _minCrashesOf(key: string): number {
		return isOfAnyCaller(key) ? this._minCrashes.common : this._minCrashes.own;
	}

	/** Keys that were in flight at all of these crashes. */
	private _companions(numbers: CrashNumbers): string[] {
		const [first, ...others] = numbers;
		return first === undefined ? [] : [...this._crashes[first]!].filter(key => others.every(number => this._crashes[number]!.has(key)));
	}

	/** Number of crashes that no other call explains, which by itself, without the crashes of this one, is at fault. */
	private _unexplained(key: string, own: CrashNumbers): number {
		const isOther = (other: string) => other !== key && !isCommonKeyOf(other, key) && !isCommonKeyOf(key, other);
		const explainsOthers = (other: string) => [...this._crashesByKey.get(other)!].filter(number => !own.has(number)).length >= this._minCrashesOf(other);
		return [...own].filter(number => ![...this._crashes[number]!].some(other => isOther(other) && explainsOthers(other))).length;
	}
}

/** Whether the first key stands for the same call as the second one, of any caller. */
function isCommonKeyOf(common: string, key: string): boolean {
	return isOfAnyCaller(common) && common !== key && keysOf(key).includes(common);
}
