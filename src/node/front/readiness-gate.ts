/** Delays requests to a VM that is starting until it can answer them. */
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/**
 * Maximum delay of a request. With half a core and an available store, a process loads its configuration within 50 ms of its
 * start. A caller that is refused in this time loses one of its few tries, and its retry is later than a delayed answer. If the
 * store is unavailable the delay gains nothing, so it is shorter than the shortest latency objective.
 */
const maxHoldMilliseconds: Milliseconds = 200;

export class ReadinessGate extends Disposable {
	private readonly _waiting = new Set<() => void>();
	private _isOpen = false;

	constructor() {
		super();
		this._register(toDisposable(() => {
			this._waiting.clear();
		}));
	}

	/** Runs the continuation once the gate is open, and after `maxHoldMilliseconds` at the latest. */
	whenReady(continuation: () => void): void {
		if (this._isOpen) {
			continuation();
			return;
		}

		const release = () => {
			if (this._waiting.delete(release)) {
				clearTimeout(timer);
				continuation();
			}
		};

		const timer = setTimeout(release, maxHoldMilliseconds);
		this._waiting.add(release);
	}

	/** Opens the gate: runs all waiting continuations, and later ones without delay. */
	open(): void {
		this._isOpen = true;
		for (const release of this._waiting) {
			release();
		}
	}
}
