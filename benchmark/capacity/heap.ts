/** Bytes that something holds on the heap. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
/** V8's own collector, which has no type outside its context. */
const collect: unknown = runInNewContext('gc');

function usedBytes(): number {
	if (typeof collect === 'function') {
		// Twice: what finalisers let go of in the first pass goes in the second.
		Reflect.apply(collect, undefined, []);
		Reflect.apply(collect, undefined, []);
	}

	return process.memoryUsage().heapUsed;
}

const copies = 5;

/**
 * Makes something several times and tells what one of them holds: single ones drown in what the process
 * itself allocates meanwhile. The first is made before, so that what is set up once does not count.
 */
export function heldBytes<T>(make: () => T): {readonly made: T; readonly bytes: number} {
	const first = make();
	const before = usedBytes();
	const made = Array.from({length: copies}, () => make());
	const bytes = (usedBytes() - before) / made.length;
	return {made: first, bytes};
}
