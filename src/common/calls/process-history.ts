/** Which process of a backend server a word is about: the present one, one that has gone, or one not met yet. */
import {type Instant, type Milliseconds} from '../model/units.ts';

/** Processes that are gone; a late answer or sign of one must not count as a change. */
const rememberedProcesses = 4;

/** How late the words of a process that has gone may come in: longer than any way through the fleet. */
const lateWordMilliseconds: Milliseconds = 1000;

/** What a report says about processes. */
export type ProcessChange = 'of-past' | 'present' | 'replaced' | 'returned';

/**
 * Guards two ways of leaving. A sign about a process that this VM has not met binds: taken for an old
 * one, the leaving process would get work for as long as it lives. A sign about a process that is
 * known to have gone binds nothing: a returned backend server would never get work again.
 */
export class ProcessHistory {
	private readonly _past: string[] = [];
	private _present: string | undefined;
	private _leaving: string | undefined;
	private _leavingSince: Instant | undefined;

	/** The process that answers now. */
	get present(): string | undefined {
		return this._present;
	}

	/** True if the sign binds the backend server as it is now. */
	takeSign(instance: string | undefined, now: Instant): boolean {
		if (instance !== undefined && this._past.includes(instance)) {
			return false;
		}

		this._leaving = instance ?? this._present;
		this._leavingSince = now;
		return true;
	}

	/** Sorts a report by the process that made it. */
	takeReport(instance: string | undefined, madeAt: Instant): ProcessChange {
		if (instance !== undefined && this._past.includes(instance)) {
			return 'of-past';
		}

		const former = this._present;
		if (instance === undefined || former === undefined || instance === former) {
			this._present = instance ?? former;
			return this._hasOutlivedSign(instance, madeAt) ? 'returned' : 'present';
		}

		this._remember(former);
		this._present = instance;
		if (instance === this._leaving) {
			return 'present';
		}

		this._leavingSince = undefined;
		return 'replaced';
	}

	/**
	 * Another process answers than the one that the sign named. It may be that one's forerunner, whose last
	 * words come late; only an answer well after the sign shows that it is there now.
	 */
	private _hasOutlivedSign(instance: string | undefined, madeAt: Instant): boolean {
		if (this._leavingSince === undefined || this._leaving === undefined || instance === undefined || instance === this._leaving) {
			return false;
		}

		if (madeAt < this._leavingSince + lateWordMilliseconds) {
			return false;
		}

		this._remember(this._leaving);
		this._leavingSince = undefined;
		return true;
	}

	private _remember(instance: string): void {
		this._past.push(instance);
		this._past.splice(0, this._past.length - rememberedProcesses);
	}
}
