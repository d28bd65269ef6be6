/** Entries whose disappearance may be a lapse and no leaving. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';

/**
 * Guards against entries that lapse while the store is away: their owners cannot renew them, and when the store
 * returns, its first word is that all are gone. It shows as a service without backend servers on every VM at once.
 * Entries that disappear in the first moments after an outage long enough for a lapse are held for `holdMilliseconds`;
 * owners that live are back by then, and what is still missing is gone.
 */
export class RemovalGracePeriod {
	private readonly _context: RegistryContext;
	private readonly _name: string;
	private readonly _onGone: (keys: readonly string[]) => void;
	private readonly _isReading: () => boolean;
	private readonly _missing = new Set<string>();
	private _endsAt: Instant = Number.NEGATIVE_INFINITY;

	/**
	 * `name` tells its timer from those of others. `isReading` = this VM reads the store itself at the moment; one that is
	 * follows another one leaves it to that one what is gone.
	 */
	constructor(context: RegistryContext, name: string, onGone: (keys: readonly string[]) => void, isReading: () => boolean) {
		this._context = context;
		this._name = name;
		this._onGone = onGone;
		this._isReading = isReading;
	}

	/** The store is back after an outage in which entries may have lapsed. */
	begin(holdMilliseconds: Milliseconds): void {
		this._endsAt = this._context.now + holdMilliseconds;
		this._context.timers.set(`removal-grace-${this._name}`, this._endsAt, () => {
			this._settle();
		});
	}

	/** An entry has disappeared; true = it counts as there for the time being. */
	hold(key: string): boolean {
		if (this._context.now >= this._endsAt) {
			return false;
		}

		this._missing.add(key);
		return true;
	}

	/** An entry is there, or there again. */
	noteThere(key: string): void {
		this._missing.delete(key);
	}

	/**
	 * Guards against backend servers that live and are lost for good on a VM that has turned to another one meanwhile: to
	 * that one an entry that lapsed and is back means nothing new, so nobody tells this VM that it is back.
	 */
	private _settle(): void {
		const gone = [...this._missing];
		this._missing.clear();
		if (gone.length > 0 && this._isReading()) {
			this._onGone(gone);
		}
	}
}
