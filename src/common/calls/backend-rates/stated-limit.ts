/** Last statement on the rate limit of a backend server's process that VMs have made to each other. */
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type RateLimitStatement} from '../types.ts';

/** Minimum time until a higher limit, or the end of one, is stated, for servers that change it with each answer. A lower one is stated at once. */
const intervalMilliseconds: Milliseconds = 1000;

/** Time after which a limit that still holds is stated again, so that VMs do not drop the statement. */
const refreshMilliseconds: Milliseconds = 60_000;

type Statement = Pick<RateLimitStatement, 'callsPerSecond' | 'sequence'>;

/** The limit, for comparison; none is the highest. */
function limitOf({callsPerSecond = Infinity}: Pick<Statement, 'callsPerSecond'>): number {
	return callsPerSecond;
}

/** Whether one statement replaces another. Of two that VMs made at the same time, the lower limit does. */
export function supersedes(one: Statement, other: Statement): boolean {
	return one.sequence === other.sequence ? limitOf(one) < limitOf(other) : one.sequence > other.sequence;
}

export class StatedLimit {
	private _last: Statement = {callsPerSecond: undefined, sequence: 0};
	private _statedAt: Instant = -Infinity;

	/** Applies the statement of another VM; false = a later one is known. */
	apply(statement: Statement, at: Instant): boolean {
		if (!supersedes(statement, this._last)) {
			this._statedAt = statement.sequence === this._last.sequence ? Math.max(this._statedAt, at) : this._statedAt;
			return false;
		}

		this._last = statement;
		this._statedAt = at;
		return true;
	}

	/** The statement that is due after this VM has learnt that the limit is `callsPerSecond`; undefined = none. */
	take(callsPerSecond: number | undefined, now: Instant): Statement | undefined {
		if (!this._isDue(callsPerSecond, now - this._statedAt)) {
			return undefined;
		}

		const sequence = callsPerSecond === this._last.callsPerSecond ? this._last.sequence : this._last.sequence + 1;
		this._last = {callsPerSecond, sequence};
		this._statedAt = now;
		return this._last;
	}

	private _isDue(callsPerSecond: number | undefined, age: Milliseconds): boolean {
		if (callsPerSecond === this._last.callsPerSecond) {
			return callsPerSecond !== undefined && age >= refreshMilliseconds;
		}

		return limitOf({callsPerSecond}) < limitOf(this._last) || age >= intervalMilliseconds;
	}
}
