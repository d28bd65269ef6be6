/** Measures the heap bytes that a value retains. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
/** V8's `gc` function, which has no type outside its context. */
const collectGarbage: unknown = runInNewContext('gc');

function usedBytes(): number {
	if (typeof collectGarbage === 'function') {
		// Two passes: the second collects objects that finalisers released in the first.
		Reflect.apply(collectGarbage, undefined, []);
		Reflect.apply(collectGarbage, undefined, []);
	}

	return process.memoryUsage().heapUsed;
}

const copies = 5;

/**
 * Creates a value several times and returns the mean number of heap bytes that one copy retains, since the size of a single
 * copy is lost in the other allocations of the process. One copy is created beforehand, so that one-time initialisation is
 * not counted.
 */
export function retainedBytes<T>(create: () => T): {readonly made: T; readonly bytes: number} {
	const first = create();
	const before = usedBytes();
	const made = Array.from({length: copies}, () => create());
	const bytes = (usedBytes() - before) / made.length;
	return {made: first, bytes};
}
