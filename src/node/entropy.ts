/** Random bytes from the kernel. */
import {Buffer} from 'node:buffer';
import {closeSync, openSync, readSync} from 'node:fs';

const source = '/dev/urandom';

const seedBytes = 4;

/**
 * Returns unpredictable bytes. Read directly from the kernel: loading node's crypto module takes 8 of the 84 ms of an entry
 * VM's start (`--cpu-prof`), during which calls wait.
 */
export function entropyBytes(count: number): Buffer {
	const bytes = Buffer.alloc(count);
	const file = openSync(source, 'r');
	try {
		readSync(file, bytes, 0, count, null);
	} finally {
		closeSync(file);
	}

	return bytes;
}

/** Returns a 32-bit seed for a random number generator. */
export function entropySeed(): number {
	return entropyBytes(seedBytes).readUInt32LE();
}
