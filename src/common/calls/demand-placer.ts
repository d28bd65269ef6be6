/** Chooses candidates to measure, and among them the backend server that will answer soonest. */
import {type Instant} from '../model/units.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {
	type AttemptPurpose, type Call, objectiveOf, workEstimate,
} from './call.ts';
import {type EngineContext} from './engine-context.ts';
import {type Placement, type Placer, connectionLimit} from './placer.ts';

/** Spread of chance over estimates, so that VMs with like knowledge do not all ask the same few. */
const candidateSpread = 0.6;

/** Measuring calls in a row without a report after which a backend server is asked only in the background. */
const silentAfter = 2;

/** A silent backend server is asked again with one call in this many that come by: enough to see its return within a second. */
const silentTurns = 6;

/**
 * Calls that one backend server may have beyond its slots. Several VMs may choose it within the same millisecond;
 * beyond its own queue it falls silent on the connection for good, so the guard stays far below that.
 */
const queueRoom = 2;

/** A backend server whose load is this part of its slots begins to slow down. */
const kneeAt = 0.8;

/** Work at the knee takes about this much longer. */
const kneeFactor = 1.6;

/**
 * Work time assumed where nothing young is known. Two thirds of backend servers are quiet and the others several times
 * slower: worse than any quiet one, and good enough to be tried when reports do not come.
 */
const unknownFactor = 1.7;

/** How long a report of the work time holds, in milliseconds: neighbours come and go in pieces of half a second. */
const factorMemory = 350;

/** Calls that are late anyway may use a backend server up to this part of its slots: fresh ones find the rest. */
const idlePart = 0.5;

/** A report this young tells of the present: most neighbours that it saw are still there. */
const youngMilliseconds = 150;

/** Times are estimates of a mean; nine in ten answers come within this many of it. */
const reserve = 1.25;

/**
 * Part of its objective for which a call waits for a backend server that will answer within it. Later a refusal would
 * leave its caller no time to come back within the objective.
 */
const patience = 0.25;

/**
 * Places by reports that were fetched for the attempt, or are as young. Answers the pattern "overload of backend servers
 * that slow down when they are full": a call goes where it will be answered within its objective, and waits for such a
 * place for a moment. It takes free slots first, since a call that is queued at a backend server cannot be moved any
 * more, and queues there only after its wait. One that can no longer be answered in time must not take a quick place
 * from one that can: it goes to the slowest backend server that still answers before its deadline and is of no use to a
 * fresh call, else to one that is half empty, or is refused. Benchmark `demand`, earned part of worth with the plain rule
 * (2 seeds) and with this one (3 seeds): at 1.3 times what quiet backend servers carry 0.33 and 0.58, in bursts 0.57 and 0.68.
 */
export class DemandPlacer implements Placer {
	private readonly _context: EngineContext;

	constructor(context: EngineContext) {
		this._context = context;
	}

	/** The most promising backend servers for an attempt of this call, at most `count`. */
	candidates(call: Call, now: Instant, count: number): BackendServerState[] {
		const scored: Array<{readonly server: BackendServerState; readonly score: number}> = [];
		for (const server of call.serviceState.servers) {
			if (this._mayTake(server, call) && !this._isLeftOut(server)) {
				const chance = 1 + ((this._context.random.next() - 0.5) * candidateSpread);
				scored.push({server, score: (this._answerTime(server, call, now) + this._bytesCost(server, call)) * chance});
			}
		}

		scored.sort((one, other) => one.score - other.score);
		return scored.slice(0, count).map(({server}) => server);
	}

	place(call: Call, now: Instant, purpose: AttemptPurpose = 'first'): Placement | undefined {
		const {free, queued, slow, idle} = this._best(call, now);
		const isPatient = purpose === 'hedge' || (purpose === 'first' && !isImpatient(call, now));
		return placementOf(free.server ?? (isPatient ? undefined : queued.server ?? slow.server ?? idle.server));
	}

	/** The best backend server for each way of placing the call. */
	private _best(call: Call, now: Instant): Record<'free' | 'queued' | 'slow' | 'idle', Cheapest> {
		const best = {
			free: new Cheapest(), queued: new Cheapest(), slow: new Cheapest(), idle: new Cheapest(),
		};
		for (const server of this._known(call, now)) {
			const {slots} = server.declared;
			const load = server.reportedLoad + 1;
			const time = this._answerTime(server, call, now);
			const cost = time + this._bytesCost(server, call);
			if (time * reserve <= call.objectiveAt - now) {
				(load <= slots ? best.free : best.queued).offer(server, cost);
			}

			if (time * reserve > call.deadline - now || load > slots) {
				continue;
			}

			if (this._isUseless(server, call, now)) {
				best.slow.offer(server, -time);
			} else if (load <= idlePart * slots) {
				best.idle.offer(server, cost);
			}
		}

		return best;
	}

	/**
	 * Backend servers with room of which something young is known. Guards against placing blindly in a large fleet: each
	 * VM asks a few of its many backend servers, and an old report of the others looks better than the young ones of
	 * those that are full. Where no report is young, since none was allowed or none came, all count.
	 */
	private _known(call: Call, now: Instant): BackendServerState[] {
		const able = call.serviceState.servers.filter(server => this._mayTake(server, call) && hasRoom(server));
		const young = able.filter(server => now - server.reportedAt <= youngMilliseconds);
		return young.length > 0 ? young : able;
	}

	/** Its neighbours slow it down so much that a fresh call would not be answered there within its objective. */
	private _isUseless(server: BackendServerState, call: Call, now: Instant): boolean {
		return workEstimate(call) * this._workTimeFactor(server, now) * reserve > objectiveOf(call);
	}

	/** One that does not answer its measuring calls is asked by few calls only, so that its silence delays few. */
	private _isLeftOut(server: BackendServerState): boolean {
		return server.unansweredMeasurings >= silentAfter && this._context.random.next() * silentTurns >= 1;
	}

	private _mayTake(server: BackendServerState, call: Call): boolean {
		if (server.isLeaving || call.failedOn.has(server) || server.attempts.size >= connectionLimit(this._context, server.declared)) {
			return false;
		}

		return server.suspectsInFlight === 0 || !this._context.suspects.isSuspect(call.request.fingerprint);
	}

	/** Milliseconds until the answer, as far as is known. */
	private _answerTime(server: BackendServerState, call: Call, now: Instant): number {
		const slots = Math.max(1, server.slotsAt(now));
		const load = server.reportedLoad + 1;
		const work = workEstimate(call) * this._workTimeFactor(server, now);
		const knee = load > kneeAt * server.declared.slots ? kneeFactor : 1;
		const wait = Math.max(0, load - slots) / slots;
		const silence = server.unansweredMeasurings >= silentAfter ? this._context.tuning.failurePenalty : 1;
		const failing = 1 + (this._context.tuning.failurePenalty * server.failingAt(now));
		return (work * (knee + wait) * failing * silence) + (this._isLocal(server) ? 0 : this._context.tuning.remoteMilliseconds);
	}

	private _workTimeFactor(server: BackendServerState, now: Instant): number {
		const known = server.report?.workTimeFactor;
		if (known === undefined) {
			return unknownFactor;
		}

		const trust = Math.exp((server.reportedAt - now) / factorMemory);
		return unknownFactor + ((known - unknownFactor) * trust);
	}

	private _isLocal(server: BackendServerState): boolean {
		return server.declared.dataCentre === this._context.settings.dataCentre;
	}

	/** What the way of the answer's bytes costs, as time; it decides between backend servers, not whether one is in time. */
	private _bytesCost(server: BackendServerState, call: Call): number {
		return this._isLocal(server) ? 0 : this._context.tuning.remoteMillisecondsPerKilobyte * call.class.answerBytesMean / 1024;
	}
}

/** The cheapest of the backend servers that were offered. */
class Cheapest {
	server: BackendServerState | undefined;
	private _cost = Infinity;

	offer(server: BackendServerState, cost: number): void {
		if (cost < this._cost) {
			this._cost = cost;
			this.server = server;
		}
	}
}

function placementOf(server: BackendServerState | undefined): Placement | undefined {
	return server === undefined ? undefined : {server, isExperiment: false};
}

/** A call has waited for a backend server that answers within its objective as long as that makes sense. */
export function isImpatient(call: Call, now: Instant): boolean {
	return now >= Math.min(call.arrivedAt + (patience * objectiveOf(call)), call.objectiveAt - workEstimate(call));
}

/** Room by what was reported; a backend server that reports nothing is bounded by its connections. */
function hasRoom(server: BackendServerState): boolean {
	return server.report === undefined || server.reportedLoad < server.declared.slots + queueRoom;
}
