/** Data centres whose backend servers get no new calls, by order of the operators in the store. */
import {type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';
import {RemovalGracePeriod} from './removal-grace-period.ts';

/** Operators have repeated orders that a restored store has lost within this time. */
const holdMilliseconds: Milliseconds = 5000;

/**
 * Evacuations in force. The key is not under a lease and does not lapse during an outage: its removal is an operator's
 * action and takes effect at once, unless the store was restored from a backup that is older than the evacuation.
 */
export class Evacuations {
	private readonly _context: RegistryContext;
	private readonly _dataCentres = new Set<string>();
	private readonly _gracePeriod: RemovalGracePeriod;

	/** `onMissing` = the operators have not repeated the orders with these keys after a restore of the store. */
	constructor(context: RegistryContext, onMissing: (keys: readonly string[]) => void) {
		this._context = context;
		this._gracePeriod = new RemovalGracePeriod(context, 'evacuations', onMissing, () => true);
	}

	/** Starts a grace period, as the restored store may lack evacuations in force. */
	onRestored(): void {
		this._gracePeriod.begin(holdMilliseconds, true);
	}

	/** Keeps an evacuation whose key is missing from a restored store until the end of the grace period. */
	hold(key: string): void {
		this._gracePeriod.hold(key);
	}

	/** The evacuated data centres, as a copy. */
	get dataCentres(): ReadonlySet<string> {
		return new Set(this._dataCentres);
	}

	/** Whether the key is that of an evacuation. */
	isKey(key: string): boolean {
		const {evacuationPrefix} = this._context.settings.layout;
		return key.startsWith(evacuationPrefix) && key.length > evacuationPrefix.length;
	}

	/** Starts an evacuation; false = it was already in force. */
	put(key: string): boolean {
		this._gracePeriod.markPresent(key);
		const dataCentre = this._dataCentreOf(key);
		if (this._dataCentres.has(dataCentre)) {
			return false;
		}

		this._dataCentres.add(dataCentre);
		this._context.log('info', 'evacuation of a data centre began', {dataCentre});
		return true;
	}

	/** Ends an evacuation; false = it was not in force. */
	remove(key: string): boolean {
		const dataCentre = this._dataCentreOf(key);
		const hasEnded = this._dataCentres.delete(dataCentre);
		if (hasEnded) {
			this._context.log('info', 'evacuation of a data centre ended', {dataCentre});
		}

		return hasEnded;
	}

	/** Keys of evacuations in force that a complete list lacks, which have therefore ended. */
	missingFrom(keys: ReadonlySet<string>): string[] {
		const {evacuationPrefix} = this._context.settings.layout;
		return Array.from(this._dataCentres, dataCentre => evacuationPrefix + dataCentre).filter(key => !keys.has(key));
	}

	private _dataCentreOf(key: string): string {
		return key.slice(this._context.settings.layout.evacuationPrefix.length);
	}
}
