/** Data centres whose backend servers are to get no new calls, as operators have asked for in the store. */
import {type RegistryContext} from './registry-context.ts';

/**
 * Evacuations in force. An operator's key lies under no lease and lapses with no outage, so that its removal is always
 * an order and holds at once.
 */
export class Evacuations {
	private readonly _context: RegistryContext;
	private readonly _dataCentres = new Set<string>();

	constructor(context: RegistryContext) {
		this._context = context;
	}

	/** The data centres, as a copy that does not change. */
	get dataCentres(): ReadonlySet<string> {
		return new Set(this._dataCentres);
	}

	/** Whether this is the key of an evacuation. */
	isKey(key: string): boolean {
		const {evacuationPrefix} = this._context.settings.layout;
		return key.startsWith(evacuationPrefix) && key.length > evacuationPrefix.length;
	}

	/** Takes the key of an evacuation in; true = it has begun. */
	put(key: string): boolean {
		const dataCentre = this._dataCentreOf(key);
		if (this._dataCentres.has(dataCentre)) {
			return false;
		}

		this._dataCentres.add(dataCentre);
		this._context.log('info', 'evacuation of a data centre began', {dataCentre});
		return true;
	}

	/** The key of an evacuation has been removed; true = the evacuation has ended. */
	remove(key: string): boolean {
		const dataCentre = this._dataCentreOf(key);
		const hasEnded = this._dataCentres.delete(dataCentre);
		if (hasEnded) {
			this._context.log('info', 'evacuation of a data centre ended', {dataCentre});
		}

		return hasEnded;
	}

	/** Keys of evacuations in force that a whole list does not name: they have ended. */
	missingFrom(keys: ReadonlySet<string>): string[] {
		const {evacuationPrefix} = this._context.settings.layout;
		return Array.from(this._dataCentres, dataCentre => evacuationPrefix + dataCentre).filter(key => !keys.has(key));
	}

	private _dataCentreOf(key: string): string {
		return key.slice(this._context.settings.layout.evacuationPrefix.length);
	}
}
