import {expect} from 'earl';
import {type FleetStage} from '../fleet/types.ts';
import {Timers} from '../fleet/timers.ts';
import {BoundedStop} from './bounded-stop.ts';

/** Returns the time after the stop request at which a VM without calls enters each stage. */
function stagesOf(graceMilliseconds: number, longestCallMilliseconds: number): ReadonlyArray<readonly [number, FleetStage]> {
	const timers = new Timers();
	const stages: Array<readonly [number, FleetStage]> = [];
	let now = 0;
	const stop = new BoundedStop({
		timers,
		graceMilliseconds,
		longestCallMilliseconds: () => longestCallMilliseconds,
		onStage(stage) {
			stages.push([now, stage]);
		},
	});
	stop.onConfigured();
	stop.setCallsInFlight(1);
	stop.stop(now);
	for (; now <= graceMilliseconds; now += 50) {
		timers.run(now);
	}

	return stages.slice(1);
}

describe('a planned stop with a fixed grace time', () => {
	it('accepts calls as long as the longest one ends within the grace time', () => {
		expect(stagesOf(6000, 1500)).toEqual([[0, 'leaving'], [4250, 'draining'], [5500, 'refusing'], [5750, 'ended']]);
	});

	// Guards callers against the cut of a call that was sent more than 3 s after the stop request and reached the VM at once.
	it('accepts calls that may outlast it for less than 3 s, however long the grace time is', () => {
		const draining = [6000, 10_000, 60_000].map(grace => stagesOf(grace, 90_000).find(([, stage]) => stage === 'draining')![0]);
		expect(draining).toEqual([2750, 2750, 2750]);
	});
});
