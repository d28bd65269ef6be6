import {expect} from 'earl';
import {traceCall} from './call-story.ts';

function line(second: number, vm: string, message: string, fields: Readonly<Record<string, unknown>> = {}): string {
	return JSON.stringify({
		time: `2026-12-03T10:00:${String(second).padStart(2, '0')}.000Z`, level: 'info', message, vm, ...fields,
	});
}

const call = {
	service: 'orders', outcome: 'unknown', reason: 'outcome-unknown', trail: 'first at 2 ms to i-9: 0/6 calls, work time 1, report 0 ms old',
};

describe('the story of a call', () => {
	// Guards operators against a call's trace that lacks the lines of other VMs or of its backend server's crash.
	it('gathers its lines of all VMs in order, and what was believed of its backend servers', () => {
		const log = [
			line(12, 'vm-2', 'call ended', {
				traceId: 'c-1', ...call, outcome: 'ran', trail: '',
			}),
			line(10, 'vm-1', 'call ended', {traceId: 'c-1', ...call}),
			line(10, 'vm-1', 'call ended', {traceId: 'c-2', ...call}),
			line(11, 'vm-1', 'backend server gone', {backendServer: 'i-9', service: 'orders'}),
			line(11, 'vm-1', 'backend server gone', {backendServer: 'i-8', service: 'documents'}),
			line(30, 'vm-1', 'configuration adopted', {version: 4}),
			line(10, 'vm-3', 'configuration adopted', {version: 4}),
			'not a line of ours',
		].join('\n');
		expect(traceCall('c-1', log)).toEqual({
			callLines: 2,
			unreadableLines: 1,
			lines: [
				'2026-12-03T10:00:10.000Z vm-1 call ended service=orders outcome=unknown reason=outcome-unknown trail="first at 2 ms to i-9: 0/6 calls, work time 1, report 0 ms old"',
				'2026-12-03T10:00:11.000Z vm-1 backend server gone backendServer=i-9 service=orders',
				'2026-12-03T10:00:12.000Z vm-2 call ended service=orders outcome=ran reason=outcome-unknown trail=',
			],
		});
	});

	it('reads lines before which a collector has put words of its own', () => {
		expect(traceCall('c-1', `  3.0733 edge-1 ${line(10, 'vm-1', 'call ended', {traceId: 'c-1', ...call})}`).callLines).toEqual(1);
	});
});
