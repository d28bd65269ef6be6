/** Units of time and chance that decisions are handed from outside. */

/** Milliseconds on a monotonic clock that starts anywhere; fractions allowed. Never wall-clock time. */
export type Instant = number;

/** A span in milliseconds. */
export type Milliseconds = number;

/** A source of random numbers in [0, 1): seeded, so that a run can be repeated. */
export type RandomSource = {
	next(): number;
};
