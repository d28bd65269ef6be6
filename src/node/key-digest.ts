/** SHA-256 digests of organisations' keys. */
import process from 'node:process';
import {type KeyDigestFunction} from '../common/organisations/types.ts';

/**
 * Loads node's crypto module with the first key, because loading it takes 8 of the 84 ms of an entry VM's start, and a
 * deployment without organisations does not need it.
 */
export const keyDigest: KeyDigestFunction = (key, encoding) =>
	process.getBuiltinModule('node:crypto').createHash('sha256').update(key, encoding).digest('hex');
