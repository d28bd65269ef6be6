import {expect} from 'earl';
import {HeldBytes} from './held-bytes.ts';
import {MemoryBudget} from './memory-budget.ts';

describe('MemoryBudget', () => {
	let now = 0;
	let budget: MemoryBudget;
	let refused: number;

	beforeEach(() => {
		now = 0;
		refused = 0;
		budget = new MemoryBudget(4096, () => now);
		budget.onRefused(() => {
			refused++;
		});
	});

	function hold(bytes: number, onEvicted?: () => void): HeldBytes {
		const held = new HeldBytes(budget, onEvicted);
		expect(held.append(Buffer.alloc(bytes))).toEqual(true);
		return held;
	}

	it('has room again once a holder is released, also if that happens twice', () => {
		const first = hold(3000);
		expect(new HeldBytes(budget).append(Buffer.alloc(3000))).toEqual(false);
		first.release();
		first.release();
		expect([budget.heldBytes, refused]).toEqual([0, 1]);
		hold(3000);
	});

	// Guards callers against a budget that is used up by senders which stop in the middle of a body.
	it('takes room from an incomplete message without progress, and from no other', () => {
		const evicted: string[] = [];
		const holder = (name: string) => hold(1024, () => {
			evicted.push(name);
		});
		holder('idle');
		holder('complete').complete();
		const active = holder('active');
		hold(1024);
		now = 900;
		expect(active.append(Buffer.alloc(1))).toEqual(false);
		now = 1000;
		expect(active.append(Buffer.alloc(1))).toEqual(true);
		expect(new HeldBytes(budget).append(Buffer.alloc(1))).toEqual(false);
		expect([evicted, budget.heldBytes]).toEqual([['idle'], 4096]);
	});

	// Guards slow callers, whose bytes rarely need a new block, against eviction while they send.
	it('takes no room from a message whose bytes still arrive', () => {
		const evicted: string[] = [];
		const slow = hold(1000, () => {
			evicted.push('slow');
		});
		now = 900;
		slow.append(Buffer.alloc(1));
		now = 1800;
		expect(new HeldBytes(budget).append(Buffer.alloc(3500))).toEqual(false);
		expect(evicted).toEqual([]);
	});
});

describe('HeldBytes', () => {
	// Guards the heap against an object for each small piece.
	it('joins small pieces into few buffers and counts them', () => {
		const budget = new MemoryBudget(1_000_000);
		const held = new HeldBytes(budget);
		const sent = Buffer.from(Array.from({length: 50_000}, (_, index) => index % 251));
		for (let start = 0; start < sent.length; start += 7) {
			expect(held.append(sent.subarray(start, start + 7))).toEqual(true);
		}

		expect([held.bytes, budget.heldBytes < sent.length + 16_384, held.contents.equals(sent)]).toEqual([sent.length, true, true]);
		held.append(Buffer.from('end'));
		expect(held.take().subarray(sent.length).toString()).toEqual('end');
		expect([held.bytes, budget.heldBytes]).toEqual([0, 0]);
	});

	it('accepts nothing once it is discarded', () => {
		const held = new HeldBytes(new MemoryBudget(1_000_000));
		held.append(Buffer.from('x'));
		held.discard();
		expect([held.append(Buffer.from('y')), held.bytes]).toEqual([false, 0]);
	});
});
