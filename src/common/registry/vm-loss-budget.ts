/** Time budget from the loss of a VM until no VM names it to callers, as the sum of its parts. */
import {type Milliseconds} from '../model/units.ts';

/**
 * Default term of the lease under which a registrar keeps its own entry and those of its followers. It limits how long
 * these entries remain if the registrar is lost together with the VMs that could remove them.
 */
export const defaultLeaseMilliseconds: Milliseconds = 2500;

/** Default interval of the heartbeats that a VM sends to its registrar. */
export const defaultMemberHeartbeatMilliseconds: Milliseconds = 1000;

/** Heartbeat intervals without a heartbeat after which a registrar probes a follower. */
export const silentHeartbeats = 2.5;

/** A VM that does not respond to a probe within this time counts as lost. */
export const vmProbeTimeoutMilliseconds: Milliseconds = 500;

/** Time for the store's reply or for the delivery of a feed frame, on a slow VM. */
const transferMilliseconds: Milliseconds = 200;

/** Configurable parts of the budget. */
export type LossTimings = {
	readonly leaseMilliseconds: Milliseconds;
	readonly memberHeartbeatMilliseconds: Milliseconds;
	readonly watchPauseMilliseconds: Milliseconds;
};

/**
 * Longest time for which any VM names a lost VM while the store is available. First the entry of the lost VM is
 * removed: that of a registrar ends with its lease, and that of a follower is removed by its registrar after a probe.
 * Readers of the store see the removal with their next watch and probe the VM as well.
 */
export function maxLossDetectionMilliseconds({leaseMilliseconds, memberHeartbeatMilliseconds, watchPauseMilliseconds}: LossTimings): Milliseconds {
	const detectionMilliseconds = Math.max(leaseMilliseconds, (silentHeartbeats * memberHeartbeatMilliseconds) + vmProbeTimeoutMilliseconds);
	return detectionMilliseconds + watchPauseMilliseconds + vmProbeTimeoutMilliseconds + (2 * transferMilliseconds);
}
