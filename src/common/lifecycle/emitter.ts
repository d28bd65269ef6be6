/** Typed events. A class keeps its emitter private and exposes only the emitter's `event`. */
import {type DisposableLike, toDisposable} from './disposable.ts';

/** Subscribes a listener; disposing the returned object unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => DisposableLike;

/** Fires an event to its listeners. */
export class Emitter<T> implements DisposableLike {
	private readonly _listeners = new Set<(value: T) => void>();

	readonly event: Event<T> = listener => {
		this._listeners.add(listener);
		return toDisposable(() => {
			this._listeners.delete(listener);
		});
	};

	/** Calls every listener in order of subscription. */
	fire(value: T): void {
		for (const listener of this._listeners) {
			listener(value);
		}
	}

	dispose(): void {
		this._listeners.clear();
	}
}
