/** Creates identities, and loads the hash functions of the process. */
import xxhash from 'xxhash-wasm';
import {entropyBytes} from '../node/entropy.ts';
import {type FingerprintFunction} from '../node/front/types.ts';

const identityBytes = 16;

/** Returns 128 random bits in base64url. The value is unique, so it distinguishes a process or resource from its successor. */
export function newIdentity(): string {
	return entropyBytes(identityBytes).toString('base64url');
}

/** Hash functions of the process; the library is initialised asynchronously. */
export type Hashes = {
	readonly hash32: (text: string) => number;
	readonly digest: (text: string) => string;
	readonly fingerprint: FingerprintFunction;
};

export async function loadHashes(): Promise<Hashes> {
	const library = await xxhash();
	return {
		hash32: text => library.h32(text),
		digest: text => library.h64ToString(text),
		fingerprint({caller, host, method, path}, body) {
			const head = library.h64(JSON.stringify([host, method, path]));
			const call = (body.length === 0 ? head : library.h64Raw(body, head)).toString(36);
			return `${call}.${library.h32(caller).toString(36)}`;
		},
	};
}
