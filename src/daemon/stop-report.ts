/** Counts the calls of a planned stop for the log line `stop over`. */
import {type CallSummary} from '../common/calls/types.ts';
import {type FleetStage} from '../common/fleet/types.ts';
import {type Instant, type Milliseconds} from '../common/model/units.ts';

/** Fields of the log line `stop over`. */
export type StopSummary = {
	/** Answers not yet complete at their callers when the stop began. */
	readonly callsAtBegin: number;
	/** Calls that ended since then and were not refused. */
	readonly finished: number;
	/** Calls answered as not run, because of the stop or for another reason. */
	readonly refused: number;
	/** Answers whose connection was closed before the operating system had accepted all their bytes. */
	readonly cut: number;
	/** Milliseconds spent in each stage of the stop, such as `leaving 4550, draining 300`. */
	readonly stageMilliseconds: string;
};

/** Counts from the start of the stop until the process exits; earlier events are ignored. */
export class StopReport {
	private readonly _stages: Array<{readonly stage: FleetStage; readonly since: Instant}> = [];
	private _isStopping = false;
	private _callsAtBegin = 0;
	private _finished = 0;
	private _refused = 0;
	private _cut = 0;

	/** Starts counting. Later calls have no effect. */
	begin(callsInFlight: number): void {
		if (!this._isStopping) {
			this._isStopping = true;
			this._callsAtBegin = callsInFlight;
		}
	}

	enter(stage: FleetStage, now: Instant): void {
		if (this._isStopping) {
			this._stages.push({stage, since: now});
		}
	}

	recordCall({outcome}: CallSummary): void {
		if (!this._isStopping) {
			return;
		}

		if (outcome === 'not-run') {
			this._refused++;
		} else {
			this._finished++;
		}
	}

	/** Counts a call that the listener refused, and which therefore did not reach the engine. */
	recordRefusal(): void {
		this._refused += this._isStopping ? 1 : 0;
	}

	recordCutAnswer(): void {
		this._cut += this._isStopping ? 1 : 0;
	}

	summary(): StopSummary {
		return {
			callsAtBegin: this._callsAtBegin,
			finished: this._finished,
			refused: this._refused,
			cut: this._cut,
			stageMilliseconds: this._stages.slice(0, -1).map(({stage}, index) => `${stage} ${this._stageDuration(index)}`).join(', '),
		};
	}

	private _stageDuration(index: number): Milliseconds {
		return Math.round(this._stages[index + 1]!.since - this._stages[index]!.since);
	}
}
