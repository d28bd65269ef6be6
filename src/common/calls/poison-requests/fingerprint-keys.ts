/**
 * Keys under which a call is suspected. A fingerprint `CALL.CALLER` identifies a call of one caller; `CALL.*` stands for
 * the same call of any caller, since one caller may have several addresses. A fingerprint without a dot has no such key.
 */

const anyCaller = '.*';

/** The fingerprint, and the key of the same call of any caller. */
export function keysOf(fingerprint: string): string[] {
	const dot = fingerprint.lastIndexOf('.');
	const common = dot === -1 ? fingerprint : fingerprint.slice(0, dot) + anyCaller;
	return common === fingerprint ? [fingerprint] : [fingerprint, common];
}

/** Whether the key stands for a call of any caller. */
export function isOfAnyCaller(key: string): boolean {
	return key.endsWith(anyCaller);
}
