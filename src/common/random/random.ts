/** Seeded random numbers (pure-rand's xoroshiro128+), so that every decision can be replayed. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomSource} from '../model/units.ts';

/** Makes a source from a 32-bit seed. */
export function seededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return {
		next: () => uniformFloat64(generator),
	};
}
