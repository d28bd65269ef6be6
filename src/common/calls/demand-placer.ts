/** Chooses candidates to measure, and among them the backend server where an attempt is worth most. */
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {type Prospect} from './answer-time-model.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {
	type AttemptPurpose, type Call, objectiveOf, workEstimate,
} from './call.ts';
import {type EngineContext} from './engine-context.ts';
import {roomyPart} from './load-levels.ts';
import {
	type Placement, type Placer, connectionLimit, isRateLimited, isSpared, isSparedForWarmUp,
} from './placer.ts';
import {type PlacingChoice, type PlacingGrounds} from './types.ts';

/** Spread of chance over expected worths, so that VMs with like knowledge do not all ask the same few. */
const scoreJitter = 0.6;

/**
 * Backend servers that are scored for an attempt, drawn at random: several times those that are probed. Scoring hundreds
 * costs a VM of a large fleet more than all else that it does for a call, and finds hardly better ones.
 */
const maxScoredServers = 24;

/** Measuring calls in a row without a report after which a backend server is asked only in the background. */
const unansweredProbesUntilSilent = 2;

/** A silent backend server is asked again with one call in this many that come by: enough to see its return within a second. */
const callsPerSilentProbe = 6;

/** Part of the worth that is left where a backend server did not answer its measuring calls: it is taken where all are silent. */
const silentAcceptanceFactor = 0.05;

/**
 * Calls that one backend server may have beyond its slots. Several VMs may choose it within the same millisecond;
 * beyond its own queue it falls silent on the connection for good, so the guard stays far below that.
 */
const maxCallsBeyondSlots = 2;

/** Calls that are late anyway may use a backend server up to this part of its slots: fresh ones find the rest. */
const idleSlotFraction = 0.5;

/** A report this young tells of the present: most neighbours that it saw are still there. */
const freshReportMilliseconds = 150;

/**
 * A backend server whose load probes name its rate limit is probed this often though this VM may send it nothing, since its
 * response tells when the limit ends.
 */
const limitConfirmationMilliseconds: Milliseconds = 1000;

/**
 * Part of its objective for which a call waits for a backend server that will answer within it. Later a refusal would
 * leave its caller no time to come back within the objective.
 */
const maxWaitFraction = 0.25;

/** Chance of an answer in time below which a call that can still wait does so: the next look finds a better one as often. */
const minOnTimeProbability = 0.77;

/** The same for a call that has waited as long as makes sense: the alternative is a refusal. */
const minOnTimeProbabilityAfterWait = 0.72;

/** The same where nothing young is known of any backend server: waiting for better reports would have no effect. */
const minOnTimeProbabilityWithoutReports = 0.5;

/** A backend server where a fresh call has less than this chance is of use to late ones only. */
const slowServerProbability = 0.35;

/** Chance of an answer before the deadline below which a late call is refused where room is short: its caller learns at once. */
const minLateProbability = 0.93;

/**
 * The same where room is plentiful and a late call takes nothing from others. Below it a refusal, which says at once and
 * truly that nothing has run, is of more use to the caller than an answer that will hardly come.
 */
const minLateProbabilityWithRoom = 0.5;

/** Bytes of a call and its answer besides the body: heads, and what connections cost. */
const headBytes = 700;

const kilobyte = 1024;

/** Ways of placing a call that can still wait, and one that has waited as long as makes sense, in order of choice. */
const waitingChoices = ['free'] as const;
const finalChoices = ['free', 'queued', 'slow', 'idle'] as const;

/** What an attempt is expected to bring. */
type ExpectedOutcome = {
	/**
	 * Chance of an answer within the objective, and before the deadline, against the backend server that takes its
	 * attempts most reliably: where all fail alike, none is out of the question.
	 */
	readonly withinObjective: number;
	readonly beforeDeadline: number;
	/** Worth of the chances less what the attempt costs others; an answer in time is worth 1. */
	readonly utility: number;
};

/**
 * Places by reports that were fetched for the attempt, or are as young, where backend servers slow down when they are full:
 * an attempt goes where it is worth most, by the chances of its answer, the bytes of its way and the time for which it takes
 * a slot from others. A call waits for a moment for a place with a fair chance.
 * It takes free slots first, since a call that is queued at a backend server cannot be moved any more, and queues there
 * only after its wait. One that can no longer be answered in time must not take a quick place from one that can: it goes
 * to a slow backend server that is of no use to a fresh call, else to one that is half empty, or is refused.
 */
export class DemandPlacer implements Placer {
	private readonly _context: EngineContext;

	constructor(context: EngineContext) {
		this._context = context;
	}

	/**
	 * Backend servers to probe for an attempt of this call, but for those in `probed`: those of the own data
	 * centre, or where none of them is left the most promising of all. Probes of others are paid by the byte.
	 */
	candidates(call: Call, now: Instant, probed: ReadonlySet<BackendServerState>): BackendServerState[] {
		const isSelectable = (server: BackendServerState) => !probed.has(server) && this._isCandidate(server, call, now) && !this._isProbeSkipped(server);
		const {random, settings: {dataCentre}} = this._context;
		const localServers = sample(call.serviceState.serversIn(dataCentre), maxScoredServers, isSelectable, random);
		const scored = (localServers.length > 0 ? localServers : sample(call.serviceState.servers, maxScoredServers, isSelectable, random)).map(server => ({
			server, score: this._expectedOutcome(server, call, now, 1).utility + ((this._context.random.next() - 0.5) * scoreJitter),
		}));
		scored.sort((one, other) => other.score - one.score);
		return scored.slice(0, call.serviceState.headroom.probes(this._context.tuning.demandCandidates)).map(({server}) => server);
	}

	/** Whether a place is known by young reports that is as good as any: probing further backend servers would have no effect. */
	hasGoodPlace(call: Call, now: Instant): boolean {
		const {demandFreshMilliseconds, demandWaitMilliseconds} = this._context.tuning;
		const {servers} = call.serviceState;
		const bestAcceptance = bestAcceptanceRate(servers, now);
		return servers.some(server => this._isEligible(server, call, now) && now - server.reportedAt <= demandFreshMilliseconds + demandWaitMilliseconds
			&& isLightlyLoaded(server) && this._expectedOutcome(server, call, now, bestAcceptance).withinObjective >= minOnTimeProbability);
	}

	place(call: Call, now: Instant, purpose: AttemptPurpose = 'first'): Placement | undefined {
		const canWait = purpose === 'hedge' || (purpose === 'first' && !isImpatient(call, now));
		const best = this._bestServers(call, now, canWait ? minOnTimeProbability : minOnTimeProbabilityAfterWait);
		const choice = (canWait ? waitingChoices : finalChoices).find(one => best[one].server !== undefined);
		call.grounds = {...best.grounds, choice: choice ?? 'none'};
		return choice === undefined ? undefined : {server: best[choice].server!, isExperiment: false};
	}

	/** Records what is known of the service's backend servers, for a call that is refused without a look for a place. */
	noteGrounds(call: Call, now: Instant): void {
		call.grounds = {...this._bestServers(call, now, minOnTimeProbabilityAfterWait).grounds, choice: 'none'};
	}

	/** What is known of a backend server for one more call. */
	prospect(server: BackendServerState, now: Instant): Prospect {
		return {
			load: server.reportedLoad + 1,
			slots: Math.max(1, server.slotsAt(now)),
			workTimeFactor: server.report?.workTimeFactor,
			age: now - server.reportedAt,
		};
	}

	/** The best backend server for each way of placing the call, and what was seen. */
	private _bestServers(call: Call, now: Instant, requiredProbability: number): Record<Exclude<PlacingChoice, 'none'>, BestServer> & {readonly grounds: Omit<PlacingGrounds, 'choice'>} {
		const best = {
			free: new BestServer(), queued: new BestServer(), slow: new BestServer(), idle: new BestServer(),
		};
		let withFreeSlot = 0;
		let bestWithinObjective = 0;
		let bestBeforeDeadline = 0;
		const considered = this._consideredServers(call, now);
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
				warmingUp: call.serviceState.servers.filter(server => server.takesNewAttempts && isSparedForWarmUp(this._context, server, call, now)).length,
				rateLimited: call.serviceState.servers.filter(server => server.takesNewAttempts && isRateLimited(this._context, server, now)).length,
				evacuated: call.serviceState.servers.filter(server => server.isEvacuated).length,
				able: considered.eligible,
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

	/**
	 * Backend servers with room of which something young is known. Guards against placing blindly in a large fleet: each
	 * VM asks a few of its many backend servers, and an old report of the others looks better than the young ones of
	 * those that are full. Where no report is young, since none was allowed or none came, all count.
	 */
	private _consideredServers(call: Call, now: Instant): {readonly servers: readonly BackendServerState[]; readonly hasFreshReports: boolean; readonly eligible: number} {
		const eligible = call.serviceState.servers.filter(server => this._isEligible(server, call, now) && hasCapacity(server));
		const fresh = eligible.filter(server => now - server.reportedAt <= freshReportMilliseconds);
		const hasFreshReports = fresh.length > 0;
		return {servers: hasFreshReports ? fresh : eligible, hasFreshReports, eligible: eligible.length};
	}

	/** Its neighbours slow it down so much that a fresh call would hardly be answered there within its objective. */
	private _isSlowForNewCalls(server: BackendServerState, call: Call, now: Instant): boolean {
		return call.serviceState.answerTimes.chance(workEstimate(call), {...this.prospect(server, now), load: 1}, objectiveOf(call)) < slowServerProbability;
	}

	/** One that does not answer its measuring calls is asked by few calls only, so that its silence delays few. */
	private _isProbeSkipped(server: BackendServerState): boolean {
		return server.unansweredMeasurings >= unansweredProbesUntilSilent && this._context.random.next() * callsPerSilentProbe >= 1;
	}

	/** Whether a report of it would be of use: it may take the call, or would if it told that it is warm or that its limit is over. */
	private _isCandidate(server: BackendServerState, call: Call, now: Instant): boolean {
		return this._isEligible(server, call, now)
			|| (server.takesNewAttempts && (server.warmUp.isAssumed(now) || isLimitUnconfirmed(server, now)) && !call.failedOn.has(server));
	}

	private _isEligible(server: BackendServerState, call: Call, now: Instant): boolean {
		if (isSpared(this._context, server, call, now)) {
			return false;
		}

		if (!server.takesNewAttempts || call.failedOn.has(server) || server.attempts.size >= connectionLimit(this._context, server.declared)) {
			return false;
		}

		return server.suspectsInFlight === 0 || !this._context.suspects.isSuspect(call.request.fingerprint);
	}

	/** `reliable` = the part of its attempts that the most reliable of the candidates takes. */
	private _expectedOutcome(server: BackendServerState, call: Call, now: Instant, bestAcceptance: number): ExpectedOutcome {
		const {remoteMilliseconds, lateWorth, slotWorth} = this._context.tuning;
		const {answerTimes} = call.serviceState;
		const work = workEstimate(call) * (server.warmUp.isUnderWay(now) ? call.serviceState.warmUpSlowness : 1);
		const prospect = this.prospect(server, now);
		const roundTrip: Milliseconds = this._isLocal(server) ? 0 : remoteMilliseconds;
		const acceptance = acceptanceRate(server, now);
		const withinObjective = answerTimes.chance(work, prospect, call.objectiveAt - now - roundTrip);
		const beforeDeadline = answerTimes.chance(work, prospect, call.deadline - now - roundTrip);
		const slotPenalty = slotWorth * answerTimes.mean(work, prospect) / Math.max(1, work);
		const relativeAcceptance = Math.min(1, acceptance / bestAcceptance);
		return {
			withinObjective: relativeAcceptance * withinObjective,
			beforeDeadline: relativeAcceptance * beforeDeadline,
			utility: (acceptance * (withinObjective + (lateWorth * (beforeDeadline - withinObjective)))) - slotPenalty - this._transferCost(server, call),
		};
	}

	private _isLocal(server: BackendServerState): boolean {
		return server.declared.dataCentre === this._context.settings.dataCentre;
	}

	/** What the bytes of a call to another data centre cost. */
	private _transferCost(server: BackendServerState, call: Call): number {
		return this._isLocal(server) ? 0 : this._context.tuning.remoteKilobyteWorth * (call.class.answerBytesMean + headBytes) / kilobyte;
	}
}

/** Up to `most` of the items that are accepted, drawn at random where there are more. */
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

/** The one worth most of the backend servers that were offered. */
class BestServer {
	server: BackendServerState | undefined;
	private _utility = -Infinity;

	offer(server: BackendServerState, utility: number): void {
		if (utility > this._utility) {
			this._utility = utility;
			this.server = server;
		}
	}
}

/** A call has waited for a backend server that answers within its objective as long as that makes sense. */
export function isImpatient(call: Call, now: Instant): boolean {
	return now >= Math.min(call.arrivedAt + (maxWaitFraction * objectiveOf(call)), call.objectiveAt - workEstimate(call));
}

/** Its load probes name its rate limit, and the last one is old. */
function isLimitUnconfirmed({rateLimit, reportedAt}: BackendServerState, now: Instant): boolean {
	return rateLimit.isNamedByProbes && now - reportedAt > limitConfirmationMilliseconds;
}

/** Room by what was reported; a backend server that reports nothing is bounded by its connections. */
function hasCapacity(server: BackendServerState): boolean {
	return server.report === undefined || server.reportedLoad < server.declared.slots + maxCallsBeyondSlots;
}

/** Part of its attempts that a backend server is expected to take and to answer. */
function acceptanceRate(server: BackendServerState, now: Instant): number {
	return (1 - server.failingAt(now)) * (1 - server.sheddingAt(now)) * (server.unansweredMeasurings >= unansweredProbesUntilSilent ? silentAcceptanceFactor : 1);
}

/** The same of the most reliable of these; a little above 0, since it is divided by. */
function bestAcceptanceRate(servers: readonly BackendServerState[], now: Instant): number {
	return Math.max(0.01, ...servers.map(server => server.takesNewAttempts ? acceptanceRate(server, now) : 0));
}

/** Few calls enough that one more is not slowed down by them. */
function isLightlyLoaded(server: BackendServerState): boolean {
	return server.reportedLoad + 1 <= roomyPart * server.declared.slots;
}
