/** What a planned stop came to, gathered for the one line that ends it. */
import {type CallSummary} from '../common/calls/types.ts';
import {type FleetStage} from '../common/fleet/types.ts';
import {type Instant, type Milliseconds} from '../common/model/units.ts';

/** The fields of the line. */
export type StopSummary = {
	/** Answers that callers did not have when the stop began. */
	readonly callsAtBegin: number;
	/** Calls that ended with a backend server's answer since then. */
	readonly finished: number;
	/** Calls that were told that they have not run, by the stop or for another reason. */
	readonly refused: number;
	/** Answers whose connection ended before the system had all of them. */
	readonly cut: number;
	/** Time spent in each stage of the stop, such as `leaving 4550, draining 300`. */
	readonly stageMilliseconds: string;
};

/** Counts from the order to stop until the process ends; before that order nothing is counted. */
export class StopReport {
	private readonly _stages: Array<{readonly stage: FleetStage; readonly since: Instant}> = [];
	private _isStopping = false;
	private _callsAtBegin = 0;
	private _finished = 0;
	private _refused = 0;
	private _cut = 0;

	/** The order to stop has come; a second one changes nothing. */
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

	noteCall({outcome}: CallSummary): void {
		if (!this._isStopping) {
			return;
		}

		if (outcome === 'not-run') {
			this._refused++;
		} else {
			this._finished++;
		}
	}

	/** A call was refused at the listener, without becoming a call of the engine. */
	noteRefusal(): void {
		this._refused += this._isStopping ? 1 : 0;
	}

	noteCut(): void {
		this._cut += this._isStopping ? 1 : 0;
	}

	summary(): StopSummary {
		return {
			callsAtBegin: this._callsAtBegin,
			finished: this._finished,
			refused: this._refused,
			cut: this._cut,
			stageMilliseconds: this._stages.slice(0, -1).map(({stage}, index) => `${stage} ${this._length(index)}`).join(', '),
		};
	}

	private _length(index: number): Milliseconds {
		return Math.round(this._stages[index + 1]!.since - this._stages[index]!.since);
	}
}
