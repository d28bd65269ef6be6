/** Opens the listeners of a process and keeps trying while an address is not available. */
import {err, ok, type Result} from 'neverthrow';
import {describeFailure, type Failure} from '../common/errors/failure.ts';
import {Disposable, DisposableStore} from '../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../common/model/units.ts';
import {type Clock} from './clock.ts';
import {LineBudget} from './logging/line-budget.ts';
import {type Logger} from './logging/types.ts';

const firstDelayMilliseconds: Milliseconds = 100;

/** Maximum delay between two tries. */
const maxDelayMilliseconds: Milliseconds = 1000;

/** Log lines per second about connections that could not be accepted; without descriptors, each of them fails. */
const maxErrorLinesPerSecond = 2;

/** Opens one listener and resolves with its port; it fails with `cannot-listen` if its address is not available. */
export type Listen = (onError: (error: Error) => void) => Promise<Result<number, Failure<string>>>;

/**
 * A port may be in use for a moment: by the previous process on this VM, or by an outgoing connection of any program to which the
 * kernel assigned it. A process that ended then would be started again and again, and would not serve its other listeners meanwhile.
 */
export class ListenerOpener extends Disposable {
	private readonly _clock: Clock;
	private readonly _logger: Logger;
	private readonly _delays = this._register(new DisposableStore());
	private readonly _errorLines = new LineBudget(maxErrorLinesPerSecond);

	constructor(clock: Clock, logger: Logger) {
		super();
		this._clock = clock;
		this._logger = logger;
	}

	/** Resolves with the port once the listener `name` is open, or with a failure other than `cannot-listen`. The promise stays pending after `dispose`. */
	async open(name: string, listen: Listen): Promise<Result<number, Failure<string>>> {
		for (let delay = firstDelayMilliseconds; ; delay = Math.min(2 * delay, maxDelayMilliseconds)) {
			const opened = await listen(error => {
				this._logError(name, error);
			});
			if (opened.isErr() && opened.error.kind !== 'cannot-listen') {
				return err(opened.error);
			}

			if (opened.isOk()) {
				if (delay > firstDelayMilliseconds) {
					this._logger.info('listener opened', {listener: name, port: opened.value});
				}

				return ok(opened.value);
			}

			this._logger.warn('cannot open a listener; it is tried again', {listener: name, failure: describeFailure(opened.error), delayMilliseconds: delay});
			await this._wait(delay);
		}
	}

	private async _wait(milliseconds: Milliseconds): Promise<void> {
		return new Promise(resolve => {
			const timer = this._delays.add(this._clock.after(milliseconds, () => {
				this._delays.delete(timer);
				resolve();
			}));
		});
	}

	private _logError(listener: string, error: Error): void {
		const {isWritten, leftOut} = this._errorLines.admit(this._clock.now());
		if (isWritten) {
			this._logger.warn('listener failed; it stays open', {listener, failure: error.message, ...(leftOut === 0 ? {} : {leftOut})});
		}
	}
}
