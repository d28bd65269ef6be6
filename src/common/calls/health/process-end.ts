/** Judges whether the process of a backend server has ended. */
import {type RelayAddress} from '../../links/types.ts';
import {type Instant} from '../../model/units.ts';
import {type BackendServerState} from '../backend-server-state.ts';
import {type Attempt} from '../call.ts';
import {type EngineContext} from '../engine-context.ts';
import {type ProcessEndSign} from '../types.ts';
import {processIdentityOf} from './process-identity.ts';

function processIdentityOfAttempt({server, instance}: Attempt): string {
	return processIdentityOf(server, instance ?? server.report?.instance);
}

export class ProcessEndJudge {
	private readonly _context: EngineContext;

	constructor(context: EngineContext) {
		this._context = context;
	}

	/**
	 * Whether a connection that was refused on this path proves that the process has ended. A VM that has lost its links
	 * is refused by backend servers that are alive, so where VMs can ask one another, another one has to confirm it.
	 */
	isProof(via: RelayAddress | undefined): boolean {
		return via !== undefined || !this._context.links.hasRelays;
	}

	/** An attempt's connection was reset: a suspicion, until another sign decides. */
	onReset(attempt: Attempt, now: Instant): void {
		this._context.poisonRequests.recordReset(processIdentityOfAttempt(attempt), attempt.server.identity, attempt.call.request.fingerprint, now);
	}

	/** An attempt has seen a sign that its process has ended. */
	onAttemptSign(attempt: Attempt, sign: ProcessEndSign, now: Instant): void {
		this._context.poisonRequests.confirmCrash(processIdentityOfAttempt(attempt), sign, now);
	}

	/** There is a sign that this process of the backend server has ended; `instance` = as reported by that process. */
	onSign(server: BackendServerState, instance: string | undefined, sign: ProcessEndSign, now: Instant): void {
		this._context.poisonRequests.confirmCrash(processIdentityOf(server, instance), sign, now);
	}

	/** The process has responded to something sent at `sentAt`. */
	onResponse(server: BackendServerState, sentAt: Instant, now: Instant): void {
		this._context.links.onContact(now);
		this._context.poisonRequests.refuteCrash(processIdentityOf(server, server.report?.instance), sentAt);
	}

	/** Whether calls were reset there and no sign has decided yet whether the process has ended. */
	isUndecided(server: BackendServerState): boolean {
		return this._context.poisonRequests.isUndecided(processIdentityOf(server, server.report?.instance));
	}
}
