/** Chooses candidates to measure, and among them the backend server that will answer soonest. */
import {type Instant} from '../model/units.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {type Call} from './call.ts';
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

/** Work time assumed where nothing young is known: two thirds of backend servers are quiet, the others several times slower. */
const unknownFactor = 2.5;

/** How long a report of the work time holds, in milliseconds: neighbours come and go in pieces of half a second. */
const factorMemory = 350;

/** Places by reports that were fetched for the attempt, or are as young. */
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
				scored.push({server, score: this._cost(server, call, now) * chance});
			}
		}

		scored.sort((one, other) => one.score - other.score);
		return scored.slice(0, count).map(({server}) => server);
	}

	place(call: Call, now: Instant): Placement | undefined {
		let best: BackendServerState | undefined;
		let least = Infinity;
		for (const server of call.serviceState.servers) {
			if (!this._mayTake(server, call) || !hasRoom(server)) {
				continue;
			}

			const cost = this._cost(server, call, now);
			if (cost < least) {
				least = cost;
				best = server;
			}
		}

		return best === undefined ? undefined : {server: best, isExperiment: false};
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
	private _cost(server: BackendServerState, call: Call, now: Instant): number {
		const slots = Math.max(1, server.slotsAt(now));
		const load = server.reportedLoad + 1;
		const work = Math.max(1, call.class.answerMean) * this._workTimeFactor(server, now);
		const knee = load > kneeAt * server.declared.slots ? kneeFactor : 1;
		const wait = Math.max(0, load - slots) / slots;
		const silence = server.unansweredMeasurings >= silentAfter ? this._context.tuning.failurePenalty : 1;
		const failing = 1 + (this._context.tuning.failurePenalty * server.failingAt(now));
		return (work * (knee + wait) * failing * silence) + this._remoteCost(server, call);
	}

	private _workTimeFactor(server: BackendServerState, now: Instant): number {
		const known = server.report?.workTimeFactor;
		if (known === undefined) {
			return unknownFactor;
		}

		const trust = Math.exp((server.reportedAt - now) / factorMemory);
		return unknownFactor + ((known - unknownFactor) * trust);
	}

	private _remoteCost(server: BackendServerState, call: Call): number {
		if (server.declared.dataCentre === this._context.settings.dataCentre) {
			return 0;
		}

		const {remoteMilliseconds, remoteMillisecondsPerKilobyte} = this._context.tuning;
		return remoteMilliseconds + (remoteMillisecondsPerKilobyte * call.class.answerBytesMean / 1024);
	}
}

/** Room by what was reported; a backend server that reports nothing is bounded by its connections. */
function hasRoom(server: BackendServerState): boolean {
	return server.report === undefined || server.reportedLoad < server.declared.slots + queueRoom;
}
