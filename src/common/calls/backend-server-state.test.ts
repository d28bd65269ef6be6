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

describe('a leave signal', () => {
	it('applies to a process from which this VM has no report yet', () => {
		// A backend server crashes, restarts and soon begins to leave. The last report that this VM received is from before
		// the crash. When a peer reports that the new process is leaving, this VM must not attribute the signal to an earlier
		// process: it would place calls on the leaving process until it ends.
		const state = new BackendServerState('identity-1', declared, defaultTuning, 0);
		state.applyReport(report('first'), 0, 0);
		state.applyLeavingSign('second', 10);
		expect(state.isLeaving).toEqual(true);
		state.applyReport(report('first'), 12, 12);
		expect(state.isLeaving).toEqual(true);
	});

	it('does not apply to a process that replaced the leaving one', () => {
		// A backend server leaves and returns at the same address. A slow peer repeats the old signal; the new process must
		// keep getting calls.
		const state = new BackendServerState('identity-1', declared, defaultTuning, 0);
		state.applyReport(report('first'), 0, 0);
		state.applyLeavingSign('first', 10);
		state.applyReport(report('second'), 20, 20);
		state.applyLeavingSign('first', 30);
		expect(state.isLeaving).toEqual(false);
	});

	it('ends when another process answers long after it, since the signalled one must be gone', () => {
		// A VM that was disconnected receives a late signal that a process is leaving from which it never had a report, while
		// it has reports of the present one. It can't determine which of the two is newer until the present one answers
		// again.
		const state = new BackendServerState('identity-1', declared, defaultTuning, 0);
		state.applyReport(report('second'), 0, 0);
		state.applyLeavingSign('first', 10);
		state.applyReport(report('second'), 2000, 2000);
		expect(state.isLeaving).toEqual(false);
	});
});
