import {expect} from 'earl';
import {MemoryBudget} from '../memory/memory-budget.ts';
import {LineReader} from './line-reader.ts';

describe('LineReader', () => {
	it('returns the lines of a stream whose pieces split lines and characters', () => {
		const lines = new LineReader(100);
		const read = [...Buffer.from('añb\n\nsecond\nthi')].flatMap(byte => lines.read(Uint8Array.of(byte)) ?? ['refused']);
		expect([...read, ...lines.read(Buffer.from('rd\nfourth\nrest'))!]).toEqual(['añb', '', 'second', 'third', 'fourth']);
	});

	// Guards the process against incomplete lines of many streams.
	it('refuses an incomplete line that is too long, or that finds no room', () => {
		expect(new LineReader(10).read(Buffer.from('short\n' + 'x'.repeat(11)))).toEqual(undefined);
		const budget = new MemoryBudget(1024);
		const first = new LineReader(1000, budget);
		expect(first.read(Buffer.from('x'))).toEqual([]);
		expect(new LineReader(1000, budget).read(Buffer.from('x'))).toEqual(undefined);
		first.discard();
		expect(new LineReader(1000, budget).read(Buffer.from('x'))).toEqual([]);
	});
});
