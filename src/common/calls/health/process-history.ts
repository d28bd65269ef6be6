/** Determines whether a report or a leaving sign concerns the current process of a backend server, a previous one or a new one. */
import {type Instant, type Milliseconds} from '../../model/units.ts';

/** Number of previous processes that are stored, so that a late answer or leaving sign of one does not count as a change. */
const maxGoneInstances = 4;

/** Maximum delay of the last reports of a process that has ended; longer than an update takes through the fleet. */
const maxReportDelayMilliseconds: Milliseconds = 1000;

/** What a report reveals about the process of a backend server. */
export type ProcessChange = 'of-past' | 'present' | 'replaced' | 'returned';

/**
 * Decides which leaving signs apply. A sign for a process that this VM has not seen yet applies: if it were taken for an old
 * process, the leaving one would get calls until it ends. A sign for a process that is known to have ended is ignored:
 * otherwise a backend server that returned would never get calls again.
 */
export class ProcessHistory {
	private readonly _goneInstances: string[] = [];
	private _currentInstance: string | undefined;
	private _leavingInstance: string | undefined;
	private _leavingSince: Instant | undefined;

	/** Instance of the process that answered last; undefined before any report with an instance. */
	get currentInstance(): string | undefined {
		return this._currentInstance;
	}

	/** Applies a leaving sign. Returns false if it concerns a process that has ended and is ignored; `instance` undefined = the current process. */
	applyLeavingSign(instance: string | undefined, now: Instant): boolean {
		if (instance !== undefined && this._goneInstances.includes(instance)) {
			return false;
		}

		this._leavingInstance = instance ?? this._currentInstance;
		this._leavingSince = now;
		return true;
	}

	/** Classifies a report by the process that made it. */
	applyReport(instance: string | undefined, madeAt: Instant): ProcessChange {
		if (instance !== undefined && this._goneInstances.includes(instance)) {
			return 'of-past';
		}

		const previous = this._currentInstance;
		if (instance === undefined || previous === undefined || instance === previous) {
			this._currentInstance = instance ?? previous;
			return this._hasReplacedLeavingInstance(instance, madeAt) ? 'returned' : 'present';
		}

		this._addGoneInstance(previous);
		this._currentInstance = instance;
		if (instance === this._leavingInstance) {
			return 'present';
		}

		this._leavingSince = undefined;
		return 'replaced';
	}

	/**
	 * Whether a process other than the leaving one has taken its place. The report may also be a late one of the leaving
	 * process's predecessor, so it counts only if it was made well after the leaving sign.
	 */
	private _hasReplacedLeavingInstance(instance: string | undefined, madeAt: Instant): boolean {
		if (this._leavingSince === undefined || this._leavingInstance === undefined || instance === undefined || instance === this._leavingInstance) {
			return false;
		}

		if (madeAt < this._leavingSince + maxReportDelayMilliseconds) {
			return false;
		}

		this._addGoneInstance(this._leavingInstance);
		this._leavingSince = undefined;
		return true;
	}

	private _addGoneInstance(instance: string): void {
		this._goneInstances.push(instance);
		this._goneInstances.splice(0, this._goneInstances.length - maxGoneInstances);
	}
}
