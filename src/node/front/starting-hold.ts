/** Keeps those who come to a VM that is just starting for the moment until it can answer. */
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/**
 * Longest that anybody is kept. A process reads its configuration within 50 ms of its program's start, on half a core and
 * with a store that answers; a caller that is sent away meanwhile has spent one of its few tries, and comes back later
 * than it would have been served. With a store that is out the wait is in vain, so it stays below the shortest objective.
 */
const longestHold: Milliseconds = 200;

export class StartingHold extends Disposable {
	private readonly _held = new Set<() => void>();
	private _isOver = false;

	constructor() {
		super();
		this._register(toDisposable(() => {
			this._held.clear();
		}));
	}

	/** Runs the continuation at once, or when the VM is ready, or when the longest hold is over. */
	pass(continuation: () => void): void {
		if (this._isOver) {
			continuation();
			return;
		}

		const run = () => {
			if (this._held.delete(run)) {
				clearTimeout(timer);
				continuation();
			}
		};

		const timer = setTimeout(run, longestHold);
		this._held.add(run);
	}

	/** The VM can answer from now on. */
	end(): void {
		this._isOver = true;
		for (const run of this._held) {
			run();
		}
	}
}
