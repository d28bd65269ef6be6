/** Decides which calls crash backend servers, from the calls that were in flight at each crash. */

import {isOfAnyCaller} from './fingerprint-keys.ts';

/** Result: each harmful key with the number of its crashes. */
export type Verdicts = ReadonlyMap<string, number>;

/**
 * Finds the fewest calls that explain the crashes: the call that was in flight at most of them is at fault, its crashes
 * say nothing about other calls, and so on, down to `minCrashes`. Two calls that were in flight at the same crashes cannot
 * be told apart, and neither is at fault until another crash decides; of a call of one caller and the same call of any caller
 * it is the former. The result does not depend on the order of the
 * crashes or of their suspects, so that VMs with the same evidence agree.
 */
export function findHarmful(crashes: ReadonlyArray<ReadonlySet<string>>, minCrashes: number): Verdicts {
	const verdicts = new Map<string, number>();
	let unexplained = [...crashes];
	const undecidable = new Set<string>();
	for (;;) {
		const [worst] = countSuspects(unexplained, undecidable);
		if (worst === undefined || worst.count < minCrashes) {
			return verdicts;
		}

		const own = unexplained.filter(suspects => suspects.has(worst.fingerprint));
		const alike = [...own[0]!].filter(fingerprint => !undecidable.has(fingerprint) && own.every(suspects => suspects.has(fingerprint)));
		const specific = alike.filter(key => !isOfAnyCaller(key));
		const [harmful = worst.fingerprint] = specific;
		if (specific.length > 1 || (specific.length === 0 && alike.length > 1)) {
			for (const fingerprint of alike) {
				undecidable.add(fingerprint);
			}
		} else {
			verdicts.set(harmful, worst.count);
			unexplained = unexplained.filter(suspects => !suspects.has(harmful));
		}
	}
}

/** Suspects with the number of their crashes, most first; those with the same number by name. */
function countSuspects(crashes: ReadonlyArray<ReadonlySet<string>>, excluded: ReadonlySet<string>): Array<{readonly fingerprint: string; readonly count: number}> {
	const counts = new Map<string, number>();
	for (const suspects of crashes) {
		for (const fingerprint of suspects) {
			if (!excluded.has(fingerprint)) {
				counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
			}
		}
	}

	return Array.from(counts, ([fingerprint, count]) => ({fingerprint, count})).toSorted((one, other) => other.count - one.count || (one.fingerprint < other.fingerprint ? -1 : 1));
}
