/** Queues operators' changes and commits them one at a time, so that changes through one VM do not compete for the compare-and-swap. */
import {type FleetContext} from '../fleet-context.ts';
import {type OperatorAnswer, type OperatorChange} from '../types.ts';
import {ChangeAttempt} from './change-attempt.ts';
import {type ConfigurationReader} from './configuration-reader.ts';
import {type ConfigurationState} from './configuration-state.ts';

type QueuedChange = {readonly change: OperatorChange; readonly onAnswer: (answer: OperatorAnswer) => void};

export class ConfigurationWriter {
	private readonly _reader: ConfigurationReader;
	private readonly _queue: QueuedChange[] = [];
	private _isBusy = false;

	constructor(
		private readonly _context: FleetContext,
		private readonly _state: ConfigurationState,
		reader: ConfigurationReader,
	) {
		this._reader = reader;
	}

	submit(change: OperatorChange, onAnswer: (answer: OperatorAnswer) => void): void {
		this._queue.push({change, onAnswer});
		this._startNext();
	}

	private _startNext(): void {
		const next = this._isBusy ? undefined : this._queue.shift();
		if (!next) {
			return;
		}

		this._isBusy = true;
		new ChangeAttempt(this._context, this._state, this._reader, next.change, answer => {
			this._isBusy = false;
			next.onAnswer(answer);
			this._startNext();
		}).start();
	}
}
