/**
 * Tuning constants of the placement decisions that no resource declares. Each comment names the load that the constant is
 * made for and the reason for its limit. docs/design/placing.md has the figures with and without each mechanism.
 */
import {type Milliseconds} from '../model/units.ts';

/**
 * Tuning constants of one engine. A benchmark sets single ones to a neutral value to measure what a mechanism
 * contributes.
 */
export type CallTuning = {
	/**
	 * Time constant with which a backend server's measured slowness decays while no new answers arrive. A longer one keeps
	 * calls away from a server that has recovered; a shorter one sends more calls to a server that is still slow.
	 */
	readonly slownessDecayMilliseconds: Milliseconds;
	/** Time constant with which the failure and shed rates of a backend server decay. */
	readonly failureDecayMilliseconds: Milliseconds;
	/**
	 * Weight of the failure rate in the expected time of a backend server: if all its calls fail, the time is multiplied by
	 * 1 plus this value, so that fast failures do not attract calls.
	 */
	readonly failurePenalty: number;
	/**
	 * Time constant with which a load report decays, in mean answer times: by then the calls that it counted have left. 0 =
	 * reports are ignored.
	 */
	readonly reportLifetimeFactor: number;
	/**
	 * Weight with which this VM's own calls in flight are extrapolated to the other VMs, which place by similar reports and
	 * so choose alike. 0 = not at all, 1 = every other VM has sent as many calls.
	 */
	readonly ownCallExtrapolation: number;
	/** An attempt without an answer after this many mean answer times counts as a sign that its backend server is slow. */
	readonly overdueFactor: number;
	/** Least cost of a call to another data centre: the network round trip. */
	readonly remoteRoundTripMilliseconds: Milliseconds;
	/**
	 * On-demand probing: cost of a kilobyte to or from another data centre, as a fraction of the value of an answer in
	 * time. The three customers pay 0.005 to 0.017. An answer of 5 KB goes there only if that raises its probability of
	 * being in time by a twentieth, one of 90 KB only if the local backend servers hardly answer at all.
	 */
	readonly remoteKilobyteCost: number;
	/** Value of an answer after its objective, relative to one in time: users also count whether they are served at all. */
	readonly lateAnswerValue: number;
	/**
	 * Cost of occupying a slot for the usual work time of a call, relative to an answer in time. Beyond the capacity of the
	 * model (`npm run bench -- demand --only over`), 0.204 of the calls were late without this cost and 0.189 with it.
	 */
	readonly slotCost: number;
	/** Extra cost of a remote backend server while local load is low, as a fraction of the mean answer time. */
	readonly remotePenaltyFraction: number;
	/**
	 * Time after which a new or returned backend server gets its full share of calls, since its caches are cold. 0 = at
	 * once.
	 */
	readonly warmingMilliseconds: Milliseconds;
	/**
	 * Fraction of its slots that a new backend server is assumed to have at first; with none it would get no calls and
	 * never warm up.
	 */
	readonly warmingStartFraction: number;
	/**
	 * Length of the first ejection of a backend server that fails or has stopped answering. It doubles with each failed
	 * probe.
	 */
	readonly baseEjectionMilliseconds: Milliseconds;
	/** Upper bound of an ejection: an ejected backend server is probed at least this often. */
	readonly maxEjectionMilliseconds: Milliseconds;
	/** Largest fraction of a service's backend servers that may be ejected at once; the others have to carry the load. */
	readonly maxEjectedFraction: number;
	/**
	 * Fraction of failing calls of a service above which the cause is taken to be common to all its backend servers, so
	 * that none is ejected.
	 */
	readonly commonFailureFraction: number;
	/** Quantile of the answer time after which an idempotent read is hedged. 1 = never. */
	readonly hedgeQuantile: number;
	/**
	 * Minimum delay of a hedge. A cancelled attempt costs its connection, and a new one takes about 1 ms; below some
	 * milliseconds the delay is as likely caused by this VM's own event loop, and hedges would add to it.
	 */
	readonly minHedgeDelayMilliseconds: Milliseconds;
	/** Target of the concurrency limit: calls queued at the backend servers for each slot. Infinity = no limit. */
	readonly targetQueuedPerSlot: number;
	/** Factor on the target queue length for each step of a service's priority. 1 = priorities have no effect. */
	readonly priorityFactor: number;
	/** A queue that has not been empty for this long is no burst: from then on only short waits are accepted. */
	readonly standingQueueMilliseconds: Milliseconds;
	/** Fraction of its remaining time that a call may wait in a standing queue. */
	readonly standingQueueWaitFraction: number;
	/** Maximum number of call classes of one service whose cost is learnt separately. 0 = one class for all calls. */
	readonly maxCallClasses: number;
	/** Whether queued calls are taken round-robin by caller; false = in order of arrival. */
	readonly isFairQueue: boolean;
	/**
	 * On-demand probing: maximum number of backend servers probed before an attempt. Where neighbours slow a third of
	 * them down, four probes leave one call in 67 without a fast backend server (0.35 to the fourth power); a fifth probe
	 * would cost a quarter more for one call in 190.
	 */
	readonly maxProbeCandidates: number;
	/**
	 * Age up to which a load report is used without a new probe: neighbours change at intervals of a few hundred
	 * milliseconds.
	 */
	readonly reportFreshMilliseconds: Milliseconds;
	/** Maximum wait for load reports. A round trip to another data centre takes 3 ms, and a busy event loop adds some. */
	readonly maxProbeWaitMilliseconds: Milliseconds;
	/** How long a fingerprint stays suspected or quarantined: a repaired backend server must get such calls again. */
	readonly suspicionMilliseconds: Milliseconds;
};

/** Default tuning. The benchmark `policy` compares it with neutral values of single constants. */
export const defaultTuning: CallTuning = {
	slownessDecayMilliseconds: 1500,
	failureDecayMilliseconds: 3000,
	failurePenalty: 30,
	reportLifetimeFactor: 1,
	ownCallExtrapolation: 0.25,
	overdueFactor: 1.5,
	remoteRoundTripMilliseconds: 2,
	remoteKilobyteCost: 0.01,
	lateAnswerValue: 0.3,
	slotCost: 0.05,
	remotePenaltyFraction: 0.3,
	warmingMilliseconds: 2000,
	warmingStartFraction: 0.1,
	baseEjectionMilliseconds: 1000,
	maxEjectionMilliseconds: 30_000,
	maxEjectedFraction: 0.3,
	commonFailureFraction: 0.5,
	hedgeQuantile: 0.95,
	minHedgeDelayMilliseconds: 10,
	targetQueuedPerSlot: 0.4,
	priorityFactor: 1.4,
	standingQueueMilliseconds: 400,
	standingQueueWaitFraction: 0.25,
	maxCallClasses: 32,
	isFairQueue: true,
	maxProbeCandidates: 4,
	reportFreshMilliseconds: 40,
	maxProbeWaitMilliseconds: 15,
	suspicionMilliseconds: 600_000,
};
