import {expect} from 'earl';
import {ProcessClock} from './clock.ts';
import {DeciderLoop} from './decider-loop.ts';

describe('DeciderLoop', () => {
	// Guards callers against a lost answer because another effect of the same event throws.
	it('executes all effects of all queued events if one throws, and throws it afterwards', () => {
		const executed: string[] = [];
		const loop = new DeciderLoop<string, string>({handle: event => typeof event === 'string' ? [`${event} 1`, `${event} 2`] : [], nextWakeUp: () => undefined}, new ProcessClock());
		loop.setExecutor(effect => {
			executed.push(effect);
			if (effect === 'first 1') {
				loop.feed('second');
				throw new TypeError(effect);
			}
		});
		expect(() => {
			loop.feed('first');
		}).toThrow(TypeError, 'first 1');
		loop.dispose();
		expect(executed).toEqual(['first 1', 'first 2', 'second 1', 'second 2']);
	});
});
