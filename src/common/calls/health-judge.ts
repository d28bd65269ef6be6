/** Says who is at fault when an attempt fails: the backend server, the connection, or the call. */
import {type Instant} from '../model/units.ts';
import {type BackendServerState} from './backend-server-state.ts';
import {type Attempt, type Call} from './call.ts';
import {CrashSuspects} from './crash-suspects.ts';
import {type EngineContext} from './engine-context.ts';
import {type AttemptFailure} from './types.ts';

/** An attempt given up before this many mean answer times says nothing of silence. */
const silentFactor = 10;

/** Judges failures. */
export class HealthJudge {
	private readonly _context: EngineContext;

	constructor(context: EngineContext) {
		this._context = context;
	}

	onAttemptFailed(attempt: Attempt, failure: AttemptFailure, now: Instant): void {
		switch (failure) {
			case 'connection-refused': {
				this._context.suspects.confirm(CrashSuspects.crashIdentity(attempt.server.identity, attempt.instance), now);
				this._fail(attempt, now);
				break;
			}

			case 'reset-after-sending':
			case 'reset-during-answer': {
				this._accuse(attempt, now);
				this._fail(attempt, now);
				break;
			}

			case 'silent': {
				this._onSilence(attempt, now);
				break;
			}

			case 'wrong-answer': {
				this._fail(attempt, now);
				break;
			}

			case 'not-sent': {
				break;
			}
		}
	}

	onServerError(attempt: Attempt, now: Instant): void {
		this._fail(attempt, now);
	}

	/** Attempts that lost against another one may have been silent. */
	beforeCancel(call: Call, winner: Attempt, now: Instant): void {
		for (const attempt of call.attempts) {
			if (attempt !== winner) {
				this.onGivenUp(attempt, now);
			}
		}
	}

	/** An attempt is given up without an answer: at its deadline, or because another one was faster. */
	onGivenUp(attempt: Attempt, now: Instant): void {
		const waited = now - attempt.startedAt;
		if (!attempt.isSent || attempt.hasHead) {
			return;
		}

		attempt.server.onGivenUp(waited, attempt.call.class.answerMean, now);
		if (waited > silentFactor * attempt.call.class.answerMean) {
			this._onSilence(attempt, now);
		}
	}

	/**
	 * A connection can go silent for good while the backend server works. If that has answered anything
	 * since, the connection was at fault. Else one call on a fresh connection tells; only if that is
	 * silent too is the backend server taken out.
	 */
	private _onSilence(attempt: Attempt, now: Instant): void {
		const {server} = attempt;
		if (server.lastAnswerAt > attempt.startedAt) {
			return;
		}

		if (server.health === 'doubted' && !attempt.isExperiment) {
			return;
		}

		if (server.health === 'doubted' && !this._mayEject(server, attempt)) {
			return;
		}

		server.eject('SILENT', now);
	}

	private _fail(attempt: Attempt, now: Instant): void {
		const {server} = attempt;
		server.onFailure(now);
		// Failures alone eject nobody: they make a backend server look long, which keeps calls away by
		// degrees and, when all fail, from none more than from another.
		if (server.health === 'probing' || server.health === 'doubted') {
			server.eject('FAILING', now);
		}
	}

	/**
	 * Bounded: the rest has to carry what is taken from the ejected ones, and when most calls of a service
	 * fail, the cause is common and moving calls about would only concentrate it.
	 */
	private _mayEject(server: BackendServerState, attempt: Attempt): boolean {
		const service = attempt.call.serviceState;
		const others = service.servers.filter(one => one !== server && one.takesNewAttempts);
		const out = others.filter(one => one.health === 'ejected' || one.health === 'probing').length;
		const most = Math.max(1, Math.floor(this._context.tuning.ejectablePart * (others.length + 1)));
		return others.length > 0 && out < most && service.failing < this._context.tuning.commonFailurePart;
	}

	private _accuse(attempt: Attempt, now: Instant): void {
		const crash = CrashSuspects.crashIdentity(attempt.server.identity, attempt.instance);
		const {fingerprint} = attempt.call.request;
		if (this._context.suspects.accuse(crash, [fingerprint], now)) {
			this._context.effects.push({
				type: 'tell-peers',
				update: {
					identity: attempt.server.identity, report: undefined, ageMilliseconds: 0, suspects: [fingerprint], crash,
				},
			});
		}
	}
}
