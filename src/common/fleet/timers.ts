/** Named timers of a deterministic engine, which work on instants passed in and read no clock. */
import {type Instant} from '../model/units.ts';

type Timer = {readonly at: Instant; readonly action: () => void};

/** Setting a timer replaces an earlier one of the same name. */
export class Timers {
	private readonly _timers = new Map<string, Timer>();

	set(name: string, at: Instant, action: () => void): void {
		this._timers.set(name, {at, action});
	}

	has(name: string): boolean {
		return this._timers.has(name);
	}

	clear(name: string): void {
		this._timers.delete(name);
	}

	/** Instant of the earliest timer. */
	next(): Instant | undefined {
		let earliest: Instant | undefined;
		for (const {at} of this._timers.values()) {
			earliest = earliest === undefined ? at : Math.min(earliest, at);
		}

		return earliest;
	}

	/** Runs the actions of all due timers, earliest first. A timer set by one of these actions waits for the next run. */
	run(now: Instant): void {
		const due = [...this._timers].filter(([, timer]) => timer.at <= now).toSorted(([, a], [, b]) => a.at - b.at);
		for (const [name, timer] of due) {
			if (this._timers.get(name) === timer) {
				this._timers.delete(name);
				timer.action();
			}
		}
	}
}
