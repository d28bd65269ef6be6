/** Random bytes from the kernel. */
import {Buffer} from 'node:buffer';
import {closeSync, openSync, readSync} from 'node:fs';

const source = '/dev/urandom';

const bytesOfSeed = 4;

/**
 * Unpredictable bytes. Read from the kernel itself: loading node's crypto module for them is a sixth of the processor time
 * of an entry VM's start, and calls fail until it is over (`npm run bench -- start`).
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
