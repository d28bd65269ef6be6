/** Probes the load of a few candidates right before an attempt is placed. */
import {type Instant} from '../../model/units.ts';
import {type AttemptPurpose, type Call} from '../call.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {type DemandPlacer} from '../placement/demand-placer.ts';
import {type EngineContext} from '../engine-context.ts';
import {type RefusalReason} from '../types.ts';

/** Load probes that one attempt waits for. */
export type PendingProbes = {
	/** Purpose of the attempt. */
	readonly purpose: AttemptPurpose;
	/** Reason for refusing the call if no backend server is found for it. */
	readonly reason: RefusalReason;
	readonly candidates: readonly BackendServerState[];
	/** Candidates whose report is still outstanding. */
	readonly awaited: Set<BackendServerState>;
	/** Backend servers probed for this attempt so far, including earlier rounds. */
	readonly probed: ReadonlySet<BackendServerState>;
	/** Number of rounds of probes, including this one. */
	readonly round: number;
	readonly startedAt: Instant;
};

/**
 * Maximum rounds of probes for one attempt, since those probed so far may all be slow or full, or affected by a fault.
 */
const maxRounds = 3;

/**
 * Rounds of probes in the VM's subset. A single round often finds no idle one of a few backend servers with two slots
 * although the subset has capacity, and each backend server outside it costs a new connection.
 */
const subsetRounds = 2;

/** What an attempt is planned for. */
export type ProbingPlan = Pick<PendingProbes, 'purpose' | 'reason'>;

/** Dependencies of the prober. */
export type LoadProberOptions = {
	readonly context: EngineContext;
	readonly placer: DemandPlacer;
	/** Sends a load probe; its end is reported by calling `onProbeEnded`. */
	readonly sendProbe: (server: BackendServerState, now: Instant) => void;
	/** Called when all reports, or as many as came in time, are available. */
	readonly onReady: (call: Call, probing: PendingProbes, now: Instant) => void;
};

/**
 * On-demand probing for load that changes within milliseconds: neighbours slow work down several times for half a second,
 * so a report is useful only while it is more recent than that. Candidates with a fresh report are not probed again, and
 * calls that need the same backend server at the same moment share one probe.
 */
export class LoadProber {
	private readonly _context: EngineContext;
	private readonly _placer: DemandPlacer;
	private readonly _sendProbe: LoadProberOptions['sendProbe'];
	private readonly _onReady: LoadProberOptions['onReady'];
	/** Calls that wait for a report, by backend server. */
	private readonly _waiting = new Map<BackendServerState, Set<Call>>();

	constructor(options: LoadProberOptions) {
		this._context = options.context;
		this._placer = options.placer;
		this._sendProbe = options.sendProbe;
		this._onReady = options.onReady;
	}

	/** Starts to fetch reports for an attempt. `onReady` follows, synchronously if no report has to be awaited. */
	begin(call: Call, plan: ProbingPlan, now: Instant): void {
		this._start(call, plan, {round: 1, probed: new Set(), startedAt: now}, now);
	}

	/** A load probe has ended, with or without a report. */
	onProbeEnded(server: BackendServerState, now: Instant): void {
		server.probeSentAt = undefined;
		const calls = this._waiting.get(server);
		this._waiting.delete(server);
		for (const call of calls ?? []) {
			const {probing} = call;
			if (probing?.awaited.delete(server) && probing.awaited.size === 0) {
				this._finish(call, probing, now);
			}
		}
	}

	/** The wait for reports has timed out. */
	expire(call: Call, probing: PendingProbes, now: Instant): void {
		if (call.probing === probing) {
			for (const server of probing.awaited) {
				this._waiting.get(server)?.delete(call);
			}

			this._finish(call, probing, now);
		}
	}

	private _start(call: Call, {purpose, reason}: ProbingPlan, {round, probed, startedAt}: Pick<PendingProbes, 'round' | 'probed' | 'startedAt'>, now: Instant): void {
		const candidates = this._placer.candidates(call, now, probed, round > subsetRounds && !this._placer.hasFreeServer(call, now));
		const probing: PendingProbes = {
			purpose, reason, candidates, awaited: new Set(), probed: new Set([...probed, ...candidates]), round, startedAt,
		};
		call.probing = probing;
		for (const server of candidates) {
			if (this._ensureProbe(server, call, now)) {
				probing.awaited.add(server);
				this._addWaiter(server, call);
			}
		}

		if (probing.awaited.size === 0) {
			this._finish(call, probing, now);
			return;
		}

		call.timers.push(this._context.timers.add(now + this._context.tuning.maxProbeWaitMilliseconds, {type: 'probing', call, probing}));
	}

	/**
	 * Whether a report of this backend server is on its way. Sends a probe if the latest report is too old and the
	 * allowance permits.
	 */
	private _ensureProbe(server: BackendServerState, call: Call, now: Instant): boolean {
		const {reportFreshMilliseconds} = this._context.tuning;
		const isWarmUpReported = call.serviceState.warmUp === undefined || server.warmUp.isRecentlyReported(now);
		if (isWarmUpReported && now - server.reportedAt <= reportFreshMilliseconds) {
			return false;
		}

		if (server.probeSentAt !== undefined) {
			return true;
		}

		if (!server.demandAllowance.tryTake(call.service.measuring, this._placer.probingVms(call, server), now)) {
			return false;
		}

		server.probeSentAt = now;
		this._sendProbe(server, now);
		return true;
	}

	private _addWaiter(server: BackendServerState, call: Call): void {
		const calls = this._waiting.get(server) ?? new Set<Call>();
		calls.add(call);
		this._waiting.set(server, calls);
	}

	/**
	 * All probes of the round have ended or timed out. Starts another round of probes if no suitable backend server was
	 * found.
	 */
	private _finish(call: Call, probing: PendingProbes, now: Instant): void {
		call.probing = undefined;
		// Two rounds that timed out are the longest that a call is held for reports.
		const mayProbeAgain = probing.round < maxRounds && probing.candidates.length > 0 && now - probing.startedAt <= this._context.tuning.maxProbeWaitMilliseconds;
		if (mayProbeAgain && !this._placer.hasSuitableServer(call, now)) {
			this._start(call, probing, {...probing, round: probing.round + 1}, now);
			return;
		}

		this._onReady(call, probing, now);
	}
}
