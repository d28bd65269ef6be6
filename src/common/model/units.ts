/** Types for the time and random numbers that are passed into the engines. */

/** Milliseconds on a monotonic clock with an arbitrary origin; may be fractional. Never wall-clock time. */
export type Instant = number;

/** A duration in milliseconds. */
export type Milliseconds = number;

/** A seeded source of random numbers in [0, 1); the seed makes a run reproducible. */
export type RandomSource = {
	next(): number;
};
