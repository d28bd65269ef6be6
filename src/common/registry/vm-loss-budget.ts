/** The time from the loss of a VM until no VM names it to callers, as the sum of its parts. */
import {type Milliseconds} from '../model/units.ts';

/**
 * Term of the lease under which a registrar keeps its own entry and those of its followers. It bounds for how long entries
 * outlive a registrar that is lost together with the VMs that could tell.
 */
export const usualLeaseMilliseconds: Milliseconds = 2500;

/** A VM whose entry another one keeps says this often that it lives. */
export const memberHeartbeatMilliseconds: Milliseconds = 1000;

/** Heartbeats without which a registrar asks a follower directly. */
export const silentHeartbeats = 2.5;

/** A VM that does not respond to a probe for this long is taken for lost. */
export const vmProbeTimeoutMilliseconds: Milliseconds = 500;

/** The store's response and the way of a frame of the feed, each on a slow VM. */
const transferMilliseconds: Milliseconds = 200;

/** Parts of the budget that an operator may set. */
export type LossTimings = {
	readonly leaseMilliseconds: Milliseconds;
	readonly memberBeatMilliseconds: Milliseconds;
	readonly watchPauseMilliseconds: Milliseconds;
};

/**
 * Longest time for which any VM names a lost one while the store serves. Readers of the store poll, and probe a VM whose entry
 * has disappeared. Before that the entry of a registrar ends with its lease; that of a follower is removed by its
 * registrar, which probes it as well.
 */
export function longestNamedMilliseconds({leaseMilliseconds, memberBeatMilliseconds, watchPauseMilliseconds}: LossTimings): Milliseconds {
	const detected = Math.max(leaseMilliseconds, (silentHeartbeats * memberBeatMilliseconds) + vmProbeTimeoutMilliseconds);
	return detected + watchPauseMilliseconds + vmProbeTimeoutMilliseconds + (2 * transferMilliseconds);
}
