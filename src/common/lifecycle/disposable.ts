/**
 * Ownership and clean-up. Whoever makes a timer, socket, listener or subscription registers it with
 * its own store in the same statement, so that no path can leak one.
 */

/** Something that holds a resource until it is disposed. Disposing twice is harmless. */
export type DisposableLike = {
	dispose(): void;
};

/** Wraps a clean-up function; it runs at most once. */
export function toDisposable(cleanUp: () => void): DisposableLike {
	let isDisposed = false;
	return {
		dispose() {
			if (isDisposed) {
				return;
			}

			isDisposed = true;
			cleanUp();
		},
	};
}

/** Gathers disposables and ends them together, the latest first. */
export class DisposableStore implements DisposableLike {
	private readonly _items = new Set<DisposableLike>();
	private _isDisposed = false;

	/** True once `dispose` has run. */
	get isDisposed(): boolean {
		return this._isDisposed;
	}

	/** The number of live members; a soak run prints it to show that nothing piles up. */
	get size(): number {
		return this._items.size;
	}

	/** Takes ownership and returns the item. An item added after the end is disposed at once. */
	add<T extends DisposableLike>(item: T): T {
		if (this._isDisposed) {
			item.dispose();
			return item;
		}

		this._items.add(item);
		return item;
	}

	/** Disposes one member early and forgets it. */
	delete(item: DisposableLike): void {
		if (this._items.delete(item)) {
			item.dispose();
		}
	}

	dispose(): void {
		this._isDisposed = true;
		const items = [...this._items].toReversed();
		this._items.clear();
		for (const item of items) {
			item.dispose();
		}
	}
}

/** Holds at most one disposable; a new value ends the old one. */
export class MutableDisposable<T extends DisposableLike> implements DisposableLike {
	private _value: T | undefined;
	private _isDisposed = false;

	get value(): T | undefined {
		return this._value;
	}

	set value(next: T | undefined) {
		if (next === this._value) {
			return;
		}

		this._value?.dispose();
		this._value = undefined;
		if (this._isDisposed) {
			next?.dispose();
			return;
		}

		this._value = next;
	}

	dispose(): void {
		this._isDisposed = true;
		this._value?.dispose();
		this._value = undefined;
	}
}

/** Base class for owners: members are registered at the moment they are made. */
export abstract class Disposable implements DisposableLike {
	protected readonly _store = new DisposableStore();

	dispose(): void {
		this._store.dispose();
	}

	protected _register<T extends DisposableLike>(item: T): T {
		return this._store.add(item);
	}
}
