import {expect} from 'earl';
import {backendServerSchema} from '../model/resources.ts';
import {BackendServerState} from './backend-server-state.ts';
import {defaultTuning} from './tuning.ts';
import {type LoadReport} from './types.ts';

const declared = backendServerSchema.parse({
	kind: 'backend-server', name: 'reads-1', service: 'reads', address: '127.0.0.1', port: 9000, dataCentre: 'north',
});

const report = (instance: string, isLeaving = false): LoadReport => ({
	inFlight: 0, queued: 0, slots: 6, instance, isLeaving,
});

describe('signs of leaving', () => {
	it('binds a process that this VM has not heard of yet', () => {
		// A backend server crashes, starts again and soon begins to leave. This VM has last heard from the
		// process before the crash. Told by a peer that the new process leaves, it must not take the word
		// for one about an earlier process: it would give work to the leaving one for as long as it lives.
		const state = new BackendServerState('identity-1', declared, defaultTuning, 0);
		state.takeReport(report('first'), 0, 0);
		state.takeLeaving('second', 10);
		expect(state.isLeaving).toEqual(true);
		state.takeReport(report('first'), 12, 12);
		expect(state.isLeaving).toEqual(true);
	});

	it('does not bind a process that came after the one that left', () => {
		// A backend server leaves and comes back under its address. A slow peer repeats the old sign: the
		// new process must keep its work.
		const state = new BackendServerState('identity-1', declared, defaultTuning, 0);
		state.takeReport(report('first'), 0, 0);
		state.takeLeaving('first', 10);
		state.takeReport(report('second'), 20, 20);
		state.takeLeaving('first', 30);
		expect(state.isLeaving).toEqual(false);
	});

	it('ends a sign about a process that must be gone, since another answers long after the sign', () => {
		// A VM that was away hears late that a process has left which it never met, while it knows the
		// present one. It can't tell which of the two is newer until the present one answers again.
		const state = new BackendServerState('identity-1', declared, defaultTuning, 0);
		state.takeReport(report('second'), 0, 0);
		state.takeLeaving('first', 10);
		state.takeReport(report('second'), 2000, 2000);
		expect(state.isLeaving).toEqual(false);
	});
});
