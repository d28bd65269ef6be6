/** Seeded random numbers (pure-rand's xoroshiro128+), which make every decision reproducible. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomSource} from '../model/units.ts';

/** Creates a random source from a 32-bit seed. */
export function seededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return {
		next: () => uniformFloat64(generator),
	};
}
