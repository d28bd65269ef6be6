/** Data centres whose backend servers get no new calls, by order of the operators in the store. */
import {type RegistryContext} from './registry-context.ts';

/**
 * Evacuations in force. The key is not under a lease and does not lapse during an outage: its removal is always an
 * operator's action and takes effect at once.
 */
export class Evacuations {
	private readonly _context: RegistryContext;
	private readonly _dataCentres = new Set<string>();

	constructor(context: RegistryContext) {
		this._context = context;
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
