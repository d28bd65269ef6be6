import {expect} from 'earl';
import {LimitHolder} from './limit-holder.ts';
import {type Ask} from './messages.ts';

const limits = new Map([['bank', {callsPerSecond: 30, burst: 30}], ['shop', {callsPerSecond: 0.9, burst: 1}]]);

function ask(id: number, ...wants: Ask['wants']): Ask {
	return {
		kind: 'ask', id, slot: 0, wants,
	};
}

function granted(holder: LimitHolder, message: Ask, now: number): unknown {
	return holder.ask(message, 'vm-1:9', now)?.grants;
}

describe('LimitHolder', () => {
	// Guards against double grants after a change of holders: the previous one may just have granted its whole burst.
	it('starts empty and fills at a third of the rate up to a third of the burst', () => {
		const holder = new LimitHolder(0, limits, 0);
		expect(granted(holder, ask(1, ['bank', 5, 0]), 0)).toEqual([['bank', 0, 34]]);
		expect(granted(holder, ask(2, ['bank', 5, 0]), 400)).toEqual([['bank', 4, 34]]);
		expect(granted(holder, ask(3, ['bank', 50, 0]), 60_000)).toEqual([['bank', 10, 34]]);
	});

	// Guards against tokens that are counted twice because the network delivered a request twice.
	it('ignores a repeated or late request', () => {
		const holder = new LimitHolder(0, limits, 0);
		expect(granted(holder, ask(7, ['bank', 1, 0]), 1000)).toEqual([['bank', 1, 0]]);
		expect(granted(holder, ask(7, ['bank', 1, 5]), 1001)).toEqual(undefined);
		expect(granted(holder, ask(6, ['bank', 1, 5]), 1001)).toEqual(undefined);
		expect(holder.ask(ask(7, ['bank', 1, 0]), 'vm-2:9', 1001)?.grants).toEqual([['bank', 1, 0]]);
	});

	// Guards against a VM that is refused for ever because it restarted with lower ids.
	it('answers a restarted process whose ids begin elsewhere', () => {
		const holder = new LimitHolder(0, limits, 0);
		granted(holder, ask(900_000, ['bank', 1, 0]), 1000);
		expect(granted(holder, ask(5, ['bank', 1, 0]), 1001)).toEqual([['bank', 1, 0]]);
	});

	// Guards against bursts above the limit from tokens that were returned.
	it('takes returned tokens back up to the capacity', () => {
		const holder = new LimitHolder(0, limits, 0);
		expect(granted(holder, ask(1, ['bank', 11, 1000]), 60_000)).toEqual([['bank', 10, 34]]);
		expect(granted(holder, ask(2, ['bank', 4, 3]), 60_000)).toEqual([['bank', 3, 67]]);
	});

	// Guards against refused callers that all come back for the same token.
	it('gives each further refused call a later time, spaced by the rate of the whole limit', () => {
		const holder = new LimitHolder(0, limits, 0);
		expect(granted(holder, ask(1, ['bank', 3, 0]), 0)).toEqual([['bank', 0, 34]]);
		expect(granted(holder, ask(2, ['bank', 1, 0]), 0)).toEqual([['bank', 0, 134]]);
	});

	// Guards against refusals while the slots have a whole token together, and against more than two calls above the limit.
	it('grants at least the burst and at most two calls more over all slots at once', () => {
		for (let burst = 1; burst <= 30; burst += 1) {
			const small = new Map([['small', {callsPerSecond: 0.3, burst}]]);
			const counts = [0, 1, 2].map(slot => new LimitHolder(slot, small, 0).ask(ask(1, ['small', 100, 0]), 'vm-1:9', 600_000)!.grants[0]![1]);
			const total = counts.reduce((sum, count) => sum + count, 0);
			expect(total >= burst && total <= burst + 2).toEqual(true);
		}
	});

	// Guards against a lowered limit that is exceeded by what the buckets held before, and against a new one that begins full.
	it('truncates the level to a lower capacity and adds no tokens for a higher one', () => {
		const holder = new LimitHolder(0, limits, 0);
		holder.configure(new Map([['bank', {callsPerSecond: 3, burst: 3}], ['new', {callsPerSecond: 3, burst: 30}]]), 60_000);
		expect(granted(holder, ask(1, ['bank', 9, 0], ['new', 9, 0], ['shop', 1, 0]), 60_000)).toEqual([['bank', 1, 334], ['new', 0, 334], ['shop', 0, 500]]);
	});
});
