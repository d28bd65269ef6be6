/** Monotonic clock and one-shot timers; the engines receive time only from here. */
import {performance} from 'node:perf_hooks';
import {type DisposableLike, toDisposable} from '../common/lifecycle/disposable.ts';
import {type Instant, type Milliseconds} from '../common/model/units.ts';

export type Clock = {
	now(): Instant;
	/** Runs the callback once after the given time; disposing the returned object cancels it. */
	after(span: Milliseconds, callback: () => void): DisposableLike;
};

/** Clock based on `performance.now` and `setTimeout`. */
export class ProcessClock implements Clock {
	now(): Instant {
		return performance.now();
	}

	after(span: Milliseconds, callback: () => void): DisposableLike {
		const timer = setTimeout(callback, Math.max(0, span));
		return toDisposable(() => {
			clearTimeout(timer);
		});
	}
}
