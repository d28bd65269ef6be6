/**
 * Position in the history of the store. A store that is restored from a backup starts a new era: its revision goes back,
 * and revisions are assigned again. Revisions are therefore only comparable within an era, and are not used outside the
 * clients that translate them.
 */

/** Incremented each time the store is restored from a backup; 0 if the store does not report it. */
export type StoreEra = number;

/**
 * Era and revision as one number, which orders like the pair. As the position of a key, 0 means that the key does not
 * exist.
 */
export type StorePosition = number;

/** Exceeds any revision. Eras up to 2 ** 21 remain exact. */
const revisionsPerEra = 2 ** 32;

export function storePosition(era: StoreEra, revision: number): StorePosition {
	return (era * revisionsPerEra) + revision;
}

export function eraOf(position: StorePosition): StoreEra {
	return Math.floor(position / revisionsPerEra);
}

/** The revision within the position's era, as the store expects it in requests. */
export function revisionOf(position: StorePosition): number {
	return position % revisionsPerEra;
}

export function isLater(one: StorePosition, other: StorePosition): boolean {
	return one > other;
}

/** Whether a restore of the store lies between the first position and the second. */
export function precedesRestore(one: StorePosition, other: StorePosition): boolean {
	return eraOf(one) < eraOf(other);
}

export function latest(one: StorePosition, other: StorePosition): StorePosition {
	return Math.max(one, other);
}

/** `ERA/REVISION`, for log lines. */
export function formatPosition(position: StorePosition): string {
	return `${eraOf(position)}/${revisionOf(position)}`;
}
