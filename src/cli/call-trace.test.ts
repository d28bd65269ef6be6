import {expect} from 'earl';
import {traceCall} from './call-trace.ts';

function line(second: number, vm: string, message: string, fields: Readonly<Record<string, unknown>> = {}): string {
	return JSON.stringify({
		time: `2026-12-03T10:00:${String(second).padStart(2, '0')}.000Z`, level: 'info', message, vm, ...fields,
	});
}

const call = {
	service: 'orders', outcome: 'unknown', reason: 'outcome-unknown', trail: 'first at 2 ms to i-9: 0/6 calls, work time 1, report 0 ms old',
};

describe('call trace', () => {
	// Guards against a trace without the lines of other VMs or without the crash of the backend server that ran the call.
	it('collects the lines of a call from all VMs by time, with the events of its backend servers', () => {
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
			'not a log line of jaydale',
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

	it('shows that the store was restored near the call', () => {
		const log = [
			line(10, 'vm-1', 'the store was restored from a backup and has lost its latest writes', {era: 2, eraBefore: 1}),
			line(11, 'vm-1', 'all entries have been read since the store was restored', {milliseconds: 812, source: 'store'}),
			line(12, 'vm-1', 'call ended', {traceId: 'c-1', ...call, trail: ''}),
		].join('\n');
		expect(traceCall('c-1', log).lines.slice(0, 2)).toEqual([
			'2026-12-03T10:00:10.000Z vm-1 the store was restored from a backup and has lost its latest writes era=2 eraBefore=1',
			'2026-12-03T10:00:11.000Z vm-1 all entries have been read since the store was restored milliseconds=812 source=store',
		]);
	});

	// Guards against a trace that hides that the VM had lost its links, since it noticed that at another backend server.
	it('shows that the VM lost its links near the call', () => {
		const log = [
			line(10, 'vm-1', 'call ended', {traceId: 'c-1', ...call}),
			line(9, 'vm-1', 'link to a backend server lost that other VMs may still have', {backendServer: 'i-2', service: 'documents', state: 'relayed'}),
			line(9, 'vm-1', 'path to a backend server changed', {backendServer: 'i-3', service: 'documents', state: 'relayed'}),
			line(11, 'vm-1', 'path to a backend server changed', {backendServer: 'i-9', service: 'orders', state: 'relayed'}),
		].join('\n');
		expect(traceCall('c-1', log).lines.map(text => text.split(' ').slice(2).join(' ')).filter(text => !text.startsWith('call'))).toEqual([
			'link to a backend server lost that other VMs may still have backendServer=i-2 service=documents state=relayed',
			'path to a backend server changed backendServer=i-9 service=orders state=relayed',
		]);
	});

	it('parses a line to which a log collector has added a prefix', () => {
		expect(traceCall('c-1', `  3.0733 edge-1 ${line(10, 'vm-1', 'call ended', {traceId: 'c-1', ...call})}`).callLines).toEqual(1);
	});
});
