import fc from 'fast-check';
import {FramingWorld} from './framing-fuzz.ts';

const seed = 20_261_204;
const answerCount = 200;

describe('an answer that ends at any offset', () => {
	// Guards callers against a truncated answer that its framing shows as complete.
	it('looks complete only if it is', async function () {
		this.timeout(60_000);
		const world = await FramingWorld.start();
		await fc.assert(world.property(), {seed, numRuns: answerCount});
		world.dispose();
	});
});
