/** Thresholds of load and work time from which a backend server counts as slowed down. */

/** Fraction of its slots, including one more call, up to which a backend server is not slowed down by its own load. */
export const lightLoadFraction = 0.8;

/**
 * Work time relative to the usual one from which a backend server counts as slowed down by neighbours: twice what random
 * spread alone explains.
 */
export const slowWorkTimeFactor = 1.6;
