/**
 * Ownership and clean-up of resources. Code that creates a timer, socket, listener or subscription registers it with its
 * own store in the same statement, so that no code path leaks it.
 */

/** An object that holds a resource until it is disposed. Disposing it again has no effect. */
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

/** A collection of disposables that are disposed together, in reverse order of registration. */
export class DisposableStore implements DisposableLike {
	private readonly _items = new Set<DisposableLike>();
	private _isDisposed = false;

	/** True once `dispose` has run. */
	get isDisposed(): boolean {
		return this._isDisposed;
	}

	/** Number of registered disposables; a soak run prints it to detect leaks. */
	get size(): number {
		return this._items.size;
	}

	/** Takes ownership of the item and returns it. An item added after the store was disposed is disposed at once. */
	add<T extends DisposableLike>(item: T): T {
		if (this._isDisposed) {
			item.dispose();
			return item;
		}

		this._items.add(item);
		return item;
	}

	/** Disposes one item and removes it. */
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

/** Holds at most one disposable; setting a new value disposes the previous one. */
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

/** Base class for objects that own disposables and register them on creation. */
export abstract class Disposable implements DisposableLike {
	protected readonly _store = new DisposableStore();

	dispose(): void {
		this._store.dispose();
	}

	protected _register<T extends DisposableLike>(item: T): T {
		return this._store.add(item);
	}
}
