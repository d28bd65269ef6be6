/**
 * Tests of the oracle itself: it accepts a valid history, and reports each kind of invalid history under the
 * guarantee that the history violates, and under no other.
 */
import {expect} from 'earl';
import {findViolations} from './oracle.ts';
import {type HistoryEvent} from './types.ts';

/** A history without violations, with one order that runs on `s1`. */
const validHistory: readonly HistoryEvent[] = [
	{
		type: 'budget', at: 0, backendServer: 's1', calls: 2, windowMilliseconds: 1000,
	},
	{type: 'vm-serves', at: 0, vm: 'v1'},
	{type: 'vm-serves', at: 0, vm: 'v2'},
	{
		type: 'vm-acts-on', at: 1, vm: 'v1', version: 1, content: 'a',
	},
	{
		type: 'vm-acts-on', at: 1, vm: 'v2', version: 1, content: 'a',
	},
	{type: 'measured', at: 10, backendServer: 's1'},
	{type: 'measured', at: 900, backendServer: 's1'},
	{type: 'measured', at: 1010, backendServer: 's1'},
	{
		type: 'call-sent', at: 20, call: 'order', vm: 'v1', isIdempotent: false, key: 'orders/k1', dueAt: 5000,
	},
	{
		type: 'run-began', at: 22, run: 'r1', call: 'order', backendServer: 's1',
	},
	{type: 'leaving-began', at: 25, backendServer: 's1'},
	{type: 'planned-stop-began', at: 25, party: 's1'},
	{
		type: 'answer-made', at: 30, run: 'r1', call: 'order', body: 'booked 1',
	},
	{
		type: 'answer-whole', at: 32, call: 'order', body: 'booked 1', outcome: 'ran', isRefusal: false,
	},
	{
		type: 'call-sent', at: 40, call: 'read', vm: 'v2', isIdempotent: true, dueAt: 5000,
	},
	{
		type: 'answer-whole', at: 41, call: 'read', body: 'refused', outcome: 'not-run', isRefusal: true,
	},
	{
		type: 'change-accepted', at: 100, change: 'second', version: 2,
	},
	{
		type: 'vm-acts-on', at: 200, vm: 'v1', version: 2, content: 'b',
	},
	{
		type: 'version-seen', at: 200, vm: 'v1', version: 2, change: 'second',
	},
	{
		type: 'vm-acts-on', at: 3000, vm: 'v2', version: 2, content: 'b',
	},
	{
		type: 'vm-acts-on', at: 20_000, vm: 'v1', version: 3, content: 'c',
	},
];

function without(type: HistoryEvent['type'], subject: Partial<Record<string, unknown>>): HistoryEvent[] {
	return validHistory.filter(event => event.type !== type || Object.entries(subject).some(([name, value]) => (event as Record<string, unknown>)[name] !== value));
}

const run = (at: number, call: string, backendServer = 's2'): HistoryEvent => ({
	type: 'run-began', at, run: `${call}-${at}`, call, backendServer,
});
const answered = (body: string): HistoryEvent => ({
	type: 'answer-whole', at: 32, call: 'order', body, outcome: 'ran', isRefusal: false,
});
const unanswered = without('answer-whole', {call: 'order'});

/** Invalid histories by description. */
const invalidHistories: Readonly<Record<string, readonly HistoryEvent[]>> = {
	'two VMs exceed the load probe budget together, though neither does alone': [...validHistory, {type: 'measured', at: 950, backendServer: 's1'}],
	'a truncated answer ends as if complete': [...unanswered, answered('booked')],
	'a caller receives the answer to the call of another caller': [...unanswered, answered('booked 2'), {
		type: 'answer-made', at: 31, run: 'r2', call: 'other', body: 'booked 2',
	}],
	'a call is answered twice': [...validHistory, answered('booked 1')],
	'a call is never answered': unanswered,
	'a late attempt runs a call whose answer reported not run': [...validHistory, run(60, 'read')],
	'an order is retried after a reset': [...validHistory, run(40, 'order')],
	'two VMs run calls with the same idempotency key': [...validHistory, {
		type: 'call-sent', at: 30, call: 'again', vm: 'v2', isIdempotent: false, key: 'orders/k1', dueAt: 5000,
	}, run(40, 'again'), {
		type: 'answer-broken', at: 50, call: 'again',
	}],
	'a resumed VM sends a call to a backend server that has left': [...validHistory, run(5026, 'old read', 's1')],
	'a planned stop breaks an answer off': [...unanswered, {type: 'answer-broken', at: 32, call: 'order'}],
	'an older configuration replaces a newer one': [...validHistory, {
		type: 'vm-acts-on', at: 21_000, vm: 'v1', version: 2, content: 'b',
	}],
	'a VM never receives an accepted change': without('vm-acts-on', {vm: 'v2', version: 2}),
	'two changes are accepted with the same version': [...validHistory, {
		type: 'change-accepted', at: 101, change: 'rival', version: 2,
	}],
	'two accepted changes replace the same version of a resource': [...validHistory, {
		type: 'change-accepted', at: 101, change: 'fourth', version: 4, replaces: 'reads of version 1',
	}, {
		type: 'change-accepted', at: 102, change: 'fifth', version: 5, replaces: 'reads of version 1',
	}, ...['v1', 'v2'].map((vm): HistoryEvent => ({
		type: 'vm-acts-on', at: 25_000, vm, version: 5, content: 'd',
	}))],
	'a refused change is in force': [...validHistory, {type: 'change-refused', at: 150, change: 'second'}],
	'a change is in force partially': [...validHistory, {
		type: 'vm-acts-on', at: 4000, vm: 'v2', version: 2, content: 'half of b',
	}],
};

describe('oracle', () => {
	it('finds no violation in a valid history, in any order of its events', () => {
		expect(findViolations(validHistory)).toEqual([]);
		expect(findViolations(validHistory.toReversed())).toEqual([]);
	});

	it('reports each kind of invalid history under the guarantee that it violates', function () {
		const findings = Object.fromEntries(Object.entries(invalidHistories)
			.map(([description, events]) => [description, findViolations(events).map(({guarantee, message}) => `${guarantee}: ${message}`)]));
		expect(findings).toMatchSnapshot(this);
	});

	it('excuses a late change only during a fault of its VM and for the usual limit after the fault', () => {
		const withoutActivation = without('vm-acts-on', {vm: 'v2', version: 2});
		const isolatedUntil = (until: number): HistoryEvent[] => [
			{
				type: 'fault-began', at: 50, party: 'v2', fault: 'cut',
			},
			{
				type: 'fault-ended', at: until, party: 'v2', fault: 'cut',
			},
		];
		expect(findViolations([...withoutActivation, ...isolatedUntil(16_000)])).toEqual([]);
		expect(findViolations([...withoutActivation, ...isolatedUntil(8000)]).map(({guarantee}) => guarantee)).toEqual(['configuration']);
	});
});
