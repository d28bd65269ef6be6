/**
 * The judge is judged first: a sound history passes, and each kind of wrong history is caught by the
 * promise that it breaks and by no other.
 */
import {expect} from 'earl';
import {judge} from './oracle.ts';
import {type HistoryEvent} from './types.ts';

/** One order that runs on `s1`, among all else that goes well. */
const sound: readonly HistoryEvent[] = [
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
		type: 'call-sent', at: 20, call: 'order', vm: 'v1', isIdempotent: false, key: 'orders/k1', due: 5000,
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
		type: 'call-sent', at: 40, call: 'read', vm: 'v2', isIdempotent: true, due: 5000,
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
	return sound.filter(event => event.type !== type || Object.entries(subject).some(([name, value]) => (event as Record<string, unknown>)[name] !== value));
}

const run = (at: number, call: string, backendServer = 's2'): HistoryEvent => ({
	type: 'run-began', at, run: `${call}-${at}`, call, backendServer,
});
const answered = (body: string): HistoryEvent => ({
	type: 'answer-whole', at: 32, call: 'order', body, outcome: 'ran', isRefusal: false,
});
const unanswered = without('answer-whole', {call: 'order'});

/** Story of each wrong history, and the history. */
const wrong: Readonly<Record<string, readonly HistoryEvent[]>> = {
	'two VMs each keep to the budget, and together overspend it': [...sound, {type: 'measured', at: 950, backendServer: 's1'}],
	'an answer ends early and cleanly': [...unanswered, answered('booked')],
	'an answer belongs to another caller': [...unanswered, answered('booked 2'), {
		type: 'answer-made', at: 31, run: 'r2', call: 'other', body: 'booked 2',
	}],
	'an answer comes twice': [...sound, answered('booked 1')],
	'an answer never comes': unanswered,
	'told not run, and a late attempt runs it': [...sound, run(60, 'read')],
	'an order is sent again after a reset': [...sound, run(40, 'order')],
	'two VMs run one key': [...sound, {
		type: 'call-sent', at: 30, call: 'again', vm: 'v2', isIdempotent: false, key: 'orders/k1', due: 5000,
	}, run(40, 'again'), {
		type: 'answer-broken', at: 50, call: 'again',
	}],
	'a paused VM sends work to a backend server that left': [...sound, run(5026, 'old read', 's1')],
	'a planned stop cuts an answer off': [...unanswered, {type: 'answer-broken', at: 32, call: 'order'}],
	'an old copy replaces the new configuration': [...sound, {
		type: 'vm-acts-on', at: 21_000, vm: 'v1', version: 2, content: 'b',
	}],
	'a VM never hears of an accepted change': without('vm-acts-on', {vm: 'v2', version: 2}),
	'two operators both believe they won': [...sound, {
		type: 'change-accepted', at: 101, change: 'rival', version: 2,
	}],
	'two operators both replace the same version': [...sound, {
		type: 'change-accepted', at: 101, change: 'fourth', version: 4, replaces: 'reads of version 1',
	}, {
		type: 'change-accepted', at: 102, change: 'fifth', version: 5, replaces: 'reads of version 1',
	}, ...['v1', 'v2'].map((vm): HistoryEvent => ({
		type: 'vm-acts-on', at: 25_000, vm, version: 5, content: 'd',
	}))],
	'an operator is told refused, and the change is in force': [...sound, {type: 'change-refused', at: 150, change: 'second'}],
	'half of a change is in force': [...sound, {
		type: 'vm-acts-on', at: 4000, vm: 'v2', version: 2, content: 'half of b',
	}],
};

describe('oracle', () => {
	it('finds nothing wrong with a sound history, in any order of its events', () => {
		expect(judge(sound)).toEqual([]);
		expect(judge(sound.toReversed())).toEqual([]);
	});

	it('catches each kind of wrong history by the promise that it breaks', function () {
		const findings = Object.fromEntries(Object.entries(wrong).map(([story, events]) => [story, judge(events).map(({promise, message}) => `${promise}: ${message}`)]));
		expect(findings).toMatchSnapshot(this);
	});

	it('excuses a late change only while something is wrong with its VM, and from then on not longer', () => {
		const late = without('vm-acts-on', {vm: 'v2', version: 2});
		const cut = (until: number): HistoryEvent[] => [
			{
				type: 'fault-began', at: 50, party: 'v2', fault: 'cut',
			},
			{
				type: 'fault-ended', at: until, party: 'v2', fault: 'cut',
			},
		];
		expect(judge([...late, ...cut(16_000)])).toEqual([]);
		expect(judge([...late, ...cut(8000)]).map(({promise}) => promise)).toEqual(['configuration']);
	});
});
