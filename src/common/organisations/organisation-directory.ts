/** The organisations in force on this VM, and the check of the keys that callers send. */
import {bearerKey} from './bearer-key.ts';
import {type KeyDigestFunction, type KeyOwners, type OrganisationInForce} from './types.ts';

/** Result of the check of a call's key. */
export type KeyCheck
	/** The operators declare no organisations: callers need no key. */
	= | {readonly type: 'not-required'}
		| {readonly type: 'identified'; readonly organisation: OrganisationInForce}
	/** The call has no valid key; it may run on a public route only. */
		| {readonly type: 'anonymous'; readonly isKeySent: boolean};

/** Part of the configuration that the directory needs; both fields are undefined if the operators declare no organisations. */
export type DeclaredOrganisations = {
	readonly organisations?: ReadonlyMap<string, OrganisationInForce>;
	readonly keyOwners?: KeyOwners;
};

/**
 * Keys are looked up by digest: the time of the look-up depends on the digest of what the caller sent, from which it
 * cannot conclude how much of a key was right. No raw key is stored.
 */
export class OrganisationDirectory {
	private readonly _digest: KeyDigestFunction;
	private _declared: DeclaredOrganisations = {};

	constructor(digest: KeyDigestFunction) {
		this._digest = digest;
	}

	/** Replaces all organisations and keys. */
	configure({organisations, keyOwners}: DeclaredOrganisations): void {
		this._declared = organisations === undefined ? {} : {organisations, keyOwners: keyOwners ?? new Map()};
	}

	/** Whether the operators declare organisations. */
	get isRequired(): boolean {
		return this._declared.organisations !== undefined;
	}

	/** Returns the organisation that owns the key with this digest. */
	identify(digest: string): OrganisationInForce | undefined {
		const name = this._declared.keyOwners?.get(digest);
		return name === undefined ? undefined : this._declared.organisations?.get(name);
	}

	/** Checks the key of a call; `rawHeaders` = names and values as received. */
	check(rawHeaders: readonly string[]): KeyCheck {
		if (this._declared.organisations === undefined) {
			return {type: 'not-required'};
		}

		const key = bearerKey(rawHeaders);
		// node:http decodes header values as Latin-1, so that this encoding restores the bytes received.
		const organisation = key === undefined ? undefined : this.identify(this._digest(key, 'latin1'));
		return organisation === undefined ? {type: 'anonymous', isKeySent: key !== undefined} : {type: 'identified', organisation};
	}
}
