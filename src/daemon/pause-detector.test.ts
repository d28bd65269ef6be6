import {expect} from 'earl';
import {ProcessClock} from '../node/clock.ts';
import {PauseDetector} from './pause-detector.ts';

describe('PauseDetector', () => {
	// Guards against rights that outlast their leases because the monotonic clock stood still, and against a pause that is reported again at each check.
	it('reports a pause once, at the first check after it', () => {
		let wall = 0;
		let monotonic = 0;
		const clock = Object.assign(new ProcessClock(), {now: () => monotonic});
		const detector = new PauseDetector(clock, () => wall, 250);
		const pauses: number[] = [];
		detector.onWoke(milliseconds => pauses.push(milliseconds));
		detector.start();
		for (const stoodStill of [0, 200, 900, 0, 0]) {
			monotonic += 100;
			wall += 100 + stoodStill;
			detector.check();
		}

		detector.dispose();
		expect(pauses).toEqual([900]);
	});
});
