/**
 * Placement for on-demand probing: selects the backend servers to probe, and among those with a report the one with the
 * highest expected utility.
 */
import {type Instant, type Milliseconds, type RandomSource} from '../../model/units.ts';
import {type LoadSnapshot} from '../estimates/answer-time-model.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {
	type AttemptPurpose, type Call, objectiveOf, workEstimate,
} from '../call.ts';
import {type EngineContext, vmCountOf} from '../engine-context.ts';
import {lightLoadFraction} from '../estimates/load-levels.ts';
import {type PlacingChoice, type PlacingGrounds} from '../types.ts';
import {
	acceptableChoices, BestServer, isWaitOver, minOnTimeProbability, minOnTimeProbabilityAfterWait, minOnTimeProbabilityWithoutReports,
} from './placing-rules.ts';
import {
	type Placement, type Placer, connectionLimit, isRateLimited, isThrottled, isThrottledByWarmUp,
} from './placer.ts';

/**
 * Width of the random jitter on candidate scores, so that VMs with similar data do not all probe the same few backend
 * servers.
 */
const scoreJitter = 0.6;

/**
 * Maximum number of backend servers that are scored for an attempt, drawn at random: several times the number of those
 * probed. Scoring hundreds costs a VM of a large fleet more than all other work for a call, and hardly finds better ones.
 */
const maxScoredServers = 24;

/** The subset is not used for a round of probes if fewer of its backend servers can be probed. */
const minSubsetCandidates = 2;

/**
 * Number of consecutive load probes without a report after which a backend server counts as silent and is probed by few
 * calls only.
 */
const unansweredProbesUntilSilent = 2;

/** One in this many calls probes a silent backend server again: enough to notice its return within a second. */
const callsPerSilentProbe = 6;

/** Factor on the acceptance rate of a silent backend server: it is chosen only where all others are silent too. */
const silentAcceptanceFactor = 0.05;

/**
 * Calls that a backend server may have beyond its slots. Several VMs may choose it within the same millisecond. When its
 * own queue overflows, it stops answering on the connection for good, so this bound stays far below the queue's size.
 */
const maxCallsBeyondSlots = 2;

/**
 * Fraction of its slots up to which a backend server may be used for calls that are late anyway; the rest is left to
 * calls that can still be in time.
 */
const idleSlotFraction = 0.5;

/** Age up to which a report counts as fresh: most neighbours that it reflects are still active. */
const freshReportMilliseconds = 150;

/**
 * Interval at which a backend server is probed although this VM's share of its rate limit is spent, if its load probes
 * report the limit: the response shows when the limit ends.
 */
const limitConfirmationMilliseconds: Milliseconds = 1000;

/**
 * Backend servers where a new call's probability of an answer in time is below this value are used for late calls only.
 */
const slowServerProbability = 0.35;

/**
 * Probability of an answer before the deadline below which a late call is refused at once, while few backend servers have
 * room.
 */
const minLateProbability = 0.93;

/**
 * The same while most backend servers have room, so that a late call takes nothing from others. Below this probability an
 * immediate refusal, which states that nothing has run, is of more use to the caller than an answer that will hardly
 * come.
 */
const minLateProbabilityWithRoom = 0.5;

/** Bytes of a call and its answer besides the bodies: heads, and the cost of connections. */
const headBytes = 700;

const kilobyte = 1024;

/** Expected result of an attempt on one backend server. */
type ExpectedOutcome = {
	/**
	 * Probabilities of an answer within the objective and before the deadline. Both are relative to the backend server with
	 * the best acceptance rate: where all fail alike, none is ruled out.
	 */
	readonly withinObjective: number;
	readonly beforeDeadline: number;
	/** Expected value of the answer less what the attempt costs others; an answer in time has the value 1. */
	readonly utility: number;
};

/**
 * Places attempts on backend servers that slow down as they fill up, by load reports that were fetched for the attempt or
 * are as recent. An attempt goes to the backend server with the highest utility: the value of its probable answer less
 * the cost of its bytes and of the slot time that it takes from other calls. A call waits a short time for a backend
 * server that is likely to answer in time. Free slots come first, since a call that is queued at a backend server cannot
 * be moved any more; queueing there is allowed only after the wait. A call that can no longer be answered in time must
 * not take a fast slot from one that can: it goes to a backend server that is too slow for new calls, else to one that is
 * at most half full, or is refused.
 */
export class DemandPlacer implements Placer {
	private readonly _context: EngineContext;

	constructor(context: EngineContext) {
		this._context = context;
	}

	/**
	 * Backend servers to probe for an attempt of this call, without those in `probed`: the best scored of the VM's subset of
	 * the local data centre, of all local ones if `isWide` or the subset has too few left, or of all if none of those is
	 * left. Probes of other data centres are charged by the byte, so none is sent in later rounds while a local backend
	 * server has a free slot.
	 */
	candidates(call: Call, now: Instant, probed: ReadonlySet<BackendServerState>, isWide = false): BackendServerState[] {
		const isSelectable = (server: BackendServerState) => !probed.has(server) && this._isCandidate(server, call, now) && !this._isProbeSkipped(server);
		const {serviceState} = call;
		const {random, settings: {dataCentre}} = this._context;
		const count = serviceState.headroom.probeCount(this._context.tuning.maxProbeCandidates);
		const localServers = serviceState.serversIn(dataCentre);
		const subset = isWide ? undefined : serviceState.subset?.select(localServers, this._context.shares?.members, dataCentre, now);
		let selectable = subset === undefined ? [] : sample([...subset], maxScoredServers, isSelectable, random);
		const isInSubset = selectable.length >= Math.min(count, minSubsetCandidates);
		if (!isInSubset) {
			selectable = sample(localServers, maxScoredServers, isSelectable, random);
		}

		if (selectable.length === 0 && (probed.size === 0 || !this.hasFreeServer(call, now))) {
			selectable = sample(serviceState.servers, maxScoredServers, isSelectable, random);
		}

		const scored = selectable.map(server => ({
			server, score: this._expectedOutcome(server, call, now, 1).utility + ((this._context.random.next() - 0.5) * scoreJitter),
		}));
		scored.sort((one, other) => other.score - one.score);
		// A token of a rate limit soon expires, and a random choice among many backend servers would rarely use it.
		const granted = serviceState.limitedServers.size === 0 ? [] : [...serviceState.limitedServers].filter(server => isSelectable(server)).slice(0, 1);
		const chosen = [...new Set([...granted, ...scored.map(({server}) => server)])].slice(0, count);
		if (isInSubset || probed.size === 0) {
			serviceState.subset?.recordUses(chosen.length, now);
		}

		return chosen;
	}

	/**
	 * Whether fresh reports show a backend server with a free slot that is likely enough to answer in time. Then the subset
	 * has capacity, and no backend server outside it is probed.
	 */
	hasFreeServer(call: Call, now: Instant): boolean {
		return this._hasServer(call, now, hasFreeSlot);
	}

	/**
	 * Number of VMs among which the load probes of a backend server are divided. Where VMs have subsets, half of them is for
	 * the VMs that have it in their subset and probe it often, the other half for all.
	 */
	probingVms({serviceState: {subset}}: Call, server: BackendServerState): number {
		const vmCount = vmCountOf(this._context);
		const isIncluded = subset?.includes(server);
		if (subset === undefined || isIncluded === undefined) {
			return vmCount;
		}

		const localVms = this._context.shares?.members?.byDataCentre.get(this._context.settings.dataCentre)?.length ?? vmCount;
		return isIncluded ? Math.min(vmCount, 2 * Math.max(1, localVms * subset.fraction)) : 2 * vmCount;
	}

	/**
	 * Whether fresh reports already show a lightly loaded backend server that is likely enough to answer in time, so that
	 * more probes would have no effect.
	 */
	hasSuitableServer(call: Call, now: Instant): boolean {
		return this._hasServer(call, now, isLightlyLoaded);
	}

	place(call: Call, now: Instant, purpose: AttemptPurpose = 'first'): Placement | undefined {
		const canWait = purpose === 'hedge' || (purpose === 'first' && !isWaitOver(call, now));
		const best = this._bestServers(call, now, canWait ? minOnTimeProbability : minOnTimeProbabilityAfterWait);
		const choice = acceptableChoices(call, canWait, purpose === 'first').find(one => best[one].server !== undefined);
		// The log shows `able` for calls that are refused; counting costs as much as the rest where there are hundreds.
		call.grounds = {...best.grounds, ...(choice === undefined ? {able: this._countEligible(call, now)} : {}), choice: choice ?? 'none'};
		return choice === undefined ? undefined : {server: best[choice].server!, isTrial: false};
	}

	/** Records the state of the service's backend servers for a call that is refused without a search for one. */
	recordGrounds(call: Call, now: Instant): void {
		call.grounds = {...this._bestServers(call, now, minOnTimeProbabilityAfterWait).grounds, able: this._countEligible(call, now), choice: 'none'};
	}

	/** Load of a backend server with one more call, as input for the answer time model. */
	loadSnapshot(server: BackendServerState, now: Instant): LoadSnapshot {
		return {
			load: server.reportedLoad + 1,
			slots: Math.max(1, server.slotsAt(now)),
			workTimeFactor: server.report?.workTimeFactor,
			reportAge: now - server.reportedAt,
		};
	}

	private _hasServer(call: Call, now: Instant, hasRoom: (server: BackendServerState) => boolean): boolean {
		const {reportFreshMilliseconds, maxProbeWaitMilliseconds} = this._context.tuning;
		const {servers} = call.serviceState;
		const maxAge = reportFreshMilliseconds + maxProbeWaitMilliseconds;
		const candidates = servers.filter(server => now - server.reportedAt <= maxAge && hasRoom(server) && this._isEligible(server, call, now));
		if (candidates.length === 0) {
			return false;
		}

		const bestAcceptance = bestAcceptanceRate(servers, now);
		return candidates.some(server => this._expectedOutcome(server, call, now, bestAcceptance).withinObjective >= minOnTimeProbability);
	}

	/** The best backend server for each kind of placement, and the grounds to record. */
	private _bestServers(call: Call, now: Instant, requiredProbability: number): Record<Exclude<PlacingChoice, 'none'>, BestServer> & {readonly grounds: Omit<PlacingGrounds, 'choice'>} {
		const best = {
			free: new BestServer(), queued: new BestServer(), slow: new BestServer(), idle: new BestServer(),
		};
		let withFreeSlot = 0;
		let bestWithinObjective = 0;
		let bestBeforeDeadline = 0;
		const considered = this._consideredServers(call, now);
		const counts = this._countLimitedServers(call, now);
		const lateThreshold = call.serviceState.headroom.isPlentiful ? minLateProbabilityWithRoom : minLateProbability;
		const threshold = considered.hasFreshReports ? requiredProbability : minOnTimeProbabilityWithoutReports;
		const bestAcceptance = bestAcceptanceRate(considered.servers, now);
		for (const server of considered.servers) {
			const {slots} = server.declared;
			const load = server.reportedLoad + 1;
			const {withinObjective, beforeDeadline, utility} = this._expectedOutcome(server, call, now, bestAcceptance);
			withFreeSlot += load <= slots ? 1 : 0;
			bestWithinObjective = Math.max(bestWithinObjective, withinObjective);
			bestBeforeDeadline = Math.max(bestBeforeDeadline, beforeDeadline);
			if (withinObjective >= threshold) {
				(load <= slots ? best.free : best.queued).offer(server, utility);
			}

			if (beforeDeadline < lateThreshold || load > slots) {
				continue;
			}

			if (this._isSlowForNewCalls(server, call, now)) {
				best.slow.offer(server, utility);
			} else if (load <= idleSlotFraction * slots) {
				best.idle.offer(server, utility);
			}
		}

		return {
			...best,
			grounds: {
				known: call.serviceState.servers.length,
				...counts,
				able: considered.servers.length,
				weighed: considered.servers.length,
				withFreeSlot,
				inTime: bestWithinObjective,
				inTimeNeeded: threshold,
				atAll: bestBeforeDeadline,
				workMilliseconds: workEstimate(call),
				isWorkLearnt: call.class.hasWork,
				objectiveLeftMilliseconds: call.objectiveAt - now,
				timeLeftMilliseconds: call.deadline - now,
			},
		};
	}

	private _countLimitedServers(call: Call, now: Instant): Pick<PlacingGrounds, 'warmingUp' | 'rateLimited' | 'evacuated'> {
		let warmingUp = 0;
		let rateLimited = 0;
		let evacuated = 0;
		for (const server of call.serviceState.servers) {
			evacuated += server.isEvacuated ? 1 : 0;
			if (server.takesNewAttempts) {
				warmingUp += isThrottledByWarmUp(this._context, server, call, now) ? 1 : 0;
				rateLimited += isRateLimited(this._context, server, now) ? 1 : 0;
			}
		}

		return {warmingUp, rateLimited, evacuated};
	}

	/**
	 * Eligible backend servers with capacity and a fresh report. In a large fleet each VM probes a few of many backend
	 * servers, and an old report of the others would look better than the fresh reports of full ones. Where no report is
	 * fresh, since no probe was allowed or none was answered, all eligible ones are returned.
	 */
	private _consideredServers(call: Call, now: Instant): {readonly servers: readonly BackendServerState[]; readonly hasFreshReports: boolean} {
		const isEligible = (server: BackendServerState) => hasCapacity(server) && this._isEligible(server, call, now);
		// Few backend servers of a large service have a fresh report, so the time is compared first.
		const fresh = call.serviceState.servers.filter(server => now - server.reportedAt <= freshReportMilliseconds && isEligible(server));
		const hasFreshReports = fresh.length > 0;
		return {servers: hasFreshReports ? fresh : call.serviceState.servers.filter(server => isEligible(server)), hasFreshReports};
	}

	/** Number of eligible backend servers with capacity, whatever the age of their reports. */
	private _countEligible(call: Call, now: Instant): number {
		return call.serviceState.servers.filter(server => hasCapacity(server) && this._isEligible(server, call, now)).length;
	}

	/** Whether neighbours slow it down so much that a new call would hardly be answered there within its objective. */
	private _isSlowForNewCalls(server: BackendServerState, call: Call, now: Instant): boolean {
		return call.serviceState.answerTimes.probabilityWithin(workEstimate(call), {...this.loadSnapshot(server, now), load: 1}, objectiveOf(call)) < slowServerProbability;
	}

	/**
	 * Whether this call skips the probe. Most calls skip a silent backend server, so that its missing answers delay few of
	 * them.
	 */
	private _isProbeSkipped(server: BackendServerState): boolean {
		return server.unansweredProbes >= unansweredProbesUntilSilent && this._context.random.next() * callsPerSilentProbe >= 1;
	}

	/**
	 * Whether a report of the backend server is of use: it is eligible, or would be if the report showed that it is warm or
	 * that its rate limit has ended.
	 */
	private _isCandidate(server: BackendServerState, call: Call, now: Instant): boolean {
		return this._isEligible(server, call, now)
			|| (server.takesNewAttempts && (server.warmUp.isAssumed(now) || isLimitUnconfirmed(server, now)) && !call.failedServers.has(server));
	}

	private _isEligible(server: BackendServerState, call: Call, now: Instant): boolean {
		if (isThrottled(this._context, server, call, now)) {
			return false;
		}

		if (!server.takesNewAttempts || call.failedServers.has(server) || server.attempts.size >= connectionLimit(this._context, server.declared)) {
			return false;
		}

		// A call beside one that probably crashes the backend server would be lost. With one backend server there is no other.
		if (server.likelyHarmfulInFlight > 0 && call.serviceState.servers.length > 1) {
			return false;
		}

		return server.suspectsInFlight === 0 || !this._context.poisonRequests.isSuspect(call.request.fingerprint);
	}

	/** `bestAcceptance` = the highest acceptance rate among the candidates. */
	private _expectedOutcome(server: BackendServerState, call: Call, now: Instant, bestAcceptance: number): ExpectedOutcome {
		const {remoteRoundTripMilliseconds, lateAnswerValue, slotCost} = this._context.tuning;
		const {answerTimes} = call.serviceState;
		const work = workEstimate(call) * (server.warmUp.isUnderWay(now) ? call.serviceState.warmUpSlowness : 1);
		const loadSnapshot = this.loadSnapshot(server, now);
		const roundTrip: Milliseconds = this._isLocal(server) ? 0 : remoteRoundTripMilliseconds;
		const acceptance = acceptanceRate(server, now);
		const withinObjective = answerTimes.probabilityWithin(work, loadSnapshot, call.objectiveAt - now - roundTrip);
		const beforeDeadline = answerTimes.probabilityWithin(work, loadSnapshot, call.deadline - now - roundTrip);
		const slotPenalty = slotCost * answerTimes.mean(work, loadSnapshot) / Math.max(1, work);
		const relativeAcceptance = Math.min(1, acceptance / bestAcceptance);
		return {
			withinObjective: relativeAcceptance * withinObjective,
			beforeDeadline: relativeAcceptance * beforeDeadline,
			utility: (acceptance * (withinObjective + (lateAnswerValue * (beforeDeadline - withinObjective)))) - slotPenalty - this._transferCost(server, call),
		};
	}

	private _isLocal(server: BackendServerState): boolean {
		return server.declared.dataCentre === this._context.settings.dataCentre;
	}

	/** Cost of the bytes of a call to another data centre. */
	private _transferCost(server: BackendServerState, call: Call): number {
		return this._isLocal(server) ? 0 : this._context.tuning.remoteKilobyteCost * (call.class.answerBytesMean + headBytes) / kilobyte;
	}
}

/** Up to `limit` of the accepted items, drawn at random where there are more. */
function sample<Item>(items: readonly Item[], limit: number, isAccepted: (item: Item) => boolean, random: RandomSource): Item[] {
	if (items.length <= limit) {
		return items.filter(item => isAccepted(item));
	}

	const pool = [...items];
	const chosen: Item[] = [];
	for (let left = pool.length; left > 0 && chosen.length < limit; left--) {
		const index = Math.floor(random.next() * left);
		const item = pool[index]!;
		pool[index] = pool[left - 1]!;
		if (isAccepted(item)) {
			chosen.push(item);
		}
	}

	return chosen;
}

/** Whether the backend server's load probes report its rate limit and the last report is old. */
function isLimitUnconfirmed({rateLimit, reportedAt}: BackendServerState, now: Instant): boolean {
	return rateLimit.isAnnouncedByProbes && now - reportedAt > limitConfirmationMilliseconds;
}

/** Whether the reported load leaves room. A backend server without reports is bounded by its connections. */
function hasCapacity(server: BackendServerState): boolean {
	return server.report === undefined || server.reportedLoad < server.declared.slots + maxCallsBeyondSlots;
}

/** Fraction of its attempts that a backend server is expected to accept and to answer. */
function acceptanceRate(server: BackendServerState, now: Instant): number {
	return (1 - server.failureRateAt(now)) * (1 - server.shedRateAt(now)) * (server.unansweredProbes >= unansweredProbesUntilSilent ? silentAcceptanceFactor : 1);
}

/** Highest acceptance rate of these backend servers; above 0, since it is used as a divisor. */
function bestAcceptanceRate(servers: readonly BackendServerState[], now: Instant): number {
	let best = 0.01;
	for (const server of servers) {
		best = Math.max(best, server.takesNewAttempts ? acceptanceRate(server, now) : 0);
	}

	return best;
}

function hasFreeSlot(server: BackendServerState): boolean {
	return server.reportedLoad + 1 <= server.declared.slots;
}

/** Whether one more call would not be slowed down by the calls already there. */
function isLightlyLoaded(server: BackendServerState): boolean {
	return server.reportedLoad + 1 <= lightLoadFraction * server.declared.slots;
}
