/** The last message about the rate limit of each backend server, kept for VMs that missed it. */
import {supersedes} from '../calls/backend-rates/stated-limit.ts';
import {type BackendServerIdentity, type LoadUpdate, type RateLimitStatement} from '../calls/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type EvidenceKey} from './types.ts';

/** Begins the keys of limits; those of crashes begin with the identity of a process. */
const keyPrefix = 'rate-limit ';

/** Time after which a rate limit that no VM has sent again is dropped. */
const retentionMilliseconds: Milliseconds = 600_000;

/** An unchanged rate limit counts as sent again, and is passed on, if it is this much newer. Smaller differences come from the transfer of one message. */
const repeatMilliseconds: Milliseconds = 30_000;

/** Maximum number of rate limits; beyond it the oldest is dropped. */
const maxStatements = 256;

type Known = {readonly identity: BackendServerIdentity; readonly statement: RateLimitStatement; readonly at: Instant};

export class StatedLimits {
	/** By process, the oldest first. */
	private readonly _known = new Map<string, Known>();

	get isEmpty(): boolean {
		return this._known.size === 0;
	}

	get keys(): EvidenceKey[] {
		return Array.from(this._known.values(), ({statement}) => keyOf(statement));
	}

	/** Whether a key is one of a limit. */
	static isKey(key: EvidenceKey): boolean {
		return key.startsWith(keyPrefix);
	}

	/** Adds a statement; returns false if it, or a later one, is known already. */
	add({identity, rateLimit: statement, ageMilliseconds}: LoadUpdate, now: Instant): boolean {
		this._removeExpired(now);
		const at = now - Math.max(0, ageMilliseconds);
		if (statement === undefined || now - at > retentionMilliseconds) {
			return false;
		}

		const known = this._known.get(statement.process);
		const isRepeated = known?.statement.sequence === statement.sequence && known.statement.callsPerSecond === statement.callsPerSecond && at - known.at >= repeatMilliseconds;
		if (known !== undefined && !isRepeated && !supersedes(statement, known.statement)) {
			return false;
		}

		this._known.delete(statement.process);
		this._known.set(statement.process, {identity, statement, at});
		if (this._known.size > maxStatements) {
			this._known.delete(this._known.keys().next().value!);
		}

		return true;
	}

	/** The statements of these keys, with their age at `now`; all of them if `keys` is undefined. */
	select(keys: readonly EvidenceKey[] | undefined, now: Instant): LoadUpdate[] {
		this._removeExpired(now);
		return [...this._known.values()].filter(({statement}) => keys?.includes(keyOf(statement)) ?? true).map(({identity, statement, at}) => ({
			identity, report: undefined, ageMilliseconds: Math.max(0, now - at), suspects: [], crash: undefined, rateLimit: statement,
		}));
	}

	private _removeExpired(now: Instant): void {
		for (const [process, {at}] of this._known) {
			if (now - at > retentionMilliseconds) {
				this._known.delete(process);
			}
		}
	}
}

function keyOf({process, callsPerSecond, sequence}: RateLimitStatement): EvidenceKey {
	return `${keyPrefix}${process} ${sequence} ${callsPerSecond ?? 'none'}`;
}
