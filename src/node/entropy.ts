/** Random bytes from the kernel. */
import {Buffer} from 'node:buffer';
import {closeSync, openSync, readSync} from 'node:fs';

const source = '/dev/urandom';

const bytesOfSeed = 4;

/**
 * Unpredictable bytes. Read from the kernel itself: loading node's crypto module for them took 8 of the 84 ms of an
 * entry VM's start by node's profile of it (`--cpu-prof`), and calls wait until it is over.
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

/** A seed for a generator, 32 bits. */
export function entropySeed(): number {
	return entropyBytes(bytesOfSeed).readUInt32LE();
}
