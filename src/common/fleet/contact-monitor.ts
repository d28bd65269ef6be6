/**
 * Detects whether this VM may have missed accepted configuration changes. It may have if it has no contact with the
 * platform's service or any peer, if it has just resumed after a pause, or if it has seen a newer version that it cannot
 * fetch. In each case another VM serves callers better.
 */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type FleetContext} from './fleet-context.ts';

/** Longest time without contact, or behind a newer version, because an accepted configuration must be in force on all VMs within 5 s. */
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

	/** Records a message from a peer and the age of that peer's own contact with the platform's service. */
	recordPeerContact(identity: string, storeContactAgeMilliseconds: Milliseconds | undefined): void {
		const {now} = this._context;
		this._peerContactAt = now;
		if (storeContactAgeMilliseconds !== undefined) {
			this._storeContacts.set(identity, now - storeContactAgeMilliseconds);
		}
	}

	/** Discards all contact times after a suspension, during which the monotonic clock stood still. */
	handleSuspension(): void {
		this._peerContactAt = undefined;
		this._context.storeContactAt = undefined;
	}

	forget(identity: string): void {
		this._storeContacts.delete(identity);
	}

	/** Whether one of these VMs had contact with the platform's service after `since`. */
	hasStoreContactSince(identities: Iterable<string>, since: Instant): boolean {
		return [...identities].some(identity => (this._storeContacts.get(identity) ?? Number.NEGATIVE_INFINITY) > since);
	}

	/** Updates `isCutOff`; true if it changed. A VM that was cut off stays so until its configuration is up to date. */
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
