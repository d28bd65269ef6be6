/** Outlier detection: attributes failures to the backend server, the connection or the call, and ejects backend servers. */
import {type Instant} from '../../model/units.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {type Attempt, type Call} from '../call.ts';
import {type EngineContext} from '../engine-context.ts';
import {type AttemptFailure} from '../types.ts';
import {type ProcessEndJudge} from './process-end.ts';

/** An attempt cancelled before this many mean answer times does not count as silent. */
const silenceFactor = 10;

export class OutlierDetector {
	private readonly _context: EngineContext;
	private readonly _processEnds: ProcessEndJudge;

	constructor(context: EngineContext, processEnds: ProcessEndJudge) {
		this._context = context;
		this._processEnds = processEnds;
	}

	onAttemptFailed(attempt: Attempt, failure: AttemptFailure, now: Instant): void {
		if (failure !== 'wrong-answer' && failure !== 'late') {
			this._context.links.onTrouble(attempt.server.identity, now);
		}

		switch (failure) {
			case 'connection-refused': {
				if (this._processEnds.isProof(attempt.via)) {
					this._processEnds.onAttemptSign(attempt, 'connection-refused', now);
				}

				this._recordFailure(attempt, now);
				break;
			}

			case 'reset-after-sending':
			case 'reset-during-answer': {
				this._processEnds.onReset(attempt, now);
				this._recordFailure(attempt, now);
				break;
			}

			case 'silent': {
				this._onSilence(attempt, now);
				break;
			}

			case 'unreachable':
			case 'late':
			case 'wrong-answer': {
				this._recordFailure(attempt, now);
				break;
			}

			case 'not-sent':
			case 'no-relay': {
				break;
			}
		}
	}

	onServerError(attempt: Attempt, now: Instant): void {
		this._recordFailure(attempt, now);
	}

	/** Checks for silence in the attempts that are about to be cancelled because the winner was answered. */
	onAttemptsSuperseded(call: Call, winner: Attempt, now: Instant): void {
		for (const attempt of call.attempts) {
			if (attempt !== winner) {
				this.onAttemptAbandoned(attempt, now);
			}
		}
	}

	/** Handles an attempt that is cancelled without an answer, at its deadline or because another one was faster. */
	onAttemptAbandoned(attempt: Attempt, now: Instant): void {
		const waited = now - attempt.startedAt;
		if (!attempt.isSent || attempt.hasHead) {
			return;
		}

		attempt.server.onCancelled(waited, attempt.call.class.answerMean, now);
		this._context.links.onTrouble(attempt.server.identity, now);
		if (waited > silenceFactor * attempt.call.class.answerMean) {
			this._onSilence(attempt, now);
		}
	}

	/**
	 * A connection can become silent for good while its backend server still works. If the backend server has answered an
	 * attempt since, the connection is at fault. Otherwise one call on a new connection decides: only if that call is
	 * silent too is the backend server ejected.
	 */
	private _onSilence(attempt: Attempt, now: Instant): void {
		const {server} = attempt;
		if (server.lastAnswerAt > attempt.startedAt) {
			return;
		}

		if (server.health === 'doubted' && !attempt.isTrial) {
			return;
		}

		if (server.health === 'doubted' && !this._mayEject(server, attempt)) {
			return;
		}

		server.eject('SILENT', now);
	}

	private _recordFailure(attempt: Attempt, now: Instant): void {
		const {server} = attempt;
		server.onFailure(now);
		// Failures alone do not eject a backend server. They raise its expected answer time, so calls move away gradually. When
		// all backend servers fail, none of them loses more calls than another.
		if (server.health === 'probing' || server.health === 'doubted') {
			server.eject('FAILING', now);
		}
	}

	/**
	 * Limits the number of ejected backend servers, since the remaining ones must take over their calls. When most calls of a
	 * service fail, the cause is common, and an ejection would only concentrate the calls on fewer backend servers.
	 */
	private _mayEject(server: BackendServerState, attempt: Attempt): boolean {
		const service = attempt.call.serviceState;
		const others = service.servers.filter(one => one !== server && one.takesNewAttempts);
		const outCount = others.filter(one => one.health === 'ejected' || one.health === 'probing').length;
		const maxOut = Math.max(1, Math.floor(this._context.tuning.maxEjectedFraction * (others.length + 1)));
		return others.length > 0 && outCount < maxOut && service.failureRate < this._context.tuning.commonFailureFraction;
	}
}
