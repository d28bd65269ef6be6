/** The one place where time enters: a monotonic clock and timers on it. */
import {performance} from 'node:perf_hooks';
import {type DisposableLike, toDisposable} from '../common/lifecycle/disposable.ts';
import {type Instant, type Milliseconds} from '../common/model/units.ts';

/** A monotonic clock with one-shot timers. */
export type Clock = {
	now(): Instant;
	/** Runs the callback once after the span; disposing the answer calls it off. */
	after(span: Milliseconds, callback: () => void): DisposableLike;
};

/** The clock of this process. */
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
