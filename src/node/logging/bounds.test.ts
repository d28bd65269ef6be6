import {spawn} from 'node:child_process';
import {expect} from 'earl';
import {LineBudget} from './line-budget.ts';

describe('the budget of log lines', () => {
	// Guards processor time in a burst against a log line for each call.
	it('writes so many a second and counts the rest', () => {
		const budget = new LineBudget(2);
		const written = [0, 1, 2, 3, 1000, 1001].map(now => budget.take(now));
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

describe('the writer of log lines', () => {
	// Guards calls against a reader of the log that stops reading.
	it('goes on when nobody reads, and tells what was left out', async () => {
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
