/** Fetches fresh reports of a few candidates right before an attempt is placed. */
import {type Instant} from '../model/units.ts';
import {type AttemptPurpose, type Call} from './call.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {type DemandPlacer} from './demand-placer.ts';
import {type EngineContext, vmCountOf} from './engine-context.ts';
import {type RefusalReason} from './types.ts';

/** Reports awaited for one attempt. */
export type Scouting = {
	/** What the attempt is for. */
	readonly purpose: AttemptPurpose;
	/** Why the call is refused if nothing can be found for it. */
	readonly reason: RefusalReason;
	readonly candidates: readonly BackendServerState[];
	/** Candidates whose report is still to come. */
	readonly awaited: Set<BackendServerState>;
	/** Backend servers that were asked for this attempt so far, those of earlier rounds among them. */
	readonly asked: ReadonlySet<BackendServerState>;
	/** Rounds of questions, this one counted. */
	readonly round: number;
	readonly startedAt: Instant;
};

/**
 * Most rounds of questions for one attempt: the own data centre, the others, and once more, since those that were asked
 * may all be slow or full, or a fault may have hit just them.
 */
const mostRounds = 3;

/** What an attempt is planned for. */
export type ScoutingPlan = Pick<Scouting, 'purpose' | 'reason'>;

/** What the scout needs from its surroundings. */
export type ScoutOptions = {
	readonly context: EngineContext;
	readonly placer: DemandPlacer;
	/** Sends a measuring call; its end is told by `onMeasured`. */
	readonly measure: (server: BackendServerState) => void;
	/** The reports are there, or as many as came in time. */
	readonly onReady: (call: Call, scouting: Scouting, now: Instant) => void;
};

/**
 * Answers the pattern "load moves within milliseconds": neighbours on a backend server's VM make its work take
 * several times as long for half a second, so a report is worth something only while it is younger than that.
 * A few candidates are asked, those with young news are not asked again, and calls that want the same
 * backend server at the same moment share one measuring call.
 */
export class Scout {
	private readonly _context: EngineContext;
	private readonly _placer: DemandPlacer;
	private readonly _measure: (server: BackendServerState) => void;
	private readonly _onReady: ScoutOptions['onReady'];
	/** Calls that wait for a backend server's report. */
	private readonly _waiting = new Map<BackendServerState, Set<Call>>();

	constructor(options: ScoutOptions) {
		this._context = options.context;
		this._placer = options.placer;
		this._measure = options.measure;
		this._onReady = options.onReady;
	}

	/** Begins to fetch reports for an attempt; `onReady` follows, at once where all is known. */
	begin(call: Call, plan: ScoutingPlan, now: Instant): void {
		this._start(call, plan, {round: 1, asked: new Set(), startedAt: now}, now);
	}

	/** A measuring call on demand has ended, with or without a report. */
	onMeasured(server: BackendServerState, now: Instant): void {
		server.measuringSince = undefined;
		const calls = this._waiting.get(server);
		this._waiting.delete(server);
		for (const call of calls ?? []) {
			const {scouting} = call;
			if (scouting?.awaited.delete(server) && scouting.awaited.size === 0) {
				this._finish(call, scouting, now);
			}
		}
	}

	/** The time to wait for reports is over. */
	expire(call: Call, scouting: Scouting, now: Instant): void {
		if (call.scouting === scouting) {
			for (const server of scouting.awaited) {
				this._waiting.get(server)?.delete(call);
			}

			this._finish(call, scouting, now);
		}
	}

	private _start(call: Call, {purpose, reason}: ScoutingPlan, {round, asked, startedAt}: Pick<Scouting, 'round' | 'asked' | 'startedAt'>, now: Instant): void {
		const candidates = this._placer.candidates(call, now, asked);
		const scouting: Scouting = {
			purpose, reason, candidates, awaited: new Set(), asked: new Set([...asked, ...candidates]), round, startedAt,
		};
		call.scouting = scouting;
		for (const server of candidates) {
			if (this._isAwaitable(server, call, now)) {
				scouting.awaited.add(server);
				this._wait(server, call);
			}
		}

		if (scouting.awaited.size === 0) {
			this._finish(call, scouting, now);
			return;
		}

		call.timers.push(this._context.timers.add(now + this._context.tuning.demandWaitMilliseconds, {type: 'scouting', call, scouting}));
	}

	/** Whether a report of this backend server is on its way; sends for one where the last is old. */
	private _isAwaitable(server: BackendServerState, call: Call, now: Instant): boolean {
		const {demandFreshMilliseconds} = this._context.tuning;
		const isWarmUpKnown = call.serviceState.warmUp === undefined || server.warmUp.isKnown(now);
		if (isWarmUpKnown && now - server.reportedAt <= demandFreshMilliseconds) {
			return false;
		}

		if (server.measuringSince !== undefined) {
			return true;
		}

		if (!server.demandAllowance.tryTake(call.service.measuring, vmCountOf(this._context), now)) {
			return false;
		}

		server.measuringSince = now;
		this._measure(server);
		return true;
	}

	private _wait(server: BackendServerState, call: Call): void {
		const calls = this._waiting.get(server) ?? new Set<Call>();
		calls.add(call);
		this._waiting.set(server, calls);
	}

	/** Those that were asked have answered, or the time for it is over: others are asked where these have no good place. */
	private _finish(call: Call, scouting: Scouting, now: Instant): void {
		call.scouting = undefined;
		// Two rounds in which somebody was silent are the longest that a call may be held for reports.
		const mayAsk = scouting.round < mostRounds && scouting.candidates.length > 0 && now - scouting.startedAt <= this._context.tuning.demandWaitMilliseconds;
		if (mayAsk && !this._placer.hasGoodPlace(call, now)) {
			this._start(call, scouting, {...scouting, round: scouting.round + 1}, now);
			return;
		}

		this._onReady(call, scouting, now);
	}
}
