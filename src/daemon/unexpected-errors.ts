/** Keeps a process alive after an exception that no part of the program has caught. */
import process from 'node:process';
import {Disposable, toDisposable} from '../common/lifecycle/disposable.ts';
import {type Clock} from '../node/clock.ts';
import {LineBudget} from '../node/logging/line-budget.ts';
import {type Logger} from '../node/logging/types.ts';
import {type Metrics} from '../node/metrics/types.ts';

/** Maximum log lines per second; each has a stack trace. */
const maxLinesPerSecond = 5;

/** Parts that the guard uses. */
export type UnexpectedErrorParts = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Pick<Metrics, 'unexpectedError'>;
};

/**
 * Logs and counts uncaught exceptions and rejections until it is disposed. Without a handler, one of them ends the process, and
 * with it all calls of other callers. What the failed callback belonged to ends by its own time limit.
 */
export class UnexpectedErrors extends Disposable {
	private readonly _parts: UnexpectedErrorParts;
	private readonly _lines = new LineBudget(maxLinesPerSecond);

	constructor(parts: UnexpectedErrorParts) {
		super();
		this._parts = parts;
		// Node reports rejections without a handler as uncaught exceptions as well.
		const record = (error: unknown) => {
			this._record(error);
		};

		process.on('uncaughtException', record);
		this._register(toDisposable(() => {
			process.off('uncaughtException', record);
		}));
	}

	private _record(error: unknown): void {
		const {clock, logger, metrics} = this._parts;
		metrics.unexpectedError();
		const {isWritten, leftOut} = this._lines.admit(clock.now());
		if (isWritten) {
			logger.error('unexpected error', {error: error instanceof Error ? error.stack ?? error.message : String(error), ...(leftOut === 0 ? {} : {leftOut})});
		}
	}
}
