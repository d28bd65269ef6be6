/**
 * Whether this VM still learns what is accepted elsewhere. Without the platform's service and without peers it
 * can't know; after a pause it doesn't know yet; and one that hears of a newer version but can't get it acts on
 * an old one. In each case callers are better served by another VM.
 */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type FleetContext} from './fleet-context.ts';

/** An accepted configuration is to be in force everywhere within 5 s; so long a VM may go without an update. */
const maxContactAgeMilliseconds: Milliseconds = 5000;

export class ContactMonitor {
	private _peerContactAt: Instant | undefined;
	private _behindSince: Instant | undefined;
	private _isCutOff = false;
	private readonly _storeContacts = new Map<string, Instant>();
	private readonly _hasOthers: () => boolean;

	constructor(private readonly _context: FleetContext, hasOthers: () => boolean) {
		this._hasOthers = hasOthers;
	}

	get isCutOff(): boolean {
		return this._isCutOff;
	}

	/** A message from a peer, and what it says of its own contact with the platform's service. */
	recordPeerContact(identity: string, storeContactAgeMilliseconds: Milliseconds | undefined): void {
		const {now} = this._context;
		this._peerContactAt = now;
		if (storeContactAgeMilliseconds !== undefined) {
			this._storeContacts.set(identity, now - storeContactAgeMilliseconds);
		}
	}

	/** Time in which the clock stood still: nothing heard before counts as recent. */
	handleSuspension(): void {
		this._peerContactAt = undefined;
		this._context.storeContactAt = undefined;
	}

	forget(identity: string): void {
		this._storeContacts.delete(identity);
	}

	/** Whether one of these VMs reached the platform's service after `since`. */
	hasStoreContactSince(identities: Iterable<string>, since: Instant): boolean {
		return [...identities].some(identity => (this._storeContacts.get(identity) ?? Number.NEGATIVE_INFINITY) > since);
	}

	/** Judges anew; true if the verdict has changed. A VM that was cut off must first be up to date again. */
	update(isBehind: boolean): boolean {
		const {now, storeContactAt} = this._context;
		this._behindSince = isBehind ? this._behindSince ?? now : undefined;
		const latest = Math.max(this._peerContactAt ?? Number.NEGATIVE_INFINITY, storeContactAt ?? Number.NEGATIVE_INFINITY);
		const hasNoContact = this._hasOthers() && now - latest > maxContactAgeMilliseconds;
		const isOutdated = this._behindSince !== undefined && (this._isCutOff || now - this._behindSince > maxContactAgeMilliseconds);
		const before = this._isCutOff;
		this._isCutOff = hasNoContact || isOutdated;
		return this._isCutOff !== before;
	}
}
