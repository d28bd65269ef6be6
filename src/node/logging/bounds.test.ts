import {spawn} from 'node:child_process';
import {expect} from 'earl';
import {LineBudget} from './line-budget.ts';

describe('LineBudget', () => {
	// Fails if every call of a burst writes a log line, which takes processor time from the calls.
	it('admits a fixed number of lines per second and counts the omitted ones', () => {
		const budget = new LineBudget(2);
		const written = [0, 1, 2, 3, 1000, 1001].map(now => budget.admit(now));
		expect(written).toEqual([
			{isWritten: true, leftOut: 0},
			{isWritten: true, leftOut: 0},
			{isWritten: false, leftOut: 1},
			{isWritten: false, leftOut: 2},
			{isWritten: true, leftOut: 2},
			{isWritten: true, leftOut: 0},
		]);
	});
});

describe('BoundedWriter', () => {
	// Fails if the process blocks when the reader of the log stops reading.
	it('does not block without a reader, and reports dropped lines', async () => {
		const program = String.raw`
			import {BoundedWriter} from ${JSON.stringify(new URL('bounded-writer.ts', import.meta.url).href)};
			const writer = new BoundedWriter();
			const line = 'x'.repeat(999) + '\n';
			for (let index = 0; index < 100; index++) {
				await new Promise(resolve => setTimeout(resolve, 5));
				for (let count = 0; count < 50; count++) writer.write(line);
			}
			process.stderr.write('still running');
			await new Promise(resolve => setTimeout(resolve, 2000));
			writer.dispose();
		`;
		const child = spawn(process.execPath, ['--import=tsx', '--input-type=module', '-e', program], {stdio: ['ignore', 'pipe', 'pipe']});
		await new Promise<void>(resolve => {
			child.stderr.once('data', () => {
				resolve();
			});
		});
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			text += chunk.toString();
		});
		await new Promise<void>(resolve => {
			child.once('close', () => {
				resolve();
			});
		});
		expect(text.includes('log lines left out')).toEqual(true);
	});
});
